"""The operator's file of an appliance as typed tables with bounds; all its faults are reported at once.

It reads files, and never changes a running router. Entry point: `loader.load_appliance`.
"""
