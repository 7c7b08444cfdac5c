"""Format of a log line: time, level, logger, message."""

from __future__ import annotations

import logging
import time

from brackenlane.clock import steady_time

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


class SteadyTimeFormatter(logging.Formatter):
    """Log formatter whose times are not affected by steps of the wall clock, so that lines stay in order."""

    def __init__(self) -> None:
        super().__init__(LINE_FORMAT)

    def formatTime(self, record: logging.LogRecord, datefmt: str | None = None) -> str:  # noqa: N802
        """Return the current time in RFC 3339 format, in UTC with milliseconds."""
        del record, datefmt
        seconds, milliseconds = divmod(int(steady_time() * 1000), 1000)
        return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))}.{milliseconds:03d}Z"
