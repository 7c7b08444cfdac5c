"""Clients on HTTP/1.1: requests in, the core's answers out."""

from __future__ import annotations

import errno
import functools
import itertools
import logging
import math
import socket
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from http import HTTPStatus

import trio

from brackenlane.admission.controller import AdmissionQueue
from brackenlane.admission.figures import Figures, Reason
from brackenlane.core.claims import ClaimResult, ClaimStore
from brackenlane.core.engine import RequestEngine
from brackenlane.core.metrics import RequestMetrics
from brackenlane.core.requests import Answer, Disposition, PendingRequest
from brackenlane.limits import Limits
from brackenlane.net.client_connection import ClientConnection, ClientState
from brackenlane.net.http_codec import BadRequest, ParsedRequest, encode_answer
from brackenlane.net.poller import READ, Poller
from brackenlane.net.request_codec import (
    HEALTHY,
    TARGET,
    EncodedResponse,
    encode_final_answer,
    lane_of,
    read_request,
)

log = logging.getLogger(__name__)

HOLD_OFF_STEP = 0.05  # seconds; refusals worded in advance differ by so much in the time to stay away


class HttpFront:
    """All client connections of one router."""

    def __init__(
        self,
        core: RequestEngine,
        limits: Limits,
        poller: Poller,
        claims: ClaimStore | None = None,
        nursery: trio.Nursery | None = None,
        counts: RequestMetrics | None = None,
    ) -> None:
        self._core, self.limits, self.poller = core, limits, poller
        self._claims, self._nursery = claims, nursery
        self.ready: Callable[[], bool] = lambda: True  # asked by health besides whether a list has come
        self._classes = {c.name: c for c in core.settings.classes}
        self.counts = counts or RequestMetrics(self._classes)
        self._clients_by_request: dict[
            str, ClientConnection
        ] = {}  # who is owed the answer to a request in hand, by its id
        self._submits: OrderedDict[str, None] = OrderedDict()  # of writes that may have run, oldest first
        # Connections by what they wait for, the longest so first, and until when they may
        self._waiting: list[dict[ClientConnection, float]] = [{} for _ in ClientState]
        self._allowed = self._times(limits)
        self._count = 0
        self._listeners: list[socket.socket] = []
        self.closing = False  # answers end their connections, and what is idle is ended
        self.finished = False  # nothing more is taken: what still comes is refused at once
        self.is_handing_over = (
            False  # answers end their connections: their clients shall come back to a successor
        )
        self._share = 1.0  # of the places for connections that are ours
        self._places = limits.max_client_connections  # for connections
        # Whether a submit may run here, and that one never ran, where other processes could have it too
        self.claim: Callable[[str], ClaimResult] = lambda _: ClaimResult.OURS
        self.release: Callable[[str], None] = lambda _: None
        self._empty = trio.Event()  # set when the last connection ends
        self.admission: AdmissionQueue[ClientConnection] = AdmissionQueue(core.settings.classes)
        self.figures = Figures()
        self._refusals: dict[int, bytes] = {}  # by how many steps to stay away
        self.refusal = self._refusal(time.time())  # a whole one, as it is worded now
        poller.after.append(self._serve)
        core.timers.at(
            time.time() + limits.client_check_interval,
            self._watch,
            time.time() + limits.client_check_interval,
        )

    @staticmethod
    def _times(limits: Limits) -> list[float]:
        """Seconds that connections may wait, by what for."""
        return [
            math.inf,
            limits.first_request_timeout,
            limits.client_idle_timeout,
            limits.request_read_timeout,
            limits.response_write_timeout,
            limits.linger_timeout,
        ]

    def reconfigure(self, limits: Limits) -> None:
        """Keep to other limits, and to the classes that the core knows by now; who waits goes on waiting."""
        self.limits, self._allowed = limits, self._times(limits)
        self._classes = {c.name: c for c in self._core.settings.classes}
        self.counts.reconfigure(self._classes)
        self._refusals = {}
        earlier, self.admission = self.admission, AdmissionQueue(self._core.settings.classes)
        while taken := earlier.take(time.time()):
            taken[0].rejoin(taken[1])
        self.set_share(self._share, self.is_handing_over)

    # Connections

    def open(self, listeners: Iterable[socket.socket]) -> None:
        """Accept clients from now on."""
        for listener in listeners:
            self._listeners.append(listener)
            self.poller.add(listener.fileno(), functools.partial(self._ready, listener))

    def shut(self) -> None:
        """Accept nobody more; those accepted are served on."""
        for listener in self._listeners:
            while self._accept(listener):  # guards who has come since the last look: closing resets them
                pass
            self.poller.remove(listener.fileno())
            listener.close()
        self._listeners.clear()

    def _ready(self, listener: socket.socket, _: int) -> None:
        self._accept(listener)

    def _accept(self, listener: socket.socket) -> bool:
        """Accept a few; whether more may wait."""
        for _ in range(self.limits.max_accepts):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return False
            except OSError as fault:
                if fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                    # Guards against a loop that spins on a connection for which there is no descriptor.
                    self.poller.want(listener.fileno(), 0)
                    self._core.timers.at(time.time() + self.limits.accept_pause, self._resume, listener)
                    return False
                continue  # it has gone again
            try:
                self._admit(sock)
            except OSError as fault:  # one that can't be watched must not end the listening
                log.warning("a client can't be taken in: %s", fault.strerror)
                sock.close()
        return True

    @property
    def active(self) -> int:
        """Requests taken and not yet ended: who has none waits for a request, its rest, or the end."""
        return self._count - sum(
            len(self._waiting[waits])
            for waits in (ClientState.FIRST, ClientState.NEXT, ClientState.REST, ClientState.CLOSING)
        )

    @property
    def leaving(self) -> bool:
        """Whether answers end their connections."""
        return self.closing or self.is_handing_over

    @property
    def serves(self) -> bool:
        """Whether clients are accepted and would be served."""
        return bool(self._listeners) and self._core.membership.has_list and not self.closing

    def _resume(self, listener: socket.socket) -> None:
        if listener in self._listeners:
            self.poller.want(listener.fileno(), READ)

    def _admit(self, sock: socket.socket) -> None:
        """Serve one more connection."""
        full = self._count >= self._places
        if full:
            if self._close_idle_connection():
                full = False
            elif self._count >= self._places + self.limits.max_rejected_connections:
                self.figures.count_rejected(Reason.FULL)
                return sock.close()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, sock)
        self.poller.add(sock.fileno(), client.ready)
        self._count += 1
        client.wait(ClientState.FIRST)
        if full:  # told so: a connection closed unread tells its client nothing
            self.figures.count_rejected(Reason.FULL)
            client.shut_out()

    def _close_idle_connection(self) -> bool:
        """Guards our descriptors: end one connection that has no request in hand; whether there was one.

        Who never asked gives way, then who is idle, then who is slow to ask. Who turns out to have asked
        meanwhile stays: it may not have been looked at since it was accepted.
        """
        idle = self._spare(ClientState.CLOSING, ClientState.FIRST, ClientState.NEXT)
        for there in list(itertools.islice(idle, self.limits.max_accepts)):
            there.retire(at_once=True)
            if not there.open:
                return True
        slow = next(self._spare(ClientState.REST), None)
        if slow:
            slow.close()
        return slow is not None

    def _spare(self, *waiting: ClientState) -> Iterator[ClientConnection]:
        """Who has no request in hand, the first to give way first."""
        return (there for waits in waiting for there in self._waiting[waits])

    def set_share(self, share: float, is_handing_over: bool) -> None:
        """Hold this share of the places for connections; parting: send their clients to a successor."""
        self._share, self.is_handing_over = share, is_handing_over
        self._places = max(1, int(self.limits.max_client_connections * share))
        idle = self._spare(ClientState.CLOSING, ClientState.FIRST, ClientState.NEXT)
        for there in list(itertools.islice(idle, max(0, self._count - self._places))):
            there.retire()

    def closed(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self._count -= 1
        if not self._count:
            self._empty.set()

    def leave(self) -> None:
        """End what is idle, and every other connection after its answer."""
        self.closing = True
        for waits in (ClientState.FIRST, ClientState.NEXT):
            for client in list(self._waiting[waits]):
                client.retire()

    def finish(self) -> None:
        """Answer all that is in hand, unserved, and at once what may still come."""
        self.finished = True
        self._core.end_all()
        now = time.time()
        while taken := self.admission.take(now):
            self._guard(taken[0], taken[0].refuse, now)
        for client in list(
            self._clients_by_request.values()
        ):  # their claims are still asked for: nothing ran
            if client.request:
                self._answered(
                    client, client.request, Answer(Disposition.REJECTED, hold_off=self.limits.retry_after)
                )

    async def emptied(self) -> None:
        """Wait until no connection is left."""
        while self._count:
            self._empty = trio.Event()
            await self._empty.wait()

    def note(self, client: ClientConnection, was: ClientState, waits: ClientState) -> None:
        """Note what a connection waits for, and until when."""
        known = self._waiting[was].pop(client, None) if was else None
        if not waits:
            return
        if was is ClientState.FIRST and waits is ClientState.REST and known is not None:
            until = known  # guards our descriptors against clients that say their first request slowly
        else:
            until = time.time() + self._allowed[waits]
        self._waiting[waits][client] = until

    def forget(self, client: ClientConnection, was: ClientState) -> None:
        """A connection is no more."""
        self._waiting[was].pop(client, None)

    def _watch(self, due: float) -> None:
        """Close what has waited too long."""
        now = time.time()
        self._core.timers.at(
            now + self.limits.client_check_interval, self._watch, now + self.limits.client_check_interval
        )
        reported = self.figures.tick(now, max(0.0, now - due), time.process_time())
        if reported and reported.is_shedding:
            log.warning("short of CPU: %s", reported.summary())
        for waits in (
            ClientState.FIRST,
            ClientState.NEXT,
            ClientState.REST,
            ClientState.TAKE,
            ClientState.CLOSING,
        ):
            for client in [client for client, until in self._waiting[waits].items() if until < now]:
                client.expire()

    # The queue at the door

    def refuses(self, target: str, again: bool) -> bool:
        """Whether there is no room behind the queue for a request, and no copy of our own to serve it."""
        return not self.admission.has_capacity_for(lane_of(target), again) and not self.own(target)

    def _serve(self) -> bool:
        """Refuse what has stood too long, then serve for a bounded time; whether more waits."""
        if not self.admission.size:
            return False
        now = time.time()
        queued = self.admission.shed(now)
        self.refusal = self._refusal(now)
        for client in queued:
            self._guard(client, client.refuse, now)
        end, count = now + self.limits.admission_time_slice, 0
        # At least a few: on a core that others use too, time passes in which we do not run.
        while (now < end or count < self.limits.min_requests_per_slice) and (
            taken := self.admission.take(now)
        ):
            client, since = taken
            count += 1
            self._guard(client, client.serve, since)
            self.figures.count_taken(now - since)
            now = time.time()
        return self.admission.size > 0

    @staticmethod
    def _guard(client: ClientConnection, call: Callable[[float], None], at: float) -> None:
        try:
            call(at)
        except Exception:  # one client must not end the others
            log.exception("a client's request failed")
            client.close()

    def own(self, target: str) -> bool:
        """Whether a copy of our own would serve this: nearly free, so it is never refused."""
        found = TARGET.fullmatch(target) if self._core.cached_responses.is_enabled else None
        return found is not None and self._core.cached_responses.holds(found[1], f"{found[2]}/{found[3]}")

    def _refusal(self, now: float) -> bytes:
        """A whole refusal, worded once for each time to stay away."""
        steps = math.ceil(self.hold_off(now) / HOLD_OFF_STEP)
        if steps not in self._refusals:
            status, headers, body = self.encode_rejection(steps * HOLD_OFF_STEP)
            self._refusals[steps] = encode_answer(status, headers, body, False) + body
        return self._refusals[steps]

    def hold_off(self, now: float) -> float:
        """Seconds after which a client that the queue refuses may come back."""
        return max(HOLD_OFF_STEP, min(self.admission.hold_off(now), self.limits.max_client_wait))

    def encode_answer(self, answer: Answer) -> EncodedResponse:
        """A final answer as the clients of this site understand it."""
        return encode_final_answer(answer, self._core.settings.max_hold_off)

    def encode_rejection(self, hold_off: float = 0.0) -> EncodedResponse:
        """A refusal by the door itself; hold_off: seconds to stay away, the usual ones if 0."""
        return self.encode_answer(Answer(Disposition.REJECTED, hold_off=hold_off or self.limits.retry_after))

    # Requests

    def take(self, client: ClientConnection, reading: ParsedRequest, since: float) -> None:
        """Take one request, which came at a Unix time; the client gets its answer, perhaps at once."""
        if reading.target == HEALTHY:
            if reading.method != "GET":
                raise BadRequest(HTTPStatus.METHOD_NOT_ALLOWED, "health takes GET", {"Allow": "GET"})
            ready = self._core.membership.has_list and not self.closing and self.ready()
            return client.answer(
                (200, {}, b"healthy\n") if ready else (503, {"Retry-After": "1"}, b"not ready\n")
            )
        if self.finished:
            return client.answer(self.encode_rejection())
        request = read_request(reading, self._classes, self.limits, self._core.new_id(), since)
        if (left := request.deadline - time.time()) <= 0:
            self.figures.count_rejected(Reason.LATE)
            return client.answer(self.encode_rejection())
        if left < request.arrival.time_left - 0.001:
            request.arrival = replace(request.arrival, time_left=left)  # what it stood at our door is gone
        claim = (
            ClaimResult.TAKEN
            if request.wire_id in self._clients_by_request or request.wire_id in self._submits
            else (self.claim(request.wire_id) if request.must_run_once else ClaimResult.OURS)
        )
        if claim is ClaimResult.UNKNOWN:
            return client.answer(self.encode_rejection())
        if claim is ClaimResult.TAKEN:
            raise BadRequest(HTTPStatus.CONFLICT, "this X-Txn has been taken already")
        self._clients_by_request[request.wire_id] = client
        client.request, request.is_client_connected = request, client.is_client_connected
        request.on_answer = functools.partial(self._answered, client, request)
        if self._claims and self._nursery and request.must_run_once:
            self._nursery.start_soon(self._claim, client, request, self._claims)
        else:
            self._core.submit(request)

    def withdraw(self, request: PendingRequest) -> None:
        """The client of a request has left."""
        self._over(request, refused=False)
        self._core.withdraw(request)

    def _answered(self, client: ClientConnection, request: PendingRequest, answer: Answer) -> None:
        self._over(request, answer.disposition is Disposition.REJECTED)
        client.request = None
        try:
            client.answer(self.encode_answer(answer))
        except Exception:  # one that can't be given must not leave its client waiting for good
            log.exception("an answer could not be given")
            client.close()

    def _over(self, request: PendingRequest, refused: bool) -> None:
        self._clients_by_request.pop(request.wire_id, None)
        if request.must_run_once and refused:
            self.release(request.wire_id)
        elif request.must_run_once:  # guards against a submit that a client or proxy sends twice
            self._submits[request.wire_id] = None
            if len(self._submits) > self.limits.max_remembered_submits:
                self._submits.popitem(last=False)

    async def _claim(self, client: ClientConnection, request: PendingRequest, claims: ClaimStore) -> None:
        """Run a submit that other routers could be given too: claimed before it runs."""
        claim = await claims.claim(request.wire_id)
        if client.request is not request:
            return  # the client has left; what it claimed may be thought to have run, which is safe
        left = request.deadline - time.time()
        if claim is ClaimResult.TAKEN:
            self._over(request, refused=False)
            client.request = None
            return client.answer((HTTPStatus.CONFLICT.value, {}, b"this submit has been taken before\n"))
        if claim is ClaimResult.UNKNOWN or left <= 0:
            return self._answered(
                client, request, Answer(Disposition.REJECTED, hold_off=self.limits.retry_after)
            )
        request.arrival = replace(request.arrival, time_left=left)
        request.on_answer = functools.partial(self._claimed, client, request, claims)
        self._core.submit(request)

    def _claimed(
        self, client: ClientConnection, request: PendingRequest, claims: ClaimStore, answer: Answer
    ) -> None:
        if answer.disposition is Disposition.REJECTED and self._nursery:
            self._nursery.start_soon(claims.release, request.wire_id)
        self._answered(client, request, answer)
