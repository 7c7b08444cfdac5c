"""All limits of the program: sizes, counts and times."""

from __future__ import annotations

from dataclasses import dataclass, replace

from brackenlane.routing.settings import Settings

# For each so many descriptors, one rejected connection and one admin connection are allowed.
DESCRIPTORS_PER_AUXILIARY_CONNECTION = 24
# For each so many descriptors, one connection to each server is allowed.
DESCRIPTORS_PER_SERVER_CONNECTION = 96
MIN_CONNECTIONS_PER_SERVER = 2
MIN_CACHE_CONNECTIONS = 4
BYTES_PER_MB = 2**20
# Bytes of allowed memory for each byte of the handover log, of a frame of the change log and of the tables of
# objects, and for each id of a write and of an abandoned request.
MEMORY_PER_HANDOVER_LOG_BYTE = 64
MEMORY_PER_FRAME_BYTE = 96
MEMORY_PER_TABLE_BYTE = 16
MEMORY_PER_SUBMIT_ID = 10_000
MEMORY_PER_ABANDONED_ID = 262_144
TABLE_SIZE_REDUCTION = BYTES_PER_MB  # subtracted from the tables' share, as the program takes most of little
MIN_ROUTING_TABLE_SIZE = BYTES_PER_MB / 2
MIN_ABANDONED_IDS = 64
MEMORY_PER_LISTED_SERVER = 16_384
MIN_LISTED_SERVERS = 4_096  # more than the largest fleet of the pages, 3,200
COMPACTIONS_PER_HANDOVER_LOG = 4
RESPONSE_TIMEOUT_MARGIN = 0.5  # seconds added to the longest time limit for the last responses at shutdown


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one process, created at startup and passed to all components.

    Sizes are in bytes, times in seconds, and all other values are counts. A comment says what is limited and,
    after a semicolon, what happens when the limit is reached.
    """

    # Client connections
    max_head_size: int = 16_384  # size of request line and headers; a larger head is answered with an error
    max_head_fields: int = 128  # headers of a request; more are answered with an error
    max_upload_chunks: int = 1_024  # chunks of a body; more are answered with an error
    max_upload_size: int = 48_000  # body size of a write; a larger one is answered with an error
    # Open connections; an idle one is closed to make room, and if there is none, the new one is rejected.
    max_client_connections: int = 400
    # Connections over the maximum that are answered with 503; any more are closed without being read.
    max_rejected_connections: int = 16
    # Ids of writes kept so that none runs twice; the oldest id is discarded if it is old enough, else new
    # writes are rejected.
    max_remembered_submits: int = 20_000
    min_submit_memory: float = 60.0  # time for which the id of a write is kept in any case
    first_request_timeout: float = 2.5  # time from accept to the end of the first request; then closed
    # Idle time between requests; then closed. The platform's clients close after 4 s.
    client_idle_timeout: float = 5.0
    request_read_timeout: float = 2.5  # time from first to last byte of a later request; then closed
    # Time for a client to receive a response, at least the longest time limit; then closed.
    response_write_timeout: float = 2.5
    # Time for which input is read after the last response, as a reset could destroy it; then closed.
    linger_timeout: float = 0.5
    max_linger_size: int = 1_048_576  # bytes read during the linger timeout; then closed
    # Time in which a client reads nothing of its answer while memory is short; then closed.
    slow_client_timeout: float = 0.5
    client_check_interval: float = 0.2  # time between two checks of the timeouts above
    # Time limit that a request may set; a longer one is an error. Retry-After is capped at this value.
    max_client_wait: float = 60.0
    response_margin: float = 0.005  # part of a client's time limit reserved for sending the response
    retry_after: int = 1  # default Retry-After of a rejection, in whole seconds

    # File descriptors
    # Descriptors for listeners, epoll instances, signals, the handover log, the change log (4) and files.
    reserved_descriptors: int = 27
    # Additional descriptors of the appliance for DNS, lookups, the store and the admin console.
    appliance_reserved_descriptors: int = 192

    # Admin API
    max_admin_head_size: int = 4_096  # size of a call's head, and of its body; answered with an error
    max_admin_connections: int = 16  # open connections; the one that has waited longest is closed
    admin_call_timeout: float = 5.0  # time from accept to the end of the response; then closed
    max_taken_out_servers: int = 1_024  # servers taken out by operators; further orders are rejected

    # Handover log of the processes of one router
    max_handover_log_size: int = 2_097_152  # file size; beyond it no submit can be claimed, so none runs
    # Additional file size for all records except claims; beyond it a write is an error.
    handover_log_order_reserve: int = 65_536
    # File size from which the log is compacted, unless another process is alive.
    handover_log_compaction_size: int = 524_288
    max_handover_record_size: int = 256  # size of a record; a longer one is skipped
    # Time to wait for another process that is starting; then this process starts without the log.
    handover_lock_timeout: float = 1.0
    handover_check_interval: float = 0.2  # time between two checks of which processes are alive
    max_handover_claims: int = 4_000  # submits kept, 15 min at 4/s; the oldest is discarded

    # Connections to caches
    max_object_size: int = 240_000  # body size of a response; a larger one closes the connection
    max_cache_line_size: int = 2_048  # line length in a response; a longer one closes the connection
    # Open requests on a connection; the next request uses another connection or is not sent.
    max_requests_per_connection: int = 100
    max_connections_per_server: int = 4  # open connections to one server; no more are opened
    max_cache_connections: int = 400  # open connections to all caches; an idle one is closed for a new one
    # Share of a cache's idle timeout after which the router closes an idle connection, before the cache does.
    keepalive_share: float = 0.8
    # An additional connection is opened when every connection has this many open requests.
    next_connection_threshold: int = 6
    # Ids of abandoned requests kept per connection to ignore their late responses; the oldest is discarded.
    max_abandoned_ids: int = 512
    # Times that an unwritten attempt is sent again after its connection closed; then it ends as unreachable.
    max_redispatches: int = 1
    response_timeout: float = 6.0  # time from first to last byte of a response; the connection is closed
    write_stall_timeout: float = 1.0  # time in which the cache reads no byte; the connection is closed
    connection_check_interval: float = 0.05  # time between two checks while requests are open
    idle_connection_check_interval: float = 0.5  # time between two checks while no requests are open
    connection_idle_timeout: float = 24.0  # idle time if no keepalive is configured; the connection is closed
    idle_probe_after: float = 0.1  # time without a byte while requests are open; the cache is probed
    # Probe price above which the delay of a probe exceeds the latency objective, in proportion to the price.
    probe_price_per_objective: float = 0.0125
    probe_timeout: float = 0.25  # time for the response to a probe; the connection is closed
    unresponsive_timeout: float = 3.0  # time without a byte if caches may not be probed; closed

    # Log
    max_log_lines: int = 10  # lines of one kind per window; more are counted but not written
    log_window: float = 1.0  # length of the window

    # Memory
    # Size of the tables of objects; the least recently used entry is dropped, or all cached orders.
    max_routing_table_size: float = 11 * BYTES_PER_MB
    # Bytes of the allowed memory that are not given out: objects of a moment, and growth between checks.
    memory_reserve: int = 1_572_864
    min_memory_capacity: int = 786_432  # bytes given out if the allowed memory is less than the program needs
    memory_check_interval: float = 0.2  # time between two measurements of the memory of this process
    # Time in which a cache sends nothing of a response while memory is short; the connection is closed.
    stalled_response_timeout: float = 1.0

    # Response cache
    response_cache_share: float = 1 / 8  # share of the allowed memory; the least recently used is evicted
    # Share of the memory that the process leaves at its start, if that is less.
    response_cache_capacity_share: float = 1 / 3

    # Event loop and queues
    max_poll_events: int = 512  # events of clients handled before events of caches are polled again
    admission_time_slice: float = 0.004  # time for serving queued requests before the next poll
    min_requests_per_slice: int = 4  # requests served per time slice, even if the slice is exceeded
    max_accepts: int = 16  # connections accepted before the next poll
    accept_pause: float = 0.1  # time for which no connections are accepted after descriptors ran out
    # Attempts that wait for a connection to one server; further attempts end as never sent.
    max_queued_attempts: int = 512

    # Change log
    max_change_log_frame: int = 1_048_576  # frame size; a larger frame closes the connection
    # Open connections, of which at most one is not silent; the one opened first is closed.
    max_change_log_connections: int = 4
    # Time to connect; then a second connection attempt is started.
    change_log_connection_attempt_delay: float = 0.8
    change_log_connect_timeout: float = 4.0  # time to connect; then the connection attempt has failed
    # Time without a byte, though the log sends one each second; then another connection is opened.
    change_log_silence_timeout: float = 2.0
    max_listed_servers: int = 12_288  # servers of the list; further ones are refused
    # Mean delay before the first retry, jittered by half so that routers don't retry at the same time.
    change_log_retry_delay: float = 0.2
    max_change_log_retry_delay: float = 0.5  # maximum retry delay, reached by doubling

    # Clocks and deadlines
    clock_check_interval: float = 1.0  # time between two checks for a step of the wall clock
    clock_tolerance: float = 0.05  # maximum difference between the clocks of two machines
    decision_grace: float = 0.01  # time after the deadline at which a request without a decision is failed

    # Graceful shutdown
    shutdown_accept_time: float = 0.8  # time after SIGTERM during which new requests are accepted
    # Time for open requests, after the accept time; then they are rejected.
    shutdown_response_timeout: float = 6.5
    # Time to write these rejections, after the response timeout; then connections are closed.
    shutdown_reject_timeout: float = 0.1
    kill_margin: float = 0.7  # the platform may kill the process this long after the longest time limit
    max_kill_deadline: float = 3.0  # maximum value of the longest time limit in that calculation

    # DNS front
    dns_query_timeout: float = 2.0  # time from query to response; then answered with SERVFAIL
    max_dns_payload: int = 1_232  # datagram size (DNS flag day 2020); a longer response is truncated
    max_dns_queries: int = 256  # open UDP queries; more are dropped
    max_dns_connections: int = 64  # open TCP connections; more are closed
    dns_idle_timeout: float = 10.0  # idle time of a TCP connection; then closed

    # Discovery
    # Minimum time between two successful lookups of a name, even if the TTL is shorter.
    min_resolve_interval: float = 0.5
    resolve_retry_delay: float = 0.3  # initial backoff after a failed lookup
    max_discovery_dials: int = 64  # open connections that verify addresses; more wait
    lookup_timeout: float = 3.0  # time for one lookup at all resolvers; then it has failed
    max_lookups: int = 256  # concurrent lookups; more wait
    snapshot_interval: float = 1.0  # time between two writes of the snapshot

    # Shared store
    # Time for a command; then the store counts as unavailable, early enough to reject a submit.
    store_command_timeout: float = 0.3
    # Time for a command that publishes a change; longer, since it goes on behind the answer of the console.
    store_publish_timeout: float = 1.0
    # Time in which a change is published before the console answers that the store is away.
    store_publish_wait: float = 0.6
    store_block_time: float = 5.0  # time for which the store may delay a reply while there are no updates
    max_store_events: int = 10_000  # events in the stream; the store drops the oldest
    store_page_size: int = 500  # entries or caches per request to the store
    # Changes not yet written to the store, or not yet read back; the oldest one written is dropped;
    # if there is none, a further change is refused.
    max_unshared_changes: int = 1_000
    # Purges kept over a restart; past it the older half counts as one purge of all objects.
    max_kept_purges: int = 2_000
    store_ticket_lifetime: int = 600  # time for which the store keeps the load ticket counter of a window
    # Time for which one router has the sole right to write the caches of the operator's file to the store.
    store_file_lock_lifetime: int = 10
    # Time for which that file counts as written to the store; then it is written again.
    store_file_done_lifetime: int = 2_592_000
    # Time after a start for which nothing is served until the store was read.
    store_start_wait: float = 0.7
    # Time after a start without the store; then all objects count as purged.
    purge_recovery_timeout: float = 0.8
    claim_lifetime: int = 3_600  # time for which the id of a submit is claimed

    # Admin console
    max_console_line: int = 1_024  # line length; a longer line closes the connection
    max_console_connections: int = 64  # open connections; more are closed
    console_idle_timeout: float = 600.0  # time without a line; then the connection is closed

    def with_descriptors(self, descriptors: int) -> Limits:
        """Return these limits with connection limits that fit this many file descriptors.

        Descriptors are divided between clients, caches, change log and operators, so that none of them can
        use up the descriptors of the others.
        """
        # At most two fifths are for clients, as each request may need connections to several caches.
        client_connections = min(self.max_client_connections, descriptors * 2 // 5)
        auxiliary_connections = descriptors // DESCRIPTORS_PER_AUXILIARY_CONNECTION
        rejected_connections = min(self.max_rejected_connections, auxiliary_connections)
        admin_connections = min(self.max_admin_connections, auxiliary_connections)
        others = client_connections + rejected_connections + admin_connections + self.reserved_descriptors
        per_server = max(MIN_CONNECTIONS_PER_SERVER, descriptors // DESCRIPTORS_PER_SERVER_CONNECTION)
        return replace(
            self,
            max_client_connections=client_connections,
            max_rejected_connections=rejected_connections,
            max_admin_connections=admin_connections,
            max_connections_per_server=min(self.max_connections_per_server, per_server),
            max_cache_connections=max(MIN_CACHE_CONNECTIONS, descriptors - others),
        )

    def with_memory(self, memory: float) -> Limits:
        """Return these limits with tables and files that fit so many bytes of allowed memory."""
        log_size = int(min(self.max_handover_log_size, memory / MEMORY_PER_HANDOVER_LOG_BYTE))
        table_size = memory / MEMORY_PER_TABLE_BYTE - TABLE_SIZE_REDUCTION
        return replace(
            self,
            max_handover_log_size=log_size,
            handover_log_compaction_size=min(
                self.handover_log_compaction_size, log_size // COMPACTIONS_PER_HANDOVER_LOG
            ),
            max_remembered_submits=int(min(self.max_remembered_submits, memory / MEMORY_PER_SUBMIT_ID)),
            max_change_log_frame=int(min(self.max_change_log_frame, memory / MEMORY_PER_FRAME_BYTE)),
            max_listed_servers=int(
                max(MIN_LISTED_SERVERS, min(self.max_listed_servers, memory / MEMORY_PER_LISTED_SERVER))
            ),
            max_routing_table_size=max(MIN_ROUTING_TABLE_SIZE, min(self.max_routing_table_size, table_size)),
            max_abandoned_ids=int(
                max(MIN_ABANDONED_IDS, min(self.max_abandoned_ids, memory / MEMORY_PER_ABANDONED_ID))
            ),
        )

    def with_settings(self, settings: Settings) -> Limits:
        """Return these limits with the times derived from the request classes and the site's settings."""
        objective = min(cls.latency_objective for cls in settings.classes)
        longest = max(cls.time_limit for cls in settings.classes)
        unresponsive_timeout = longest / 2
        # Expensive probes are sent later, when they tell more: responses that take the usual time have
        # arrived by then, and a connection that is still silent has probably been cut.
        probe_delay = objective * max(1.0, settings.probe_price / self.probe_price_per_objective)
        return replace(
            self,
            idle_probe_after=min(probe_delay, unresponsive_timeout),
            probe_timeout=min(objective, settings.connect_timeout),
            unresponsive_timeout=unresponsive_timeout,
            max_client_wait=max(self.max_client_wait, longest),
            response_write_timeout=max(self.response_write_timeout, longest),
            connection_idle_timeout=self.keepalive_share * settings.keepalive or self.connection_idle_timeout,
            max_requests_per_connection=min(self.max_requests_per_connection, settings.streams),
            response_timeout=longest,
            shutdown_response_timeout=longest + RESPONSE_TIMEOUT_MARGIN,
        )

    def with_kill_deadline(self, settings: Settings) -> Limits:
        """Return these limits with shutdown times that end before the platform kills the process."""
        longest = max(cls.time_limit for cls in settings.classes)
        killed_after = min(longest, self.max_kill_deadline) + self.kill_margin
        # Twice the time for writing the rejections, as a safety margin.
        reject_time = 2 * self.shutdown_reject_timeout
        accept_time = min(self.shutdown_accept_time, killed_after - reject_time)
        response_time = min(self.shutdown_response_timeout, killed_after - accept_time - reject_time)
        return replace(self, shutdown_accept_time=accept_time, shutdown_response_timeout=response_time)
