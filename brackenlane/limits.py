"""Every size, count and time that the program keeps to, in one place."""

from __future__ import annotations

from dataclasses import dataclass, replace

from brackenlane.routing.settings import Settings


@dataclass(frozen=True, slots=True)
class Limits:
    """Filled at start and handed down; sizes are in bytes, times in seconds."""

    # Clients
    head: int = 16_384  # request line and headers
    upload: int = 48_000  # body of a write
    clients: int = 400  # connections at once; of the 1,024 descriptors the caches need the rest
    refused: int = 16  # more, told so while all have work in hand; what comes then is closed unread
    submits: int = 20_000  # ids of writes remembered, so that none runs twice
    first_request: float = 2.5  # from the connection to the end of its first request
    client_idle: float = 5.0  # without an open request; the platform's clients go after 4 s
    request_time: float = 2.5  # from a later request's first byte to its last
    take_answer: float = 2.5  # to take an answer; longer where clients wait longer
    linger: float = 0.5  # reads on after an error, so that the answer is not lost to a reset
    linger_bytes: int = 1_048_576  # and no more than so much
    look: float = 0.2  # between two looks at what clients' connections wait for
    longest_wait: float = 60.0  # the most that a client may ask us to wait
    answer_margin: float = 0.005  # of a client's time, kept for the way back
    answer_slack: float = 0.05  # past a client's time, within which an answer still counts
    retry_after: int = 1  # whole seconds, on a refusal for which the module names no time

    # Descriptors
    own: int = 24  # kept back for our own: listeners, epolls, signals, ledger, change log, files
    appliance_own: int = 192  # besides, for the appliance: DNS connections, look-ups, store, console

    # Operators
    ops_head: int = 4_096  # of a call, and of what may follow it
    ops_calls: int = 16  # callers at once; who comes then takes the place of who has waited longest
    ops_time: float = 5.0  # from a caller's connection to its end
    taken_out: int = 1_024  # caches taken out by hand at once; one more gets a no

    # Handover log of the processes of one router
    ledger: int = 2_097_152  # past it no submit is claimed, so none runs; of a foreign one no more is read
    ledger_orders: int = 65_536  # more, for all but submits
    ledger_tidy: int = 524_288  # from which it is rewritten, while no other process lives
    ledger_line: int = 256  # the longest record
    ledger_wait: float = 1.0  # at a start, for another process that starts
    ledger_look: float = 0.2  # between two looks at who lives
    claims: int = 4_000  # submits remembered there: a quarter of an hour of them at 4 a second

    # Cache caches
    object_size: int = 240_000  # the largest body of an answer
    line: int = 2_048  # the longest line of an answer
    link_waiting: int = 100  # open requests on one connection
    links: int = 4  # connections to one cache
    cache_connections: int = 400  # to all caches together; past it a connection that rests gives way
    keepalive_part: float = 0.8  # of the time after which a cache closes what is idle: then we have done so
    link_share: int = 6  # open requests on each, from which one more connection is opened
    given_up: int = 512  # ids remembered per connection, whose late or second answers are ignored
    redispatches: int = 1  # of an attempt to another connection, as one ends before a byte of it is out
    answer_time: float = 6.0  # a connection whose answer takes longer is closed: no client waits so long
    write_stall: float = 1.0  # a connection that takes no byte for so long is closed
    watch: float = 0.05  # between two looks at the connections to caches while anything is open on one
    watch_idle: float = 0.5  # while nothing is; and nothing there is closed before it was idle for longer
    keepalive: float = 24.0  # own idle connections are closed, where the settings tell of no time
    idle_probe_after: float = (
        0.1  # with a request open and no byte for so long, a connection is asked whether it lives
    )
    probe_price_per_objective: float = (
        0.0125  # of a probe, up to which it is asked an aim later; beyond, in proportion
    )
    pulse: float = 0.25  # for its answer to that; then the connection is given up
    unresponsive: float = (
        3.0  # the same where caches may not be probed: with a request open and no byte for so long
    )

    # Log
    log_lines: int = 10  # of one kind in a span; more are counted
    log_span: float = 1.0

    # Copies of our own
    copies: float = 1 / 8  # of the memory that we are allowed

    # Loop and mailboxes
    batch: int = 512  # events of clients handled before the boxes' are looked at again
    turn: float = 0.004  # for which the queue at the door is served before that
    turn_least: int = 4  # requests of it that are, however long they take
    accepts: int = 16  # connections accepted at a time
    accept_pause: float = 0.1  # where there is no descriptor for one more
    peer_mail: int = 512  # attempts that wait for one box's connection; what comes then was never sent

    # List of caches
    frame: int = 1_048_576  # the longest frame of the change log
    log_silence: float = 3.5  # it sends something each second; silent for longer, it is asked anew
    log_silence_most: float = 8.0  # to which that doubles while a log that is slow to begin has said nothing
    log_dial: float = 2.0  # for a connect to it: a silence and a lost connect end before all counts as told
    log_retry: float = 0.2  # between two tries to reach it, a half sooner or later: not all doors at once
    log_retry_most: float = 0.5  # to which that doubles; what a break hid counts as told 2 s after it

    # Purges and drains
    age_slack: float = 0.05  # clocks of two machines
    core_slack: float = 0.01  # past its time a request that the module forgot is failed by the core

    # SIGTERM
    leaving: float = 0.8  # goes on taking what comes
    last_answers: float = 6.5  # then finishes what it has, at most
    final_rejections: float = 0.1  # then, for telling those left that they are not served
    killed: float = 0.7  # past the longest deadline after SIGTERM, the platform may end us by force
    killed_most: float = 3.0  # which that deadline counts as where it is longer

    # DNS front
    dns_query: float = 2.0  # for each query, from its arrival to its answer
    dns_payload: int = 1_232  # the longest datagram: fits every usual path
    dns_open: int = 256  # queries at once
    dns_connections: int = 64
    dns_idle: float = 10.0  # of a TCP connection
    resolver_wait: float = 1.0  # for one look-up of a box's host name
    resolver_least: float = 0.5  # between two look-ups that went well, whatever lifetime they gave
    resolver_retry: float = 0.3  # after one that did not

    # Discovery
    discovery_dials: int = 64  # connections at once, to see whether a cache answers where it is said to be
    look_up: float = 3.0  # for one look-up, over all upstreams
    look_ups: int = 256  # at once
    last_list: float = 1.0  # between two writes of the last list

    # Shared store
    store_wait: float = 0.3  # for one command, so that a submit is refused while it can still be sent again
    store_block: float = 5.0  # for which the store may hold back a reply when there is no news
    store_log: int = 10_000  # events kept there
    store_piece: int = 500  # entries or caches asked for at once
    store_unshared: int = 1_000  # changes that wait for the store to come back, or to be read back
    store_purges: int = 2_000  # kept over a restart; of more the first are
    store_tickets: int = 600  # for which the tickets of a span are remembered
    store_filing: int = 10  # seconds for which one router alone writes the caches of a file
    store_filed: int = 2_592_000  # for which it is remembered that they are written; then it is done anew
    unknown_purges: float = 0.8  # after a start; the store not heard by then, all objects count as purged
    claim_lifetime: int = 3_600  # whole seconds for which the id of a submit is remembered

    # Console
    console_line: int = 1_024
    console_idle: float = 600.0

    def within(self, sockets: int) -> Limits:
        """With no more connections than so many descriptors allow; clients use a third of them at most.

        The parts add up to less than all: whoever rests, caches, change log and operators have theirs.
        """
        clients = min(self.clients, sockets * 2 // 5)
        refused, ops_calls = min(self.refused, sockets // 24), min(self.ops_calls, sockets // 24)
        return replace(
            self,
            clients=clients,
            refused=refused,
            ops_calls=ops_calls,
            links=min(self.links, max(2, sockets // 96)),
            cache_connections=max(4, sockets - clients - refused - ops_calls - self.own),
        )

    def suited(self, settings: Settings) -> Limits:
        """With the times that follow from what the classes' clients want."""
        aim = min(c.latency_objective for c in settings.classes)
        longest = max(c.time_limit for c in settings.classes)
        unresponsive = longest / 2
        # A dear probe waits until there is more to learn by it: what hangs for longer is likely cut off, and
        # answers in the usual time have come by then, for nothing.
        idle_probe_after = min(
            aim * max(1.0, settings.probe_price / self.probe_price_per_objective), unresponsive
        )
        return replace(
            self,
            idle_probe_after=idle_probe_after,
            pulse=min(aim, settings.connect_timeout),
            unresponsive=unresponsive,
            longest_wait=max(self.longest_wait, longest),
            take_answer=max(self.take_answer, longest),
            keepalive=self.keepalive_part * settings.keepalive or self.keepalive,
            link_waiting=min(self.link_waiting, settings.streams),
            answer_time=longest,
            last_answers=longest + 0.5,
        )

    def before_killed(self, settings: Settings) -> Limits:
        """With the last answers given before the platform ends a process by force."""
        killed = min(max(c.time_limit for c in settings.classes), self.killed_most) + self.killed
        leaving = min(self.leaving, killed - 2 * self.final_rejections)
        left = killed - leaving - 2 * self.final_rejections
        return replace(self, leaving=leaving, last_answers=min(self.last_answers, left))
