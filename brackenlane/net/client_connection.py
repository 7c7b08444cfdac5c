"""One client connection: receives requests, sends answers, and tracks the state of the connection."""

from __future__ import annotations

import logging
import math
import re
import socket
from http import HTTPStatus
from typing import NamedTuple

from brackenlane.admission.load_metrics import Reason
from brackenlane.clock import steady_time
from brackenlane.core.requests import PendingRequest
from brackenlane.net.client_state import ClientState
from brackenlane.net.client_transport import RECEIVE_SIZE, ClientDisconnectedError, ClientTransport
from brackenlane.net.connection_services import ConnectionServices
from brackenlane.net.http_codec import (
    CONTINUE,
    BadRequestError,
    ParsedRequest,
    encode_answer,
    read_simple_get,
)
from brackenlane.net.poller import GONE, READABLE, WRITE
from brackenlane.net.request_codec import HEALTH_QUEUE_CLASS, EncodedResponse, encode_fault, queue_class
from brackenlane.net.request_input import RequestInput

log = logging.getLogger(__name__)

# A request line up to and including the name of the class.
REQUEST_START = re.compile(rb"(?:GET|PUT) /api/v2/([^/?#]{1,64})/")
MAX_READS_TO_END = 16  # reads that look for the end of the stream; unread data may precede it
# Bytes of memory of a connection without input: this object, its socket, and its entries in tables.
CONNECTION_SIZE = 2_048


class QueueEntry(NamedTuple):
    """Class and retry flag under which the request of a connection is queued."""

    class_name: str
    is_retry: bool


class ClientConnection:
    """One client connection; it handles one request at a time."""

    __slots__ = (
        "_class_name",
        "_closes_after_answer",
        "_context",
        "_earliest_arrival",
        "_handler",
        "_input",
        "_is_handling",
        "_is_rejected_before_request",
        "_last_progress_at",
        "_queue",
        "_queue_entry",
        "_request_arrived_after",
        "_state",
        "_tracker",
        "_transport",
        "is_open",
        "request",
    )

    def __init__(self, sock: socket.socket, services: ConnectionServices) -> None:
        self._context = services.context
        self._tracker = services.tracker
        self._queue = services.queue
        self._handler = services.handler
        self._transport = ClientTransport(sock, self._context.poller)
        self._input = RequestInput(self._context.limits)
        self._state = ClientState.NEW
        self._queue_entry: QueueEntry | None = None
        self._request_arrived_after = 0.0  # earliest Unix time at which the queued request can have arrived
        # Earliest Unix time at which data read by `read_delayed_input` can have arrived; infinite otherwise.
        self._earliest_arrival = math.inf
        self._class_name = ""  # class named by the target of the latest request, for the metrics
        # Rejected before its request was received; the rejection is counted once the request arrives.
        self._is_rejected_before_request = False
        self._closes_after_answer = False
        self._is_handling = False  # bytes that were read may not show in the state yet
        self._last_progress_at = 0.0  # Unix time at which the client last took a part of its answer
        self.is_open = True
        self.request: PendingRequest | None = None  # request in flight

    # States

    def enter_state(self, state: ClientState) -> None:
        """Enter a state; during a graceful shutdown a connection without a request is closed instead."""
        if not self.is_open:
            return
        self._tracker.move(self, self._state, state)
        self._state = state
        self._count_memory()
        if self._context.drain.is_closing and state in (ClientState.NEW, ClientState.IDLE):
            self._begin_close()

    def close(self) -> None:
        """Close the connection; a request in flight is withdrawn."""
        if not self.is_open:
            return
        self.is_open = False
        if self._queue_entry is not None:
            self._queue.remove(self, *self._queue_entry)
        self._tracker.forget(self, self._state)
        self._transport.close()
        self._input.close()
        self._context.memory.stop_waiting(self)
        self._context.memory.resize(self, 0)
        self._tracker.count_closed()
        if self.request:
            request = self.request
            self.request = None
            self._handler.withdraw(request)

    def close_if_idle(self, at_once: bool = False) -> None:
        """Close an idle connection, unless unread data shows that a request has arrived.

        at_once: close without a linger phase, because the descriptor is needed for another connection.
        """
        if self._state is not ClientState.CLOSING:
            self.on_ready(READABLE)
        if not self.is_open or self._state not in (
            ClientState.NEW,
            ClientState.IDLE,
            ClientState.CLOSING,
        ):
            return
        if at_once:
            self.close()
        elif self._state is not ClientState.CLOSING:
            self._begin_close()

    def expire(self) -> None:
        """Close a connection whose deadline has passed, unless unread data changes its state."""
        if self._state in (ClientState.WRITING, ClientState.CLOSING):
            self.close()
            return
        state = self._state
        if self._transport.is_paused and self._transport.has_unread():
            self._refuse_for_memory()  # a request has arrived that could not be read
            return
        self.on_ready(READABLE)
        if self.is_open and self._state is state:
            if state is ClientState.READING:
                log.warning("client connection closed: the request was not completed in time")
            self._begin_close()

    def _begin_close(self) -> None:
        """Close the sending half of the connection; no answer is pending and later requests are not served.

        Incoming data is still read and discarded for a bounded time: closing a socket with unread data sends
        a reset, which could destroy an answer that the client has not received yet.
        """
        self._closes_after_answer = True
        self._resume_reading()
        self._input.unrequested_bytes_left = self._context.limits.max_linger_size
        self.enter_state(ClientState.CLOSING)
        try:
            self._transport.end_sending()
        except ClientDisconnectedError:
            self.close()

    # The socket

    def on_ready(self, events: int) -> None:
        """Handle the epoll events of the socket."""
        was_handling = self._is_handling
        self._is_handling = True
        try:
            if events & GONE and self._state is not ClientState.CLOSING:
                self.close()  # also if unread bytes precede the end: no answer can be delivered
                return
            if events & WRITE and self._transport.has_unsent:
                self._flush()
            if events & ~WRITE and self.is_open:
                self._receive()
            self._count_memory()
        except Exception:  # a failure on one connection must not affect the others
            log.exception("unexpected error on a client's connection")
            self.close()
        finally:
            self._is_handling = was_handling

    def read_delayed_input(self, earliest_arrival: float) -> None:
        """Read data that may have arrived earlier, while the connection could not be read.

        earliest_arrival: Unix time after which the data arrived.
        """
        self._earliest_arrival = earliest_arrival
        self.on_ready(READABLE)
        self._earliest_arrival = math.inf

    def is_client_connected(self) -> bool:
        """Return whether the client is still connected; reads the socket to detect an end of stream.

        A client that has sent more than can be read now counts as disconnected: its end may lie behind that.
        """
        has_read_all = False
        try:
            if self.is_open and self._transport.has_ended():
                self.close()
            for _ in range(MAX_READS_TO_END):
                has_read_all = not self.is_open or not self._receive()
                if has_read_all:
                    break
        except Exception:  # the caller serves other requests, which a failure here must not affect
            log.exception("unexpected error on a client's connection")
            self.close()
        return self.is_open and has_read_all

    def _receive(self) -> bool:
        """Receive and handle data; return whether there was data or an end of stream."""
        is_closing = self._state is ClientState.CLOSING
        if self._input.has_overflowed and not is_closing:
            return self._receive_excess()
        if not is_closing and not self._may_read():
            return False
        data = self._transport.receive()
        if data is None:
            return False
        if data:
            self._on_data(data)
        else:
            self.close()  # the client has disconnected, so no answer can be delivered
        return True

    def _receive_excess(self) -> bool:
        """Receive bytes that are not kept; return whether there was data or an end of stream."""
        count = self._transport.discard()
        if count is None:
            return False
        if not count:
            self.close()
        return True

    def _may_read(self) -> bool:
        """Return whether there is memory for more input; if not, reading waits for it."""
        if self._context.memory.ensure_available(RECEIVE_SIZE):
            return self.is_open
        if self.is_open:
            self._transport.pause_reading()
            self._context.memory.wait(self, RECEIVE_SIZE)
        return False

    def _resume_reading(self) -> None:
        self._context.memory.stop_waiting(self)
        self._transport.resume_reading()

    def _on_data(self, data: bytes) -> None:
        if self._state is ClientState.CLOSING:
            self._discard(data)
        elif self._state in (ClientState.ACTIVE, ClientState.WRITING):
            self._buffer(data)
        elif self._state is not ClientState.READING and (simple := read_simple_get(data)):
            self._queue_unparsed(data, *simple)
        else:
            self._input.feed(data)
            self._process_input()

    def _discard(self, data: bytes) -> None:
        """Discard data received while closing; close the connection once it exceeds a limit."""
        if self._is_rejected_before_request and (found := REQUEST_START.match(data)):
            self._is_rejected_before_request = False
            self._context.metrics.count_answer(found[1].decode(), HTTPStatus.SERVICE_UNAVAILABLE)
        if self._input.count_unrequested(data):
            self.close()

    def _buffer(self, data: bytes) -> None:
        """Buffer the bytes of the next request, up to a limit.

        Beyond the limit the bytes are discarded and the connection is closed after the pending answer. The
        socket is still read, to detect that the client disconnects.
        """
        had_overflowed = self._input.has_overflowed
        self._input.buffer(data)
        if self._input.has_overflowed and not had_overflowed:
            log.warning(
                "a client sends on and on behind its request: closing the connection after its answer"
            )

    # The queue

    def _queue_unparsed(self, data: bytes, target: str, is_retry: bool) -> None:
        reason = self._queue.rejection_reason(target, is_retry)
        if reason is not None and not self._context.drain.ends_connections:
            self._context.figures.count_rejected(reason)
            self._class_name = queue_class(target)
            self._reject_unparsed()
            return
        self._input.hold_unparsed(data, target)
        self._enqueue(target, is_retry)

    def _enqueue(self, target: str, is_retry: bool) -> None:
        self._input.begin_request()
        self.enter_state(ClientState.ACTIVE)
        self._class_name = queue_class(target)
        self._queue_entry = QueueEntry(self._class_name, is_retry)
        self._request_arrived_after = min(self._context.poller.earliest_arrival, self._earliest_arrival)
        self._queue.enqueue(self, self._class_name, is_retry, self._context.poller.polled_at)

    def requeue(self, since: float) -> None:
        """Queue the request again after a reload; since: Unix time from which it has waited."""
        assert self._queue_entry is not None
        self._queue.enqueue(self, *self._queue_entry, since)

    def serve(self, since: float) -> None:
        """Serve the queued request, or reject it if memory is short; since: Unix time of its arrival."""
        self._is_handling = True
        may_serve = self._is_served_without_memory() or not self._context.memory.must_reject()
        self._is_handling = False
        if may_serve:
            self._serve(since)
        else:
            self._reject_queued(Reason.MEMORY, steady_time())

    def _is_served_without_memory(self) -> bool:
        target = self._input.target
        if target and self._queue.has_cached_response(target):
            return True
        return self._class_name == HEALTH_QUEUE_CLASS

    def _serve(self, since: float) -> None:
        parsed = self._next_request()
        if parsed is None:
            self._process_input()
            return
        # No class accepts HEAD, and its error response carries a body although a response to HEAD must not.
        # Closing the connection keeps the client from reading that body as the next response.
        self._closes_after_answer = not parsed.keep_alive or parsed.method == "HEAD"
        try:
            # If the process was stopped, the request may have arrived any time after the stop began. Its
            # deadline counts from then; its place in the queue counts from when it was read.
            self._handler.accept(self, parsed, min(since, self._request_arrived_after))
        except BadRequestError as fault:  # only this request is invalid, so the connection is kept
            log.warning("a request that can't be served: %s", fault)
            self.answer(encode_fault(fault))

    def reject(self, now: float) -> None:
        """Reject the queued request; one that is held unparsed is rejected without parsing it."""
        target = self._input.target
        if target and self._queue.has_cached_response(target):
            self._serve(now)
        else:
            self._reject_queued(Reason.QUEUED, now)

    def _reject_queued(self, reason: Reason, now: float) -> None:
        target = self._input.target
        self._context.figures.count_rejected(reason)
        if target and not self._context.drain.ends_connections:
            self._input.discard_unparsed()
            self._queue_entry = None
            self._reject_unparsed()
            return
        parsed = self._next_request()
        if parsed is None:
            self._process_input()
            return
        self._closes_after_answer = not parsed.keep_alive
        self.answer(self._queue.encode_rejection(self._queue.retry_after(now)))

    def reject_connection(self) -> None:
        """Reject a connection beyond the connection limit, before its request is received."""
        self._is_rejected_before_request = True
        self._closes_after_answer = True
        self.answer(self._queue.encode_rejection())

    # Memory

    def on_memory_available(self) -> None:
        """Read on; the socket's bytes are handled by the next poll."""
        self._transport.resume_reading()

    def release_memory(self) -> str:
        """Free memory without losing a request that may have run; return what was done, "" if nothing was."""
        if self._is_handling:
            return ""
        match self._state:
            case ClientState.READING:
                self._refuse_for_memory()
                return "rejected a request that was received in part"
            case ClientState.IDLE | ClientState.CLOSING:
                self.close_if_idle(at_once=True)
                return "" if self.is_open else "closed a client connection without a request"
            case ClientState.ACTIVE if self._queue_entry and self._class_name != HEALTH_QUEUE_CLASS:
                self._refuse_for_memory()
                return "rejected a queued request"
            case ClientState.WRITING if self._is_stalled():
                self.close()
                return "closed the connection of a client that does not read its answer"
        return self._discard_following()

    def _is_stalled(self) -> bool:
        return steady_time() - self._last_progress_at > self._context.limits.slow_client_timeout

    def _discard_following(self) -> str:
        if not self._input.has_following:
            return ""
        self._input.discard_following()
        self._count_memory()
        return "discarded what a client sent behind its request"

    def _refuse_for_memory(self) -> None:
        """Reject a request that has not been accepted, and close the connection after that."""
        self._context.figures.count_rejected(Reason.MEMORY)
        if self._queue_entry is not None:
            self._queue.remove(self, *self._queue_entry)
            self._queue_entry = None
        self._input.close()
        self._closes_after_answer = True
        self.enter_state(ClientState.ACTIVE)
        self.answer(self._queue.encode_rejection())

    def _count_memory(self) -> None:
        if self.is_open:
            size = CONNECTION_SIZE + self._input.held_size + self._transport.unsent_size
            self._context.memory.resize(self, size)

    def _reject_unparsed(self) -> None:
        """Send the encoded rejection and keep the connection open."""
        self._input.begin_request()
        self._closes_after_answer = False
        self._context.metrics.count_answer(self._class_name, HTTPStatus.SERVICE_UNAVAILABLE)
        self._send(self._queue.rejection)
        if self.is_open:
            self.enter_state(ClientState.WRITING if self._transport.has_unsent else ClientState.IDLE)

    def _next_request(self) -> ParsedRequest | None:
        self._queue_entry = None
        return self._input.next()

    def _process_input(self) -> None:
        """Queue the next request if it is complete, answer a parse error, or wait for more data."""
        if parsed := self._input.complete:
            self._enqueue(parsed.target, "x-second-try" in parsed.headers)
        elif fault := self._input.fault:
            log.warning("closing a client connection after an invalid request: %s", fault)
            self._closes_after_answer = True
            self.enter_state(ClientState.ACTIVE)
            self.answer(encode_fault(fault))
        else:
            self._wait_for_request()

    def _wait_for_request(self) -> None:
        if self._input.take_continue():
            self._send(CONTINUE)
        if self._input.is_partial:
            if self._state is not ClientState.READING:
                self.enter_state(ClientState.READING)
        elif self._state in (ClientState.ACTIVE, ClientState.WRITING):
            self.enter_state(ClientState.IDLE)

    # Answers

    def answer(self, response: EncodedResponse) -> None:
        """Send one complete answer.

        If the connection breaks during the answer, the client detects that by the Content-Length.
        """
        if not self.is_open:
            return
        status, headers, body = response
        self._context.metrics.count_answer(self._class_name, status)
        self._class_name = ""
        self._closes_after_answer |= self._context.drain.ends_connections or self._input.has_overflowed
        self._send(encode_answer(status, headers, body, self._closes_after_answer), body)
        if not self.is_open:
            return
        if self._transport.has_unsent:
            self.enter_state(ClientState.WRITING)
        else:
            self._on_answer_sent()
        self._count_memory()

    def _on_answer_sent(self) -> None:
        # The input may also have overflowed while the answer was being sent.
        if self._closes_after_answer or self._input.has_overflowed:
            self._begin_close()
        else:
            self._process_input()

    def _send(self, head: bytes, body: bytes = b"") -> None:
        try:
            self._transport.send(head, body)
            self._last_progress_at = steady_time()
        except ClientDisconnectedError:
            self.close()

    def _flush(self) -> None:
        unsent_before = self._transport.unsent_bytes
        try:
            is_sent = self._transport.flush()
        except ClientDisconnectedError:
            self.close()
            return
        if self._transport.unsent_bytes < unsent_before:
            self._last_progress_at = steady_time()
        if is_sent and self._state is ClientState.WRITING:
            self._on_answer_sent()
