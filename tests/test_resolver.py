"""The stub resolver against a scripted server: mismatched, truncated and missing replies, and its cache."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import dns.message
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenlane.config import Endpoint
from brackenlane.discovery.dns_cache import AnswerCache, Lifetimes
from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.query import Question, RecordType, Reply, ReplyKind, decode_reply, encode_query
from brackenlane.discovery.records import Policy, SrvRecord, SrvWatch
from brackenlane.discovery.resolver import LookUpFailedError, Resolver
from brackenlane.discovery.upstreams import Upstreams, UpstreamTimeouts
from brackenlane.lab.stand_ins.dns import DnsServer, Fault
from tests.stand_ins import free_port, with_trio

SRV = "_cache._tcp.branch.test"
SEEDS = itertools.count(1)
SHORT_TIMEOUTS = UpstreamTimeouts(initial=0.15, shortest=0.1, longest=0.3, backoff=0.2)
TARGETS = tuple(SrvRecord(f"box-{n}.branch.test", 7100 + n, 0, 8) for n in range(4))


def add_records(server: DnsServer, count: int = 4, ttl: int = 1) -> None:
    """Add the SRV and address records of a site with `count` caches."""
    server.set_records(SRV, "SRV", *(f"0 8 {7100 + n} box-{n}.branch.test." for n in range(count)), ttl=ttl)
    for number in range(count):
        server.set_records(f"box-{number}.branch.test", "A", f"127.0.1.{number % 250 + 1}", ttl=ttl)


def create_resolver(
    nursery: trio.Nursery, *servers: DnsServer, budget: float = 2.0, **lifetimes: float
) -> Resolver:
    """Return a resolver with these upstreams."""
    return Resolver(
        [("127.0.0.1", server.port) for server in servers],
        nursery,
        budget=budget,
        lifetimes=Lifetimes(**lifetimes),  # type: ignore[arg-type]
        timeouts=SHORT_TIMEOUTS,
        rng=random.Random(next(SEEDS)),
    )


@with_trio
async def test_srv_look_up() -> None:
    """Targets and additional addresses are cached; each query has its own id, port and letter case."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        add_records(server, ttl=60)
        resolver = create_resolver(nursery, server)
        found = await resolver.look_up(SRV + ".", RecordType.SRV)
        assert set(found.targets) == set(TARGETS)
        assert not found.is_stale
        assert dict(found.additional)["box-2.branch.test"] == ("127.0.1.3",)
        assert await resolver.look_up(SRV.upper(), RecordType.SRV) == found
        for number in range(4):
            one = await resolver.addresses(f"box-{number}.branch.test")
            assert one.addresses == (f"127.0.1.{number + 1}",)
        assert len(server.queries) == 1  # the addresses came in the additional section
        server.additional = False
        another = create_resolver(nursery, server)
        assert not (await another.look_up(SRV, RecordType.SRV)).additional
        for number in range(3):
            await another.addresses(f"box-{number}.branch.test")
        assert len(server.queries) == 5
        assert all(query.edns for query in server.queries)
        assert len({query.id for query in server.queries}) == 5
        # The kernel chooses among 28,000 ports: two of five are equal once in 3,000 runs, three never.
        assert len({query.port for query in server.queries}) >= 4
        assert any(query.name != query.name.lower() for query in server.queries)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("fault", "tcp"),
    [
        (Fault.WRONG_ID, True),
        (Fault.WRONG_NAME, True),
        (Fault.WRONG_CASE, True),
        (Fault.NOISE, True),
        (Fault.SPOOFED, False),
        (Fault.CUT, True),
        (Fault.FORMERR, False),
    ],
)
@with_trio
async def test_mismatched_and_truncated_replies(fault: Fault, tcp: bool) -> None:
    """Replies that don't match the query are ignored; truncated or spoofed ones lead to a query over TCP."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        add_records(server)
        server.set_faults(fault)
        resolver = create_resolver(nursery, server)
        try:
            found = await resolver.look_up(SRV, RecordType.SRV)
            assert set(found.targets) == set(TARGETS)
            assert any(query.tcp for query in server.queries) is tcp or fault is Fault.SPOOFED
        except LookUpFailedError:
            # After mismatched datagrams the query goes over TCP; a mismatched reply is not used there either.
            assert fault in (Fault.WRONG_ID, Fault.WRONG_NAME, Fault.WRONG_CASE, Fault.NOISE)
        assert (fault is Fault.FORMERR) is (not resolver.upstreams.all[0].edns)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "fault",
    [Fault.LOST, Fault.LATE, Fault.WRONG_PORT, Fault.SERVFAIL, Fault.REFUSED, Fault.REFERRAL, Fault.WRONG_ID],
)
@with_trio
async def test_second_upstream(fault: Fault) -> None:
    """If one upstream fails, another one answers; an upstream that timed out is queried last."""
    async with trio.open_nursery() as nursery:
        bad, good = await DnsServer().open(nursery), await DnsServer().open(nursery)
        add_records(bad)
        add_records(good)
        bad.set_faults(fault)
        resolver = create_resolver(nursery, bad, good, min_ttl=0.0)
        assert set((await resolver.look_up(SRV, RecordType.SRV)).targets) == set(TARGETS)
        if fault in (Fault.LOST, Fault.LATE, Fault.WRONG_PORT):
            assert resolver.upstreams.order(0.0)[0].endpoint[1] == good.port
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("fault", [Fault.TCP_STALL, Fault.TCP_CUT, Fault.TCP_ENDLESS])
@with_trio
async def test_truncated_reply_without_tcp(fault: Fault) -> None:
    """A truncated reply is not used if TCP fails; the earlier answer is returned, marked as stale."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        add_records(server, ttl=0)
        resolver = create_resolver(nursery, server, budget=1.0, min_ttl=0.05)
        first = await resolver.look_up(SRV, RecordType.SRV)
        server.set_faults(Fault.CUT, fault)
        await trio.sleep(0.06)
        found = await resolver.look_up(SRV, RecordType.SRV)
        assert found.is_stale
        assert found.targets == first.targets
        assert "TCP" in found.stale_reason
        server.set_faults()
        await trio.sleep(1.05)  # longer than `Lifetimes.failure_ttl`, for which no query is sent
        assert not (await resolver.look_up(SRV, RecordType.SRV)).is_stale
        nursery.cancel_scope.cancel()


@with_trio
async def test_no_upstream_answers() -> None:
    """If no upstream answers, an uncached name fails within the budget, and is not queried again at once."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.set_faults(Fault.LOST)
        resolver = create_resolver(nursery, server, budget=0.4)
        started = trio.current_time()
        with pytest.raises(LookUpFailedError, match=r"no answer|no upstream"):
            await resolver.look_up(SRV, RecordType.SRV)
        assert trio.current_time() - started >= 0.1
        query_count = len(server.queries)
        with pytest.raises(LookUpFailedError):  # from the cache of failures, without a query
            await resolver.look_up(SRV, RecordType.SRV)
        assert len(server.queries) == query_count
        nursery.cancel_scope.cancel()


@with_trio
async def test_refused_connection() -> None:
    """A refused connection fails the look-up with that reason."""
    async with trio.open_nursery() as nursery:
        resolver = Resolver([("127.0.0.1", free_port())], nursery, timeouts=SHORT_TIMEOUTS)
        with pytest.raises(LookUpFailedError, match="refused"):
            await resolver.look_up(SRV, RecordType.SRV)
        nursery.cancel_scope.cancel()


@with_trio
async def test_concurrent_look_ups_share_a_query() -> None:
    """Fifty concurrent look-ups share one query, which the cancellation of the first caller does not end."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        add_records(server)
        resolver = create_resolver(nursery, server)
        found: list[object] = []

        async def look_up() -> None:
            found.append(await resolver.look_up(SRV, RecordType.SRV))

        async with trio.open_nursery() as callers:
            with trio.CancelScope() as cancelled_scope:
                async with trio.open_nursery() as first:
                    first.start_soon(look_up)
                    await trio.lowlevel.checkpoint()
                    cancelled_scope.cancel()
            for _ in range(50):
                callers.start_soon(look_up)
        assert len(found) >= 50
        assert len(server.queries) == 1
        nursery.cancel_scope.cancel()


@with_trio
async def test_aliases() -> None:
    """Aliases are followed over several replies; a loop of aliases is an error."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.set_records("a.test", "CNAME", "b.test.")
        server.set_records("b.test", "CNAME", "c.test.")
        server.set_records("c.test", "A", "127.0.1.7")
        server.set_records("x.test", "CNAME", "y.test.")
        server.set_records("y.test", "CNAME", "x.test.")
        resolver = create_resolver(nursery, server)
        assert (await resolver.addresses("a.test")).addresses == ("127.0.1.7",)
        with pytest.raises(LookUpFailedError, match="loop"):
            await resolver.look_up("x.test", RecordType.A)
        assert len(server.queries) < 20
        nursery.cancel_scope.cancel()


@with_trio
async def test_negative_answers() -> None:
    """No such name and no such record are answers, cached for the SOA minimum and never served stale."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.negative_ttl = 60
        server.set_records("only-a.test", "A", "127.0.1.1")
        resolver = create_resolver(nursery, server)
        for name in ("no-such.test", "only-a.test"):
            for _ in range(2):
                found = await resolver.look_up(name, RecordType.SRV)
                assert not found.targets
                assert not found.is_stale
        assert len(server.queries) == 2
        assert (await resolver.addresses("only-a.test")).addresses == ("127.0.1.1",)
        nursery.cancel_scope.cancel()


@with_trio
async def test_answer_of_2000_targets_over_tcp() -> None:
    """2,000 targets don't fit in a datagram: they are received over TCP and define 2,000 caches."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.set_records("_c._tcp.x", "SRV", *(f"0 8 80 b{n}.x." for n in range(2000)))
        server.additional = False
        # Long timeouts: encoding and decoding so many records takes seconds on a slow machine.
        resolver = Resolver(
            [("127.0.0.1", server.port)],
            nursery,
            budget=60.0,
            timeouts=UpstreamTimeouts(initial=20.0, shortest=20.0, longest=20.0, backoff=0.2),
        )
        found = await resolver.look_up("_c._tcp.x", RecordType.SRV)
        assert len(found.targets) == 2000
        assert server.queries[-1].tcp
        merge = MembershipMerge(Policy(), [SrvWatch("_c._tcp.x", "branch")])
        merge.apply_srv_answer("_c._tcp.x", found.targets, found.upstream, 1.0)
        assert len(merge.caches) == len(merge.sources.hosts) == 2000
        nursery.cancel_scope.cancel()


def encode_reply(change: Callable[[dns.message.Message], None] | None = None) -> tuple[bytes, object]:
    """Return an encoded reply, modified by `change`, and the query it belongs to."""
    sent = encode_query(Question("box.branch.test", RecordType.A), random.Random(2), edns=True)
    message = dns.message.make_response(dns.message.from_wire(sent.wire))
    if change:
        change(message)
    return message.to_wire(), sent


@given(st.binary(max_size=80), st.integers(0, 60))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_malformed_replies(noise: bytes, cut: int) -> None:
    """Random bytes and replies cut at any byte neither raise nor yield records."""
    wire, sent = encode_reply()
    for data in (noise, wire[:2] + noise, wire[:cut], wire[:12] + noise):
        found = decode_reply(data, sent, is_tcp=False)  # type: ignore[arg-type]
        assert not found.addresses
        assert not found.targets


@pytest.mark.parametrize(("ttl", "lifetime"), [(0, 0.5), (10, 10.0), (2**31 - 1, 300.0)])
def test_lifetimes(ttl: int, lifetime: float) -> None:
    """TTLs of zero and of decades are clamped to the limits."""
    cache, question = AnswerCache(Lifetimes(min_ttl=0.5, max_ttl=300.0)), Question("a.test", RecordType.A)
    found = Reply(ReplyKind.FOUND, addresses=("127.0.0.1",), ttl=float(ttl))
    cache.put(question, found, "u", 100.0)
    assert cache.get_fresh(question, 100.0 + lifetime - 0.01)
    assert not cache.get_fresh(question, 100.0 + lifetime)
    assert cache.get_stale(question, 100.0 + lifetime + 3599)
    assert not cache.get_stale(question, 100.0 + lifetime + 3601)
    assert not cache.get_fresh(question, 99.0)  # the clock was set back


def test_cache_bounds() -> None:
    """The least recently used answer is evicted at the limit; failures stay for `Lifetimes.failure_ttl`."""
    cache = AnswerCache(Lifetimes(max_entries=3))
    for number in range(5):
        cache.put(Question(f"{number}.test", RecordType.A), Reply(ReplyKind.FOUND, ttl=60.0), "u", 1.0)
        cache.get_fresh(Question("2.test", RecordType.A), 1.0)
    assert len(cache) == 3
    assert cache.get_fresh(Question("2.test", RecordType.A), 2.0)
    assert not cache.get_fresh(Question("0.test", RecordType.A), 2.0)
    cache.put_failure(Question("f.test", RecordType.A), "SERVFAIL", 10.0)
    assert cache.failure_reason(Question("f.test", RecordType.A), 10.9) == "SERVFAIL"
    assert not cache.failure_reason(Question("f.test", RecordType.A), 11.0)


def test_upstream_timeouts() -> None:
    """Timeouts follow each upstream's response time and double on failure; a failed upstream goes last."""
    endpoints: list[Endpoint] = [("127.0.0.1", 1), ("127.0.0.2", 2)]
    upstreams = Upstreams(endpoints, UpstreamTimeouts())
    one, two = upstreams.all
    assert upstreams.timeout(one) == 0.4
    for _ in range(30):
        upstreams.record_answer(one, 0.02)
    assert 0.05 <= upstreams.timeout(one) < 0.1
    upstreams.record_answer(two, 0.3)
    assert upstreams.order(5.0) == [one, two]
    upstreams.record_failure(one, 5.0)
    assert upstreams.timeout(one) >= 0.1
    assert upstreams.order(5.1) == [two, one]
    assert upstreams.order(5.6) == [one, two]
    for _ in range(20):
        upstreams.record_failure(one, 5.0)
    assert upstreams.timeout(one) == 1.0
    assert one.backoff_until <= 13.0


@with_trio
async def test_alias_to_the_root_fails_one_look_up_only() -> None:
    """Guards against: one answer `CNAME .` ended the appliance, as the root was then asked for."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.set_records("box-2.test", "A", "127.0.1.2", ttl=1)
        server.set_records("box-3.test", "A", "127.0.1.3")
        resolver = create_resolver(nursery, server, min_ttl=0.1)
        assert (await resolver.addresses("box-2.test")).addresses == ("127.0.1.2",)
        server.set_records("box-2.test", "A")
        server.set_records("box-2.test", "CNAME", ".", ttl=1)
        await trio.sleep(1.1)
        stale = await resolver.addresses("box-2.test")
        assert stale.is_stale
        assert stale.addresses == ("127.0.1.2",)  # the address in use is kept, as with any unusable answer
        assert "an alias to the root" in stale.stale_reason
        assert (await resolver.addresses("box-3.test")).addresses == ("127.0.1.3",)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "name",
    ["", ".", "box..test", ".test", "x" * 64 + ".test", "x." * 128, "\\999.test", "x\ud800.test"],
)
@with_trio
async def test_text_that_is_no_domain_name_fails_one_look_up_only(name: str) -> None:
    """Guards against: a host name that cannot be encoded, of any source, ended the program at its look-up."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.set_records("box-3.test", "A", "127.0.1.3")
        resolver = create_resolver(nursery, server)
        with pytest.raises(LookUpFailedError):
            await resolver.addresses(name)
        resolver.expire_addresses(name)
        assert (await resolver.addresses("box-3.test")).addresses == ("127.0.1.3",)
        assert {query.name.lower().rstrip(".") for query in server.queries} == {"box-3.test"}
        nursery.cancel_scope.cancel()


@with_trio
async def test_unexpected_error_fails_one_look_up_only(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against: any exception of a look-up ended the program, whose nursery runs all look-ups."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.set_records("box-2.test", "A", "127.0.1.2")
        server.set_records("box-3.test", "A", "127.0.1.3")
        resolver = create_resolver(nursery, server, failure_ttl=0.01)
        order = resolver.upstreams.order
        resolver.upstreams.order = lambda now: [][0]  # type: ignore[method-assign]
        with pytest.raises(LookUpFailedError, match="IndexError"):
            await resolver.look_up("box-2.test", RecordType.A)
        assert "box-2.test A failed unexpectedly" in caplog.text
        assert "IndexError" in caplog.text
        resolver.upstreams.order = order  # type: ignore[method-assign]
        await trio.sleep(0.02)
        for number in (2, 3):
            assert (await resolver.addresses(f"box-{number}.test")).addresses == (f"127.0.1.{number}",)
        nursery.cancel_scope.cancel()
