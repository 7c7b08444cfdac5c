"""The command line. The platform's router is the bare call and never comes here.

It turns arguments into calls and errors into exit codes; it decides nothing. Entry point: `main.run`.
"""
