"""The command line: subcommands of `brackenlane`.

Converts arguments to calls and errors to exit codes. A call without a subcommand starts the platform's router
from `__main__` and doesn't use this package. Entry point: `main.run`.
"""
