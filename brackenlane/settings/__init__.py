"""The operator's file of an appliance as typed tables with bounds; all its faults are reported at once.

Only reads files; has no effect on a running router. Entry point: `loader.load_appliance`.
"""
