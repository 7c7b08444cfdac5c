"""Client connections under a short memory: nothing that was read is closed without an answer."""

from __future__ import annotations

import socket

import pytest

from brackenlane.core.engine import RequestEngine
from brackenlane.core.engine_config import EngineConfig
from brackenlane.limits import Limits
from brackenlane.net.client_state import ClientState
from brackenlane.net.http_front import HttpFront
from brackenlane.net.poller import Poller
from brackenlane.routing.settings import RequestClass, Settings
from tests.test_memory_budget import Holder

CAPACITY = 200_000
HEALTH = b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n"
READ = (
    b"GET /api/v2/a/0123456789abcdef/n-0 HTTP/1.1\r\nHost: a\r\nX-Txn: 0123456789abcdef\r\n"
    b"X-Ttl-Ms: 2000\r\nX-Shard: 1\r\n\r\n"
)
WRITE = (
    b"PUT /api/v2/b/0123456789abcdef/n-0 HTTP/1.1\r\nHost: a\r\nX-Txn: 0123456789abcdee\r\n"
    b"X-Ttl-Ms: 2000\r\nX-Shard: 1\r\nContent-Length: 5\r\n\r\nwrite"
)


class Client:
    """A front in this process, and one client connected to it."""

    def __init__(self) -> None:
        classes = (RequestClass("a", 0.5, 2.0), RequestClass("b", 0.5, 2.0, uncached=True))
        config = EngineConfig(Settings("here", ("here",), classes), 1, Limits())
        self.memory = config.memory
        self.core = RequestEngine(config, lambda _: False)
        self.poller = Poller(512)
        self.front = HttpFront(self.core, Limits(), self.poller)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.sock = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.sock.settimeout(0.01)
        self.front.listener.admit(accepted)

    def exchange(self, data: bytes, rounds: int = 20) -> bytes:
        """Send bytes, run some rounds and return what came back."""
        self.sock.sendall(data)
        received = b""
        for _ in range(rounds):
            self.poller.run_round()
            try:
                received += self.sock.recv(65_536)
            except TimeoutError:
                continue
        return received


@pytest.mark.parametrize("request_bytes", [READ, WRITE])
@pytest.mark.parametrize("is_first", [True, False])
def test_request_that_was_read_is_rejected_and_not_closed(request_bytes: bytes, is_first: bool) -> None:
    client = Client()
    client.memory.set_capacity(CAPACITY)
    if not is_first:
        assert client.exchange(HEALTH).startswith(b"HTTP/1.1 503")  # it has no list of caches
    Holder(client.memory, "in flight", CAPACITY - 20_000, can_free=False)
    assert client.exchange(request_bytes).startswith(b"HTTP/1.1 503")
    assert client.exchange(HEALTH).startswith(b"HTTP/1.1 503")


def test_request_received_in_part_is_rejected_when_it_is_the_heaviest() -> None:
    client = Client()
    client.memory.set_capacity(CAPACITY)
    head, _, body = WRITE.replace(b"Content-Length: 5", b"Content-Length: 40000").partition(b"write")
    assert client.exchange(head + b"x" * 39_000) == b""
    holder = Holder(client.memory, "in flight", CAPACITY - 60_000, can_free=False)
    client.memory.relieve(50_000)
    assert client.exchange(body + b"x").startswith(b"HTTP/1.1 503")
    assert client.memory.size_of(holder) == CAPACITY - 60_000


def test_reading_goes_on_when_memory_is_free_again() -> None:
    client = Client()
    client.memory.set_capacity(CAPACITY)
    holder = Holder(client.memory, "in flight", CAPACITY, can_free=False)
    assert client.exchange(HEALTH) == b""
    client.memory.resize(holder, 0)
    assert client.exchange(b"").startswith(b"HTTP/1.1 503")


@pytest.mark.parametrize("has_sent", [True, False])
def test_expired_client_that_could_not_be_read_gets_an_answer_only_if_it_sent_something(
    has_sent: bool,
) -> None:
    client = Client()
    assert client.exchange(HEALTH).startswith(b"HTTP/1.1 503")
    client.memory.set_capacity(CAPACITY)
    Holder(client.memory, "in flight", CAPACITY, can_free=False)
    [connection] = client.front.table.in_state(ClientState.IDLE)
    connection._transport.pause_reading()
    assert client.exchange(HEALTH if has_sent else b"") == b""
    connection.expire()
    assert client.exchange(b"").startswith(b"HTTP/1.1 503") is has_sent
