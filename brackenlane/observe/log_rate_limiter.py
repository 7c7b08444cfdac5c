"""Rate limit of the log, so that a flood of bad input neither fills the disk nor delays active requests."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from brackenlane.clock import steady_time

DEFAULT_MAX_KINDS = 256  # kinds of lines counted at the same time; beyond that all counts are reset


@dataclass(slots=True)
class _Window:
    """Counts the lines of one kind in the current window."""

    start: float  # steady time of the first line, in seconds
    count: int = 1


class LogRateLimiter(logging.Filter):
    """Log filter that passes at most `max_lines` lines of one kind per window of `window` seconds.

    A kind is a logger and a format string. The first line after a window reports how many were suppressed.
    """

    def __init__(self, max_lines: int, window: float, max_kinds: int = DEFAULT_MAX_KINDS) -> None:
        super().__init__()
        self._max_lines = max_lines
        self._window_length = window
        self._max_kinds = max_kinds
        self._windows: dict[tuple[str, str], _Window] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is to be logged."""
        now = steady_time()  # not `record.created`: setting the wall clock back would suppress lines
        kind = (record.name, str(record.msg))
        window = self._windows.get(kind)
        if window is not None and now - window.start < self._window_length:
            window.count += 1
            return window.count <= self._max_lines
        if len(self._windows) >= self._max_kinds:
            self._windows.clear()
        self._windows[kind] = _Window(now)
        if window is not None and window.count > self._max_lines:
            suppressed = window.count - self._max_lines
            record.msg = f"{record.getMessage()} (and {suppressed} more like it)"
            record.args = ()
        return True
