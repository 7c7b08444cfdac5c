"""Virtual edge caches, hub parents and an origin that drive router policies in virtual time.

Nothing here opens a socket or waits. `world.play` runs one site (`site.Site`) under one policy and returns a
record; `invariants` checks the rules and `worth` measures the service, both by that record alone.
"""
