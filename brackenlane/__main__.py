"""Entry point: without arguments runs the router on the platform, else runs a subcommand."""

from __future__ import annotations

import logging
import signal
import sys

from brackenlane import platform_router
from brackenlane.config import ConfigError
from brackenlane.lifecycle import EarlySignalHandler
from brackenlane.limits import Limits
from brackenlane.net.change_log_codec import ChangeLogFormatError
from brackenlane.observe.log_format import SteadyTimeFormatter
from brackenlane.observe.log_rate_limiter import LogRateLimiter

# Exit codes; subcommands may have others.
DONE = 0
UNUSABLE_CONFIG = 2
INTERRUPTED = 130  # 128 + SIGINT, the convention of shells


def main(arguments: list[str]) -> int:
    """Run the router or the subcommand of the command line; return the exit code."""
    _set_up_logging()
    # A SIGHUP must not end the program, and one that arrives after the configuration was read but before the
    # watcher is installed must still cause a reload. Until here SIGHUP is ignored, since `run` in the deploy
    # file starts the program that way.
    signal.signal(signal.SIGHUP, signal.SIG_IGN if arguments else EarlySignalHandler())
    status = DONE
    try:
        if arguments:
            from brackenlane.cli.main import (
                run,
            )  # imported here, as the router on the platform doesn't need it

            status = run(arguments)
        else:
            platform_router.run(platform_router.load_config())
    except* (ConfigError, ChangeLogFormatError) as errors:
        for line in str(_first_leaf(errors)).splitlines():
            print(f"brackenlane: {' '.join(line.split())}", file=sys.stderr)
        status = UNUSABLE_CONFIG
    except* KeyboardInterrupt:
        status = INTERRUPTED
    _ignore_signals()
    return status


def _ignore_signals() -> None:
    """Keep the exit code from now on.

    The interpreter restores the default action of handled signals, though not of ignored ones, while it
    finalizes; a further signal would end the program by that.
    """
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def _set_up_logging() -> None:
    """Log to stderr with a limited rate of lines; errors while writing the log are ignored."""
    logging.raiseExceptions = False
    logging.basicConfig(level=logging.INFO)
    limits = Limits()
    for handler in logging.getLogger().handlers:
        handler.setFormatter(SteadyTimeFormatter())
        handler.addFilter(LogRateLimiter(limits.max_log_lines, limits.log_window))


def _first_leaf(error: BaseException) -> BaseException:
    """Return the first exception in nested exception groups that is not a group itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
