"""One actor for each cache, parent and the origin: its connections and the attempts at it."""

from __future__ import annotations

import logging
import socket
import time
from collections import deque

from brackenlane.config import Endpoint
from brackenlane.core.membership_view import MembershipView
from brackenlane.core.requests import Attempt, AttemptReply
from brackenlane.core.timers import Timer, Timers
from brackenlane.limits import Limits
from brackenlane.net.cache_connection import (
    NEVER_SENT,
    CacheConnection,
    ConnectionQuota,
    DispatchedAttempt,
    Report,
    Tried,
)
from brackenlane.net.connector import Connector
from brackenlane.net.poller import Poller
from brackenlane.routing.events import AttemptResult
from brackenlane.routing.settings import Settings

log = logging.getLogger(__name__)


class ConnectionPool:
    """The actor of one cache: it performs attempts, as they are posted, on connections of its own."""

    def __init__(
        self,
        server: str,
        endpoint: Endpoint,
        membership: MembershipView,
        limits: Limits,
        settings: Settings,
        report: Report,
        poller: Poller,
        timers: Timers,
        tried: Tried,
        quota: ConnectionQuota,
    ) -> None:
        self.server, self.endpoint, self.poller, self.timers = server, endpoint, poller, timers
        self._quota = quota
        self._tried = tried
        self._membership, self._limits, self._report = membership, limits, report
        self.connect_timeout, self._may_probe = settings.connect_timeout, settings.may_probe
        self._links: list[CacheConnection] = []
        self._dial: Connector | None = None
        self._old: list[CacheConnection] = []  # to an address that the cache has left
        self._mail: deque[DispatchedAttempt] = deque()  # waits for a connection
        self._leaving = False

    def post(self, attempt: Attempt) -> bool:
        """Take an attempt; False if the mailbox is full."""
        if len(self._mail) >= self._limits.max_queued_attempts:
            return False
        slot = DispatchedAttempt(attempt, self._report)
        attempt.stop = slot.stop
        # Its time runs from the decision.
        slot.timer = self.timers.at(attempt.started_at + attempt.fetch.timeout, slot.stop)
        self._serve(slot)
        return True

    def reconfigure(self, limits: Limits, settings: Settings) -> None:
        """Keep to other limits and settings from now on."""
        self._limits = limits
        self.connect_timeout, self._may_probe = settings.connect_timeout, settings.may_probe
        for link in self.links:
            link.reconfigure(limits, settings.may_probe)

    def move(self, endpoint: Endpoint) -> None:
        """Follow the cache to another address; what is open on the old one ends there."""
        if endpoint != self.endpoint:
            self.endpoint, self._old, self._links = endpoint, [*self._old, *self._links], []
            self._dial = None  # what comes of it is let go
            if self._mail:
                self._start_dial(keep=not all(slot.attempt.request.connect_only for slot in self._mail))

    def recheck(self) -> None:
        """Give back what waits for a connection and may go there no more, instead of when that comes up."""
        retained: deque[DispatchedAttempt] = deque()
        waiting, self._mail = self._mail, retained
        for slot in waiting:
            if self._membership.allows(slot.attempt.fetch):
                retained.append(slot)
            else:
                slot.settle(NEVER_SENT)

    def leave(self) -> None:
        """The cache is gone: finish what is out, take nothing more."""
        self._leaving = True

    @property
    def links(self) -> list[CacheConnection]:
        """All connections that are open."""
        return [link for link in (*self._links, *self._old) if link.open]

    @property
    def busy(self) -> bool:
        """Whether an answer is waited for."""
        return not all(link.idle for link in (*self._links, *self._old))

    def watch(self, now: float, lag: float) -> bool:
        """Look after the connections; whether there is anything left to look after."""
        for link in (*self._links, *self._old):
            link.watch(now, lag)
            if link.idle and (self._leaving or link in self._old):
                link.close()
        self._links = [link for link in self._links if link.open]
        self._old = [link for link in self._old if link.open]
        return bool(self._links or self._old or self._mail or self._dial)

    def _serve(self, slot: DispatchedAttempt) -> None:
        if slot.is_finished:
            return
        if slot.attempt.request.connect_only:
            return self._want_link(slot)
        links = [at for at in self._links if at.takes(slot.id)]
        few = sum(at.open for at in self._links) < self._limits.max_connections_per_server
        capacity = few and self._membership.allows(slot.attempt.fetch)
        if links:
            link = min(links, key=lambda at: at.load)
            # Guards against losing all that is open at a cache with one connection that ends or goes mute.
            if capacity and link.load >= self._limits.next_connection_threshold:
                self._start_dial(needed=False)
            link.send(slot)
        elif capacity or self._end_known(slot):
            self._want_link(slot)
        else:
            slot.settle(NEVER_SENT)

    def _end_known(self, slot: DispatchedAttempt) -> bool:
        """End a connection that rests, on which more may come to an id that is asked again; whether any."""
        found = next((at for at in self._links if at.open and at.idle), None)
        if found and self._membership.allows(slot.attempt.fetch):
            found.close()
            return True
        return False

    def _want_link(self, slot: DispatchedAttempt) -> None:
        """Wait for a new connection. For a name's answer, that the cache takes one is all that is wanted."""
        if not self._membership.allows(slot.attempt.fetch):
            return slot.settle(AttemptReply(AttemptResult.UNREACHABLE, time.time() - slot.attempt.started_at))
        self._mail.append(slot)
        self._start_dial(keep=not slot.attempt.request.connect_only)

    def _start_dial(self, keep: bool = True, needed: bool = True) -> None:
        if self._dial:
            self._dial.keep |= keep
        elif not self._quota.take(needed):
            waiting, self._mail = self._mail, deque()
            for slot in waiting:  # our own want says nothing of the cache
                slot.settle(NEVER_SENT)
        else:
            self._dial = Connector(
                self.endpoint, self.poller, self.timers, self.connect_timeout, self.dialled, keep
            )
            self._dial.start()

    def dialled(self, dial: Connector, sock: socket.socket | None) -> None:
        """A try to connect has ended."""
        if dial is not self._dial:  # the cache has moved meanwhile
            self._quota.give()
            return sock.close() if sock else None
        self._dial = None
        waiting, self._mail = self._mail, deque()
        if sock and not dial.keep:
            sock.close()
            self._quota.give()
        elif sock is None:
            self._quota.give()
        else:
            try:
                link = CacheConnection(
                    sock,
                    self.poller,
                    self._membership,
                    self._limits,
                    self._may_probe,
                    self._tried,
                    self._serve,
                    self._quota,
                )
            except OSError:  # no room to watch it: as if there were no descriptor
                sock.close()
                sock, dial.starved = None, True
                self._quota.give()
            else:
                self._links = [*(at for at in self._links if at.open), link]
        for slot in waiting:
            wait = time.time() - slot.attempt.started_at
            if dial.starved:
                slot.settle(NEVER_SENT)
            elif sock is None:
                slot.settle(AttemptReply(AttemptResult.UNREACHABLE, wait))
            elif slot.attempt.request.connect_only:
                slot.settle(AttemptReply(AttemptResult.OK, wait))
            else:
                self._serve(slot)


class ConnectionPools:
    """The actors of all caches on the list, by id: a new cache may have a gone one's address."""

    def __init__(
        self,
        membership: MembershipView,
        limits: Limits,
        settings: Settings,
        report: Report,
        poller: Poller,
        timers: Timers,
        tried: Tried = lambda _: None,
    ) -> None:
        self._tried = tried
        self._membership, self._limits, self._report = membership, limits, report
        self._poller, self._timers, self._settings = poller, timers, settings
        self._endpoints: dict[str, Endpoint] = {}
        self._peers: dict[str, ConnectionPool] = {}
        self._quota = ConnectionQuota(limits.max_cache_connections)
        self._quota.close_idle = self._end_resting
        self._gone: list[ConnectionPool] = []  # off the list, with something out
        self._look = self._look_in(time.time(), limits.connection_check_interval)
        self._idle = False  # nothing is open anywhere: looks are far between

    def _look_in(self, now: float, wait: float) -> Timer:
        return self._timers.at(now + wait, self._watch, now + wait)

    def place(self, attempt: Attempt) -> bool:
        """Hand an attempt to its box's actor; False if it can't be taken."""
        server = attempt.fetch.server
        peer = self._peers.get(server)
        if peer is None:
            if server not in self._endpoints:
                return False
            peer = self._peers[server] = ConnectionPool(
                server,
                self._endpoints[server],
                self._membership,
                self._limits,
                self._settings,
                self._report,
                self._poller,
                self._timers,
                self._tried,
                self._quota,
            )
        if self._idle:
            self._idle = False
            self._look.cancel()
            self._look = self._look_in(time.time(), self._limits.connection_check_interval)
        return peer.post(attempt)

    def recheck(self) -> None:
        """The list has changed: what waits for a cache that takes nothing new is tried elsewhere at once."""
        for peer in [*self._peers.values(), *self._gone]:
            peer.recheck()

    def reconfigure(self, limits: Limits, settings: Settings) -> None:
        """Keep to other limits and settings from now on."""
        self._limits, self._settings, self._quota.most = limits, settings, limits.max_cache_connections
        for peer in (*self._peers.values(), *self._gone):
            peer.reconfigure(limits, settings)

    def _end_resting(self) -> bool:
        """End the connection that has rested longest; whether there was one."""
        resting = [link for peer in (*self._peers.values(), *self._gone) for link in peer.links if link.idle]
        if resting:
            min(resting, key=lambda link: link.received_at).close()
        return bool(resting)

    def follow(self, endpoints: dict[str, Endpoint], gone: set[str], complete: bool) -> None:
        """Follow the list's addresses."""
        if complete:
            gone = gone | (self._endpoints.keys() - endpoints.keys())
            self._endpoints = {}
        for server in gone:
            self._endpoints.pop(server, None)
            if peer := self._peers.pop(server, None):
                peer.leave()
                self._gone.append(peer)
        self._endpoints.update(endpoints)
        for server, endpoint in endpoints.items():
            if peer := self._peers.get(server):
                peer.move(endpoint)

    @staticmethod
    def _look_after(peer: ConnectionPool, now: float, lag: float) -> bool:
        try:
            return peer.watch(now, lag)
        except Exception:  # one cache must not end the looks at all others
            log.exception("a box's connections could not be looked after")
            return True

    def _watch(self, due: float) -> None:
        """Look after all connections, time and again."""
        now = time.time()
        # Guards against holding our own slowness against the caches: what we could not read is not silence.
        lag = max(0.0, now - due)
        self._idle = False  # guards against a second chain of looks, should one below place an attempt
        for peer in list(self._peers.values()):
            self._look_after(peer, now, lag)
        self._gone = [peer for peer in self._gone if self._look_after(peer, now, lag)]
        self._idle = not any(peer.busy for peer in (*self._peers.values(), *self._gone))
        self._look = self._look_in(
            now,
            self._limits.idle_connection_check_interval
            if self._idle
            else self._limits.connection_check_interval,
        )
