"""The command line. The platform's router is the bare call and never comes here.

It turns words into calls and faults into exit codes; it decides nothing. Entry point: `run`.
"""
