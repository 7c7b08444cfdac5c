"""One connection to a cache, a parent or the origin, and the attempts in flight on it."""

from __future__ import annotations

import logging
import socket
from collections import OrderedDict, deque
from collections.abc import Callable

from brackenlane.clock import steady_time
from brackenlane.core.requests import AttemptReply, PendingRequest
from brackenlane.net import cache_codec
from brackenlane.net.connection_context import ConnectionContext
from brackenlane.net.dispatched_attempt import NEVER_SENT, DispatchedAttempt
from brackenlane.net.poller import GONE, READ, WRITE
from brackenlane.net.socket_errors import is_temporary
from brackenlane.routing.events import AttemptResult

log = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536  # maximum number of bytes in one read from the socket
# Bytes of memory of a connection without a response: this object, its socket, and its entries in tables.
CONNECTION_SIZE = 4_096
PAST_ID_SIZE = 192  # bytes of memory of a remembered id


class CacheConnection:
    """One connection to a cache; responses arrive in any order, each with the id of its request."""

    def __init__(
        self,
        sock: socket.socket,
        context: ConnectionContext,
        redispatch: Callable[[DispatchedAttempt], None],
    ) -> None:
        """redispatch: called with each attempt of which no byte was written before the connection closed."""
        self.is_open = True
        self._sock = sock
        self._context = context
        self._redispatch = redispatch
        self._parser = cache_codec.Parser(context.limits)
        self._in_flight: dict[str, DispatchedAttempt] = {}
        # Ids of earlier requests for which a late response may still arrive, and whether they were answered.
        # Bounded by `Limits.max_abandoned_ids`.
        self._past_ids: OrderedDict[str, bool] = OrderedDict()
        self._to_write: deque[DispatchedAttempt | bytes] = deque()
        self._unsent = memoryview(b"")  # unsent remainder of a partially written message
        self._being_written: DispatchedAttempt | None = None
        self._is_parsing = False
        self._is_probed = False  # a ping was sent and nothing has been received since
        # Unix time of the last bytes received, or of the first attempt written on an idle connection.
        self._last_activity = steady_time()
        self._response_began_at = 0.0  # Unix time since which a response has been incomplete; 0 if none is
        self._blocked_since = 0.0  # Unix time since which the socket accepts no bytes; 0 if it is writable
        self._is_paused = False  # reading waits for memory
        context.poller.add(sock.fileno(), self._on_ready, READ, urgent=True)
        self._count_memory()

    def can_carry(self, wire_id: str) -> bool:
        """Return whether a request with this id may be written on this connection.

        An id is not reused, because a late or duplicate response to an earlier attempt would be taken for the
        response to the new one. Nor is a request sent behind an incomplete response that no attempt waits
        for, because that response may never end.
        """
        if not self.is_open or self._is_behind_unwanted_response():
            return False
        if len(self._in_flight) >= self._context.limits.max_requests_per_connection:
            return False
        return wire_id not in self._in_flight and wire_id not in self._past_ids

    def _is_behind_unwanted_response(self) -> bool:
        if not self._response_began_at or self._in_flight:
            return False
        return steady_time() - self._response_began_at > self._context.limits.idle_probe_after

    @property
    def load(self) -> int:
        """The number of requests in flight."""
        return len(self._in_flight)

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for neither a response nor the reply to a ping."""
        return not self._in_flight and not self._is_probed

    @property
    def last_activity(self) -> float:
        """Unix time of the last bytes received, or of the first attempt written on an idle connection."""
        return self._last_activity

    # Writing

    def send(self, dispatched: DispatchedAttempt) -> None:
        """Write an attempt now, or as soon as the socket is writable."""
        dispatched.carrier = self
        self._in_flight[dispatched.id] = dispatched
        self._to_write.append(dispatched)
        self._flush()

    def release(self, dispatched: DispatchedAttempt) -> None:
        """Remove an attempt whose reply was reported."""
        self._in_flight.pop(dispatched.id, None)

    def cancel(self, dispatched: DispatchedAttempt) -> None:
        """Tell the cache that the response of an attempt is no longer wanted."""
        if not self.is_open:
            return
        self._remember_id(dispatched.id, answered=False)
        self._to_write.appendleft(cache_codec.encode_drop(dispatched.id))
        self._flush()

    def _remember_id(self, wire_id: str, answered: bool) -> None:
        self._past_ids[wire_id] = answered
        if len(self._past_ids) > self._context.limits.max_abandoned_ids:
            self._past_ids.popitem(last=False)

    def _flush(self) -> None:
        """Write until the queue is empty or the socket would block."""
        if self._blocked_since:
            return
        # The cache may have closed an idle connection. Reading first detects that; a request written after
        # the close would fail without showing whether it ran.
        if self._to_write and not self._is_parsing and not self._has_written_attempt():
            self._receive()
        try:
            self._write_queued()
        except OSError as error:
            if not is_temporary(error):
                self.close()
                return
            self._blocked_since = steady_time()
            self._poll()

    def _has_written_attempt(self) -> bool:
        return any(dispatched.attempt.written for dispatched in self._in_flight.values())

    def _write_queued(self) -> None:
        """Write the queued messages. Raises OSError if the socket does."""
        while self.is_open and (self._unsent or self._to_write):
            if not self._unsent:
                item = self._to_write.popleft()
                if isinstance(item, DispatchedAttempt):
                    rest = self._write_attempt(item)
                    if rest:
                        self._unsent = rest
                    self._count_if_written()
                    # Finishing an expired attempt may have triggered other writes, which may have blocked.
                    if self._blocked_since:
                        return
                    continue
                self._unsent = memoryview(item)
            self._unsent = self._unsent[self._sock.send(self._unsent) :]
            self._count_if_written()

    def _count_if_written(self) -> None:
        """Count an attempt once its last byte was handed to the kernel."""
        if self._being_written and not self._unsent:
            self._context.count_written(self._being_written.attempt.request.arrival.cls)
            self._being_written = None

    def _write_attempt(self, dispatched: DispatchedAttempt) -> memoryview:
        """Start to write an attempt; return the bytes that the socket did not accept."""
        data = self._encode_if_sendable(dispatched)
        if data and self._unsent:  # encoding triggered another write, which is still incomplete
            self._to_write.appendleft(dispatched)
            return memoryview(b"")
        if not data or not self.is_open:
            return memoryview(b"")
        attempt = dispatched.attempt
        try:
            sent = self._sock.send(data)
        except OSError as error:
            if is_temporary(error):  # no byte was written, so the attempt is checked and encoded again later
                self._to_write.appendleft(dispatched)
            else:
                attempt.written = True  # the kernel may have sent a part of it
            raise
        dispatched.sent_at = steady_time()
        if not self._has_written_attempt():
            self._last_activity = dispatched.sent_at
        attempt.written = True
        self._being_written = dispatched
        return memoryview(data)[sent:]

    def _encode_if_sendable(self, dispatched: DispatchedAttempt) -> bytes:
        """Return the encoded attempt, or no bytes if it has no time left and must not be written."""
        attempt = dispatched.attempt
        membership = self._context.membership
        now = steady_time()
        remaining = attempt.remaining_time(membership, now)
        if remaining <= 0:
            dispatched.finish(NEVER_SENT)
            return b""
        request = attempt.request
        return cache_codec.encode_get(
            request.client_request_id,
            request.arrival,
            attempt.fetch,
            remaining,
            membership.max_age(attempt.fetch, request.arrival, now),
            request.tag,
            request.body,
            request.key,
        )

    # Liveness

    def check_liveness(self, now: float, lag: float) -> None:
        """Close or probe a connection that has been silent or blocked for too long.

        now: Unix time; lag: seconds by which this check runs late, which do not count as the cache's silence.
        """
        limits = self._context.limits
        if self._is_paused:
            # Nothing is read, so the cache cannot be found silent; the attempts have deadlines of their own.
            self._last_activity = now
            self._response_began_at = now if self._response_began_at else 0.0
            return
        self._last_activity += lag
        if self._blocked_since:
            self._blocked_since += lag
        # The send buffer of an unresponsive machine stays full, and all later requests would wait behind it.
        if self._blocked_since and now - self._blocked_since > limits.write_stall_timeout:
            self.close()
            return
        if self._response_began_at and now - self._response_began_at > limits.response_timeout:
            log.warning("connection closed: a response does not end, %d requests in flight", self.load)
            self.close()
            return
        if now - self._last_activity >= self._allowed_silence():
            self._handle_silence()

    def _allowed_silence(self) -> float:
        """Return the seconds without received bytes after which `_handle_silence` is called."""
        limits = self._context.limits
        if self._is_probed:
            return limits.idle_probe_after + limits.probe_timeout
        if self.is_idle:
            return limits.connection_idle_timeout
        return limits.idle_probe_after if self._context.settings.may_probe else limits.unresponsive_timeout

    def _handle_silence(self) -> None:
        if self.is_idle:
            # Close before the cache does. A request sent while the cache closes might or might not have run.
            self.close()
        elif self._is_probed or not self._context.settings.may_probe:
            # On a connection that was cut off without FIN or RST, all requests in flight and all later ones
            # would wait until their deadlines.
            log.warning("connection closed: the cache is unresponsive, %d requests in flight", self.load)
            self.close()
        else:
            self._is_probed = True
            self._to_write.appendleft(cache_codec.encode_ping())
            self._flush()

    def close(self) -> None:
        """Close the connection; attempts in flight are redispatched if unwritten, else they fail."""
        if not self.is_open:
            return
        self.is_open = False
        self._context.poller.remove(self._sock.fileno())
        self._sock.close()
        self._context.quota.release()
        self._context.memory.stop_waiting(self)
        self._context.memory.resize(self, 0)
        self._to_write.clear()
        interrupted = list(self._in_flight.values())
        self._in_flight = {}
        for dispatched in interrupted:
            dispatched.carrier = None
            self._redispatch_or_fail(dispatched)

    def _redispatch_or_fail(self, dispatched: DispatchedAttempt) -> None:
        if dispatched.attempt.written:
            dispatched.finish(AttemptReply(AttemptResult.BROKEN, dispatched.elapsed_time()))
        elif dispatched.redispatches < self._context.limits.max_redispatches:
            dispatched.redispatches += 1
            self._redispatch(dispatched)
        else:
            dispatched.finish(AttemptReply(AttemptResult.UNREACHABLE, dispatched.elapsed_time()))

    # Reading

    def _on_ready(self, events: int) -> None:
        try:
            if events & ~WRITE:
                self._receive(is_gone=bool(events & GONE))
            if events & WRITE and self.is_open:
                self._blocked_since = 0.0
                self._poll()
                self._flush()
            self._count_memory()
        except Exception:  # attempts on this connection fail; other connections are not affected
            log.exception("unexpected error on a connection to a cache")
            self.close()

    def _receive(self, is_gone: bool = False) -> None:
        """Read and handle bytes; is_gone: the cache has closed, so only what the socket holds is to come."""
        if not is_gone and not self._may_read():
            return
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except OSError as error:
            if is_temporary(error):
                return
            data = b""
        if not data:
            if self._parser.is_partial:
                log.warning("connection closed by the cache mid-response, %d requests in flight", self.load)
            self.close()
            return
        self._last_activity = steady_time()
        self._is_probed = False
        self._track_open_response(self._parse(data))
        self._count_memory()

    def _may_read(self) -> bool:
        """Return whether there is memory to read on; if not, reading waits for it.

        Memory for the whole response is taken when its length is known, so that a response that was begun
        can be completed whatever else is received.
        """
        if not self.is_open or self._is_paused:
            return False
        memory = self._context.memory
        missing = self._parser.buffer_size + RECEIVE_BYTES - self._parser.needed_size
        if missing <= 0 or memory.ensure_available(missing):
            return self.is_open
        if self.is_open:
            self._is_paused = True
            memory.wait(self, missing)
            self._poll()
        return False

    def _poll(self) -> None:
        """Poll the socket for what is waited for; its end is noticed in any case."""
        events = 0 if self._is_paused else READ
        self._context.poller.set_events(
            self._sock.fileno(), events | WRITE if self._blocked_since else events
        )

    # Memory

    def on_memory_available(self) -> None:
        """Read on; the socket's bytes are handled by the next poll."""
        self._is_paused = False
        self._poll()

    def release_memory(self) -> str:
        """Close an idle connection, or one whose response has stalled; return what was done."""
        if self.is_idle:
            self.close()
            return "closed an idle connection to a cache"
        if self._is_paused or not self._parser.is_partial:
            return ""
        if steady_time() - self._last_activity <= self._context.limits.stalled_response_timeout:
            return ""
        self.close()
        return "closed a connection to a cache whose response does not go on"

    def _count_memory(self) -> None:
        if self.is_open:
            size = CONNECTION_SIZE + self._parser.needed_size + PAST_ID_SIZE * len(self._past_ids)
            self._context.memory.resize(self, size + len(self._unsent))

    def _parse(self, data: bytes) -> bool:
        """Handle the responses that these bytes complete; return whether there was any."""
        any_complete = False
        self._is_parsing = True
        try:
            for response in self._parser.feed(data):
                any_complete = True
                self._on_response(response)
        except cache_codec.WireError as error:
            log.warning("connection closed: invalid response: %s", error)
            self.close()
        finally:
            self._is_parsing = False
        return any_complete

    def _track_open_response(self, any_complete: bool) -> None:
        """Update the time since which a response has been incomplete."""
        if not self._parser.is_partial:
            self._response_began_at = 0.0
        elif any_complete or not self._response_began_at:
            self._response_began_at = self._last_activity

    def _on_response(self, response: cache_codec.CacheResponse) -> None:
        dispatched = self._in_flight.get(response.id)
        if dispatched is None or not dispatched.attempt.written:
            if self._past_ids.get(response.id):
                log.warning("a cache answered a request a second time")
            return
        now = steady_time()
        request = dispatched.attempt.request
        result = response.result
        body = response.body
        if result is AttemptResult.OK and not self._is_servable(response, dispatched):
            log.warning("%s answered with what can't be served", dispatched.attempt.fetch.server)
            result = AttemptResult.ERROR
            body = b""
        # The id of an idempotent request that did not run need not be remembered: a duplicate response could
        # at most cause another lookup of the same object.
        if not (result.is_proven_not_run and request.is_idempotent):
            self._remember_id(dispatched.id, answered=True)
        dispatched.finish(
            AttemptReply(
                result,
                now - dispatched.sent_at,
                response.cache_status,
                body,
                response.tag,
                response.is_unchanged,
                response.issued,
                response.delay,
                response.report,
            )
        )

    def _is_servable(self, response: cache_codec.CacheResponse, dispatched: DispatchedAttempt) -> bool:
        """Return whether a successful response may be passed to the client."""
        request: PendingRequest = dispatched.attempt.request
        if response.issued is not None and self._context.membership.is_too_old(
            request.cls, response.issued, dispatched.sent_at, self._context.limits.clock_tolerance
        ):
            return False
        # Every cached copy must have an entity tag and the time at which the origin issued it.
        if not request.arrival.is_write and (not response.tag or response.issued is None):
            return False
        # "unchanged" is valid only for the entity tag that the client sent.
        return not response.is_unchanged or response.tag == request.tag
