"""Soak test: runs real routers under seeded, overlapping faults and checks the records of their peers.

Contains the random generation of deployments and faults, the simulated peers (caches, change log, clients),
the invariants, and the reduction of a failing schedule. Of a router's own output, only the exit code and
tracebacks are checked.
Entry point: `python -m brackenlane.lab.soak`; docs/operate/soak.md.
"""
