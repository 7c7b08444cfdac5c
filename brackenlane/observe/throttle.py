"""The log's rate: bad input repeated without end must not fill a disk nor cost the time of those in hand."""

from __future__ import annotations

import logging


class Throttle(logging.Filter):
    """Lets through so many lines of one kind (logger and format) in a span of seconds; the next that passes
    tells how many did not."""

    def __init__(self, most: int, span: float, kinds: int = 256) -> None:
        super().__init__()
        self._most, self._span, self._kinds = most, span, kinds
        self._seen: dict[tuple[str, str], tuple[float, int]] = {}  # the span's begin, lines since

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line passes."""
        kind = record.name, str(record.msg)
        begin, count = self._seen.get(kind, (-self._span, 0))
        if record.created - begin < self._span:
            self._seen[kind] = begin, count + 1
            return count < self._most
        if len(self._seen) >= self._kinds:
            self._seen.clear()
        self._seen[kind] = record.created, 1
        if count > self._most:
            record.msg, record.args = f"{record.getMessage()} (and {count - self._most} more like it)", ()
        return True
