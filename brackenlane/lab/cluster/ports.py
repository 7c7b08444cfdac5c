"""Reserves TCP ports for one test cluster, so that parallel clusters don't collide."""

from __future__ import annotations

import socket
from collections.abc import Iterable


def reserve_port(ports: Iterable[int]) -> socket.socket:
    """Bind the first free port among `ports` on 127.0.0.1; it stays reserved until the socket is closed.

    The socket is bound without SO_REUSEADDR, so that no two clusters get the same port. The option is set
    afterwards, so that a program that sets it too can listen on the port (socket(7): a bound socket that
    doesn't listen is no conflict then).
    """
    for port in ports:
        try:
            return _reserve(port)
        except OSError:
            continue
    raise OSError("all ports of the range are in use")


def reserve_any_port() -> socket.socket:
    """Bind a free port that the kernel chooses on 127.0.0.1; see `reserve_port`.

    While it is bound, the kernel gives the port to no other socket: neither to a connection nor to a listener
    that asks for any port.
    """
    return _reserve(0)


def _reserve(port: int) -> socket.socket:
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    except OSError:
        sock.close()
        raise
    return sock
