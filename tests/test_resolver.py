"""The appliance's own resolver against a scripted server: lies, cuts, silence, floods, and what it keeps."""

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
QUICK = UpstreamTimeouts(initial=0.15, shortest=0.1, longest=0.3, backoff=0.2)
TARGETS = tuple(SrvRecord(f"box-{n}.branch.test", 7100 + n, 0, 8) for n in range(4))


def script(server: DnsServer, count: int = 4, ttl: int = 1) -> None:
    """A site of so many caches."""
    server.put(SRV, "SRV", *(f"0 8 {7100 + n} box-{n}.branch.test." for n in range(count)), ttl=ttl)
    for number in range(count):
        server.put(f"box-{number}.branch.test", "A", f"127.0.1.{number % 250 + 1}", ttl=ttl)


def made(nursery: trio.Nursery, *servers: DnsServer, budget: float = 2.0, **lifetimes: float) -> Resolver:
    """A resolver of these upstreams."""
    return Resolver(
        [("127.0.0.1", server.port) for server in servers],
        nursery,
        budget=budget,
        lifetimes=Lifetimes(**lifetimes),  # type: ignore[arg-type]
        timeouts=QUICK,
        rng=random.Random(next(SEEDS)),
    )


@with_trio
async def test_srv() -> None:
    """Targets with the addresses sent along; a second look-up asks nobody; ids, ports and case change."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        script(server, ttl=60)
        resolver = made(nursery, server)
        found = await resolver.look_up(SRV + ".", RecordType.SRV)
        assert set(found.targets) == set(TARGETS)
        assert not found.is_stale
        assert dict(found.additional)["box-2.branch.test"] == ("127.0.1.3",)
        assert await resolver.look_up(SRV.upper(), RecordType.SRV) == found
        for number in range(4):
            one = await resolver.addresses(f"box-{number}.branch.test")
            assert one.addresses == (f"127.0.1.{number + 1}",)
        assert len(server.asked) == 1  # the addresses were sent along
        server.additional = False
        another = made(nursery, server)
        assert not (await another.look_up(SRV, RecordType.SRV)).additional
        for number in range(3):
            await another.addresses(f"box-{number}.branch.test")
        assert len(server.asked) == 5
        assert all(requested.edns for requested in server.asked)
        assert len({requested.id for requested in server.asked}) == 5
        # The kernel draws ports among 28,000: two of five are the same once in 3,000 runs, three never.
        assert len({requested.port for requested in server.asked}) >= 4
        assert any(a.name != a.name.lower() for a in server.asked)
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
async def test_lies(fault: Fault, tcp: bool) -> None:
    """What is no answer to this very question is passed over; what is cut or forged is asked over TCP."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        script(server)
        server.fail(fault)
        resolver = made(nursery, server)
        try:
            found = await resolver.look_up(SRV, RecordType.SRV)
            assert set(found.targets) == set(TARGETS)
            assert any(requested.tcp for requested in server.asked) is tcp or fault is Fault.SPOOFED
        except LookUpFailedError:
            # One that lies over TCP too is not believed there either; one bad datagram is waited out first.
            assert fault in (Fault.WRONG_ID, Fault.WRONG_NAME, Fault.WRONG_CASE, Fault.NOISE)
        assert (fault is Fault.FORMERR) is (not resolver.upstreams.all[0].edns)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "fault",
    [Fault.LOST, Fault.LATE, Fault.WRONG_PORT, Fault.SERVFAIL, Fault.REFUSED, Fault.REFERRAL, Fault.WRONG_ID],
)
@with_trio
async def test_second_upstream(fault: Fault) -> None:
    """One upstream that fails costs time, no answer; it is asked last from then on, and found again."""
    async with trio.open_nursery() as nursery:
        bad, good = await DnsServer().open(nursery), await DnsServer().open(nursery)
        script(bad)
        script(good)
        bad.fail(fault)
        resolver = made(nursery, bad, good, floor=0.0)
        assert set((await resolver.look_up(SRV, RecordType.SRV)).targets) == set(TARGETS)
        if fault in (Fault.LOST, Fault.LATE, Fault.WRONG_PORT):
            assert resolver.upstreams.order(0.0)[0].endpoint[1] == good.port
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("fault", [Fault.TCP_STALL, Fault.TCP_CUT, Fault.TCP_ENDLESS])
@with_trio
async def test_cut_and_no_tcp(fault: Fault) -> None:
    """A truncated answer missing half the caches, and no TCP: not used; the earlier one is, marked."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        script(server, ttl=0)
        resolver = made(nursery, server, budget=1.0, floor=0.05)
        first = await resolver.look_up(SRV, RecordType.SRV)
        server.fail(Fault.CUT, fault)
        await trio.sleep(0.06)
        found = await resolver.look_up(SRV, RecordType.SRV)
        assert found.is_stale
        assert found.targets == first.targets
        assert "TCP" in found.stale_reason
        server.fail()
        await trio.sleep(1.05)  # past the moment for which nobody is asked again
        assert not (await resolver.look_up(SRV, RecordType.SRV)).is_stale
        nursery.cancel_scope.cancel()


@with_trio
async def test_all_away() -> None:
    """Nobody answers: within the budget it is said so; a lost name of which nothing is known is a failure."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.fail(Fault.LOST)
        resolver = made(nursery, server, budget=0.4)
        begun = trio.current_time()
        with pytest.raises(LookUpFailedError, match=r"no answer|no upstream"):
            await resolver.look_up(SRV, RecordType.SRV)
        assert trio.current_time() - begun >= 0.1
        requested = len(server.asked)
        with pytest.raises(LookUpFailedError):  # and is not put again for a moment
            await resolver.look_up(SRV, RecordType.SRV)
        assert len(server.asked) == requested
        nursery.cancel_scope.cancel()


@with_trio
async def test_refused_connection() -> None:
    """A port where nobody listens fails at once, over UDP as over TCP."""
    async with trio.open_nursery() as nursery:
        resolver = Resolver([("127.0.0.1", free_port())], nursery, timeouts=QUICK)
        with pytest.raises(LookUpFailedError, match="refused"):
            await resolver.look_up(SRV, RecordType.SRV)
        nursery.cancel_scope.cancel()


@with_trio
async def test_joined() -> None:
    """Fifty who ask at once are one query; one of them leaving takes it from nobody."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        script(server)
        resolver = made(nursery, server)
        found: list[object] = []

        async def request() -> None:
            found.append(await resolver.look_up(SRV, RecordType.SRV))

        async with trio.open_nursery() as askers:
            with trio.CancelScope() as leaving:
                async with trio.open_nursery() as first:
                    first.start_soon(request)
                    await trio.lowlevel.checkpoint()
                    leaving.cancel()
            for _ in range(50):
                askers.start_soon(request)
        assert len(found) >= 50
        assert len(server.asked) == 1
        nursery.cancel_scope.cancel()


@with_trio
async def test_aliases() -> None:
    """Aliases are followed, over several answers too; a loop of them is found."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.put("a.test", "CNAME", "b.test.")
        server.put("b.test", "CNAME", "c.test.")
        server.put("c.test", "A", "127.0.1.7")
        server.put("x.test", "CNAME", "y.test.")
        server.put("y.test", "CNAME", "x.test.")
        resolver = made(nursery, server)
        assert (await resolver.addresses("a.test")).addresses == ("127.0.1.7",)
        with pytest.raises(LookUpFailedError, match="loop"):
            await resolver.look_up("x.test", RecordType.A)
        assert len(server.asked) < 20
        nursery.cancel_scope.cancel()


@with_trio
async def test_none() -> None:
    """No such name, and none of this kind, are answers: kept by the SOA's minimum, and never stale."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.minimum = 60
        server.put("only-a.test", "A", "127.0.1.1")
        resolver = made(nursery, server)
        for name in ("no-such.test", "only-a.test"):
            for _ in range(2):
                found = await resolver.look_up(name, RecordType.SRV)
                assert not found.targets
                assert not found.is_stale
        assert len(server.asked) == 2
        assert (await resolver.addresses("only-a.test")).addresses == ("127.0.1.1",)
        nursery.cancel_scope.cancel()


@with_trio
async def test_two_thousand() -> None:
    """2,000 targets don't fit a datagram: they come over TCP, whole, and make 2,000 caches."""
    async with trio.open_nursery() as nursery:
        server = await DnsServer().open(nursery)
        server.put("_c._tcp.x", "SRV", *(f"0 8 80 b{n}.x." for n in range(2000)))
        server.additional = False
        # Neither wording nor reading them is what is tested here: a slow machine may take its time.
        resolver = Resolver(
            [("127.0.0.1", server.port)],
            nursery,
            budget=60.0,
            timeouts=UpstreamTimeouts(initial=20.0, shortest=20.0, longest=20.0, backoff=0.2),
        )
        found = await resolver.look_up("_c._tcp.x", RecordType.SRV)
        assert len(found.targets) == 2000
        assert server.asked[-1].tcp
        merge = MembershipMerge(Policy(), [SrvWatch("_c._tcp.x", "branch")])
        merge.apply_srv_answer("_c._tcp.x", found.targets, found.upstream, 1.0)
        assert len(merge.caches) == len(merge.sources.hosts) == 2000
        nursery.cancel_scope.cancel()


def reply(change: Callable[[dns.message.Message], None] | None = None) -> tuple[bytes, object]:
    """An answer to a question, changed."""
    sent = encode_query(Question("box.branch.test", RecordType.A), random.Random(2), edns=True)
    message = dns.message.make_response(dns.message.from_wire(sent.wire))
    if change:
        change(message)
    return message.to_wire(), sent


@given(st.binary(max_size=80), st.integers(0, 60))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_read_noise(noise: bytes, cut: int) -> None:
    """Noise, and an answer cut at any byte, never raise and never give records."""
    wire, sent = reply()
    for data in (noise, wire[:2] + noise, wire[:cut], wire[:12] + noise):
        found = decode_reply(data, sent, is_tcp=False)  # type: ignore[arg-type]
        assert not found.addresses
        assert not found.targets


@pytest.mark.parametrize(("ttl", "until"), [(0, 0.5), (10, 10.0), (2**31 - 1, 300.0)])
def test_lifetimes(ttl: int, until: float) -> None:
    """Lifetimes of nothing and of decades are held between floor and ceiling."""
    cache, question = AnswerCache(Lifetimes(floor=0.5, ceiling=300.0)), Question("a.test", RecordType.A)
    found = Reply(ReplyKind.FOUND, addresses=("127.0.0.1",), ttl=float(ttl))
    cache.put(question, found, "u", 100.0)
    assert cache.get_fresh(question, 100.0 + until - 0.01)
    assert not cache.get_fresh(question, 100.0 + until)
    assert cache.get_stale(question, 100.0 + until + 3599)
    assert not cache.get_stale(question, 100.0 + until + 3601)
    assert not cache.get_fresh(question, 99.0)  # the clock has gone back: asked anew


def test_cache_bounds() -> None:
    """So many answers and no more, the least used out first; a failure is remembered for a moment."""
    cache = AnswerCache(Lifetimes(entries=3))
    for number in range(5):
        cache.put(Question(f"{number}.test", RecordType.A), Reply(ReplyKind.FOUND, ttl=60.0), "u", 1.0)
        cache.get_fresh(Question("2.test", RecordType.A), 1.0)
    assert len(cache) == 3
    assert cache.get_fresh(Question("2.test", RecordType.A), 2.0)
    assert not cache.get_fresh(Question("0.test", RecordType.A), 2.0)
    cache.put_failure(Question("f.test", RecordType.A), "SERVFAIL", 10.0)
    assert cache.failure_reason(Question("f.test", RecordType.A), 10.9) == "SERVFAIL"
    assert not cache.failure_reason(Question("f.test", RecordType.A), 11.0)


def test_patience() -> None:
    """Time-outs are learned by upstream, doubled by silence; who is silent is asked last, then again."""
    ends: list[Endpoint] = [("127.0.0.1", 1), ("127.0.0.2", 2)]
    both = Upstreams(ends, UpstreamTimeouts())
    one, two = both.all
    assert both.timeout(one) == 0.4
    for _ in range(30):
        both.record_answer(one, 0.02)
    assert 0.05 <= both.timeout(one) < 0.1
    both.record_answer(two, 0.3)
    assert both.order(5.0) == [one, two]
    both.record_failure(one, 5.0)
    assert both.timeout(one) >= 0.1
    assert both.order(5.1) == [two, one]
    assert both.order(5.6) == [one, two]
    for _ in range(20):
        both.record_failure(one, 5.0)
    assert both.timeout(one) == 1.0
    assert one.backoff_until <= 13.0
