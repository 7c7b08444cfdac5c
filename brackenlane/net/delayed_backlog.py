"""Since when the clients in a listener's backlog may have waited, after the process was stopped."""

from __future__ import annotations

import math
import socket
import struct
from collections import deque

TCP_INFO_SIZE = 104  # bytes of struct tcp_info (linux/tcp.h) up to tcpi_total_retrans
# Offset of tcpi_unacked, which is the number of connections in the backlog if the socket listens.
BACKLOG_LENGTH_OFFSET = 24


class DelayedBacklog:
    """Owns the arrival times of clients that connected while nobody accepted; they are accepted in order.

    A round accepts some of them only, so that those already accepted are served meanwhile.
    """

    def __init__(self) -> None:
        # Number of clients and their earliest arrival (Unix time), first in the backlog first.
        self._groups: deque[tuple[int, float]] = deque()
        self._client_count = 0

    def add_waiting(self, listening: socket.socket, earliest_arrival: float) -> None:
        """Record that the clients now in the backlog have arrived after a Unix time, unless it is known."""
        new_count = backlog_length(listening) - self._client_count
        if new_count > 0:
            self._groups.append((new_count, earliest_arrival))
            self._client_count += new_count

    def take_next(self) -> float:
        """Return the earliest arrival of the next client of the backlog; infinity if it is not known."""
        if not self._groups:
            return math.inf
        count, earliest_arrival = self._groups.popleft()
        if count > 1:
            self._groups.appendleft((count - 1, earliest_arrival))
        self._client_count -= 1
        return earliest_arrival

    def clear(self) -> None:
        """Forget all: the backlog is empty."""
        self._groups.clear()
        self._client_count = 0


def backlog_length(listening: socket.socket) -> int:
    """Return the number of clients in the backlog (tcp(7), TCP_INFO); 0 if the system does not tell."""
    try:
        info = listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        [length] = struct.unpack_from("=I", info, BACKLOG_LENGTH_OFFSET)
    except (OSError, struct.error):
        return 0
    return int(length)
