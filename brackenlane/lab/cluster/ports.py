"""Ports that stay one test cluster's own, whatever else runs on the machine."""

from __future__ import annotations

import socket
from collections.abc import Iterable


def reserve_port(ports: Iterable[int]) -> socket.socket:
    """Bind the first of some ports of 127.0.0.1 that nobody else has; it is ours until the socket is closed.

    Bound exclusively, so that no two rigs hold the same; then with SO_REUSEADDR, so that a program that sets
    it too may listen there (socket(7): a socket that doesn't listen is no conflict).
    """
    for port in ports:
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return sock
    raise OSError("no free port is left")
