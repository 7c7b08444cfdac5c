"""Reads from non-blocking sockets, for the clients and caches of the load test."""

from __future__ import annotations

from socket import socket

READ_BYTES = 262_144  # maximum of one read


def receive(sock: socket) -> bytes | None:
    """Return the received data; empty if the connection is closed or broken, None if no data is available."""
    try:
        return sock.recv(READ_BYTES)
    except BlockingIOError:
        return None
    except OSError:
        return b""
