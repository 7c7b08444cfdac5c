"""Many real routers as processes, faults between them, and invariants checked by the cluster's record alone.

It never looks into a router and never touches a process that it did not start. Entry point: `scenario.play`.
"""
