"""Discrete-event simulation of routers, edge caches, parent caches and an origin, in virtual time.

Nothing here opens a socket or sleeps. `world.run_site` simulates one site (`site.Site`) under one routing
policy and returns a record of the run. `invariants` checks the rules that every policy must keep, and `value`
computes the share of the requested value that was served; both read that record only.
"""
