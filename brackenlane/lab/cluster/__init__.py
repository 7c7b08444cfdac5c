"""Runs many routers as processes, injects faults between them, and checks invariants from recorded events.

It doesn't inspect the state inside a router and signals only processes that it started. Entry points:
`scenario.run` and `scenario.run_in_virtual_time`.
"""
