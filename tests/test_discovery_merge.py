"""The merge of all sources: drains, mass removal, standby, swapped and alternating addresses, restarts."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brackenlane.discovery.merge import MembershipMerge
from brackenlane.discovery.records import (
    CacheDefinition,
    Change,
    DefinitionSource,
    MergedState,
    OperatorOrder,
    Policy,
    SrvRecord,
    SrvWatch,
    srv_cache_id,
)
from brackenlane.routing.members import ServerState

SRV = "_cache._tcp.branch.test."
HOSTS = ("one.branch.test", "two.branch.test", "three.branch.test")
IDS = [srv_cache_id(host, 80) for host in HOSTS]
POLICY = Policy(removal_grace=5.0, confirmation_delay=2.0, min_move_interval=5.0)


def create_merge(standby_threshold: int = 99, hosts: tuple[str, ...] = HOSTS) -> MembershipMerge:
    """Return a merge with one watched SRV entry, whose hosts all have an address."""
    merge = MembershipMerge(POLICY, [SrvWatch(SRV, "branch", standby_threshold=standby_threshold)])
    for number, host in enumerate(hosts):
        merge.apply_host_answer(host, [f"127.0.1.{number + 1}"], 0.0)
    return merge


def srv_records(*hosts: str, priority: int = 0, weight: int = 8) -> list[SrvRecord]:
    """Return SRV records for these hosts."""
    return [SrvRecord(host, 80, priority, weight) for host in hosts]


def states(changes: list[Change]) -> dict[str, ServerState]:
    """Return the published state of each changed cache."""
    assert len({c.member.server for c in changes}) == len(changes), "two changes of one cache in one update"
    return {c.member.server: c.member.state for c in changes}


def serving(merge: MembershipMerge) -> set[str]:
    """Return the ids of the serving caches."""
    return {server for server, cache in merge.caches.items() if cache.state is MergedState.SERVING}


def test_first_answer() -> None:
    """Caches of the first answer are warm, with address and weight; those added later are cold."""
    merge = create_merge()
    changes = merge.apply_srv_answer(SRV, srv_records(*HOSTS[:2]), "u1", 10.0)
    assert states(changes) == dict.fromkeys(IDS[:2], ServerState.SERVING)
    assert {c.endpoint for c in changes} == {("127.0.1.1", 80), ("127.0.1.2", 80)}
    assert all(c.member.started_at == 0 and c.member.weight == 8 for c in changes)
    [added] = merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 20.0)
    assert added.member.server == IDS[2]
    assert added.member.started_at == 20.0
    # An unchanged answer is not published.
    assert merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 30.0) == []


def test_drain_overrides_answers() -> None:
    """A drain applies at once and until restored, whatever answers, priorities and addresses follow."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    assert states(merge.order(IDS[0], OperatorOrder(True, 11.0, "console"))) == {IDS[0]: ServerState.DRAINING}
    merge.apply_srv_answer(SRV, srv_records(*HOSTS, priority=0, weight=99), "u1", 12.0)
    merge.apply_srv_answer(SRV, srv_records(*HOSTS[1:]), "u1", 13.0)
    merge.tick(19.0)
    assert IDS[0] not in merge.caches
    assert merge.apply_host_answer(HOSTS[0], ["127.0.9.9"], 20.0) == []
    [back] = merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 21.0)
    assert back.member.state is ServerState.DRAINING
    assert back.endpoint == ("127.0.9.9", 80)
    assert serving(merge) == set(IDS[1:])
    assert "drained by console" in merge.explain(IDS[0], 22.0)[0]
    assert merge.order(IDS[0], OperatorOrder(False, 10.5, "late news")) == []  # older than the drain
    [again] = merge.order(IDS[0], OperatorOrder(False, 24.0, "console"))
    assert again.member.state is ServerState.SERVING
    assert again.member.started_at == 21.0


def test_drained_cache_named_again_before_its_address_is_known() -> None:
    """A drain is kept after the cache was removed, and applies again before its address is looked up."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    merge.order(IDS[0], OperatorOrder(True, 11.0, "console"))
    merge.apply_srv_answer(SRV, srv_records(*HOSTS[1:]), "u1", 12.0)
    merge.tick(19.0)
    merge.sources.discard_unnamed_host(HOSTS[0])
    assert merge.explain(IDS[0], 19.0)[0].startswith(f"{IDS[0]} is named by nobody now")
    assert merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 20.0) == []
    assert merge.explain(IDS[0], 20.0)[0] == f"{IDS[0]} is not found: drained by console"
    [found] = merge.apply_host_answer(HOSTS[0], ["127.0.1.1"], 21.0)
    assert found.member.state is ServerState.DRAINING
    assert merge.explain(IDS[0], 21.0)[0].startswith(f"{IDS[0]} is draining at 127.0.1.1")


@pytest.mark.parametrize(("hosts", "is_pending"), [(HOSTS[:2], False), (HOSTS[:1], True), ((), True)])
def test_mass_removal(hosts: tuple[str, ...], is_pending: bool) -> None:
    """One answer removes up to half of the members; a second upstream or a later answer confirms more."""
    for second in ("u1", "u2"):
        merge = create_merge()
        merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
        merge.apply_srv_answer(SRV, srv_records(*hosts), "u1", 20.0)
        assert merge.tick(30.0) == [] if is_pending else merge.tick(30.0)
        assert serving(merge) == set(IDS if is_pending else IDS[:2])
        if is_pending:
            assert any("not believed" in line for line in merge.explain(IDS[2], 30.0))
            merge.apply_srv_answer(
                SRV, srv_records(*hosts), second, 21.0
            )  # too early if it is the same upstream
            merge.tick(30.0)
            assert serving(merge) == (set(IDS) if second == "u1" else set(IDS[: len(hosts)]))
            merge.apply_srv_answer(SRV, srv_records(*hosts), second, 31.0)
            merge.tick(37.0)
            assert serving(merge) == set(IDS[: len(hosts)])


def test_complete_deploy() -> None:
    """A deploy replaces all caches while look-ups fail: new ones are cold, old ones get a grace period."""
    merge = create_merge(hosts=(*HOSTS, "four.branch.test", "five.branch.test", "six.branch.test"))
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    for now in (11.0, 12.0, 13.0):
        merge.sources.record_failure(SRV, "timed out")
        assert merge.tick(now) == []
    new = ("four.branch.test", "five.branch.test", "six.branch.test")
    changes = merge.apply_srv_answer(SRV, srv_records(*new), "u1", 14.0)
    assert all(c.member.started_at == 14.0 and c.member.state is ServerState.SERVING for c in changes)
    # Half of six may be removed at once; the old three are in their grace period.
    assert len(serving(merge)) == 6
    merge.sources.record_failure(SRV, "timed out")
    removed = merge.tick(19.5)
    assert states(removed) == dict.fromkeys(IDS, ServerState.GONE)
    assert len(serving(merge)) == 3


def test_restored_srv_entry() -> None:
    """An SRV entry that is emptied by mistake and restored removes no cache and marks none as cold."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    for now in (20.0, 21.0):
        assert merge.apply_srv_answer(SRV, [SrvRecord(".", 0)], "u1", now) == []
    assert merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 21.5) == []
    assert merge.entries[SRV].pending_removal is None
    assert merge.tick(99.0) == []
    assert serving(merge) == set(IDS)


def test_failed_look_up() -> None:
    """A failed look-up removes no cache, and its error is shown in the explanation."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    merge.sources.record_failure(SRV, "timed out")
    merge.sources.record_failure(HOSTS[0], "SERVFAIL")
    assert merge.tick(1e6) == []
    assert serving(merge) == set(IDS)
    assert any("timed out" in line for line in merge.explain(IDS[0], 20.0))


def test_alternating_answers() -> None:
    """Alternating SRV answers keep all caches; alternating addresses change a cache at a limited rate."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    reported: list[Change] = []
    for number in range(40):
        now = 11.0 + number
        reported += merge.apply_srv_answer(SRV, srv_records(*HOSTS[number % 2 : number % 2 + 2]), "u1", now)
        reported += merge.tick(now)
    assert reported == []
    assert serving(merge) == set(IDS)
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 51.0)
    for number in range(40):
        reported += merge.apply_host_answer(HOSTS[0], [f"127.0.2.{number % 2 + 1}"], 60.0 + number)
        reported += merge.tick(60.0 + number)
    assert 0 < len(reported) <= 9
    assert all(c.member.started_at >= 60.0 for c in reported)


def test_unused_hosts_are_discarded() -> None:
    """Targets that come and go leave no address state behind; a host that is in use keeps its state."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    for number in range(50):
        host = f"new-{number}.branch.test"
        merge.apply_srv_answer(SRV, srv_records(*HOSTS, host), "u1", 20.0 + 20 * number)
        merge.apply_host_answer(host, [f"127.0.4.{number + 1}"], 20.0 + 20 * number)
        merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 22.0 + 20 * number)
        merge.tick(30.0 + 20 * number)
        merge.sources.discard_unnamed_host(host)
        merge.sources.discard_unnamed_host(HOSTS[0])
    assert merge.sources.addresses.by_host.keys() == set(HOSTS)
    assert serving(merge) == set(IDS)


def test_unreachable_address() -> None:
    """An unreachable address is replaced at once, however recently the address changed."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    for number, is_unreachable in ((1, False), (2, True), (3, False), (3, True)):
        changes = merge.apply_host_answer(HOSTS[0], [f"127.0.3.{number}"], 20.0, is_unreachable)
        assert bool(changes) is (is_unreachable or number == 1)
    assert merge.caches[IDS[0]].endpoint == ("127.0.3.3", 80)


def test_swapped_addresses() -> None:
    """After two hosts swap addresses, each cache is at its new address and cold; none is listed twice."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    first = merge.apply_host_answer(HOSTS[0], ["127.0.1.2"], 20.0)
    both = merge.apply_host_answer(HOSTS[1], ["127.0.1.1"], 20.0)
    endpoints = [cache.endpoint for cache in merge.caches.values()]
    assert len(endpoints) == len(set(endpoints)) == 3, (first, both)
    assert {merge.caches[server].cold_since for server in IDS[:2]} == {20.0}


def test_one_cache_with_two_names() -> None:
    """A cache defined by file and SRV, or by two names of one address, is listed once, as in the file."""
    merge = MembershipMerge(POLICY, [SrvWatch(SRV, "branch")])
    merge.apply_host_answer(HOSTS[0], ["127.0.1.1"], 0.0)
    merge.apply_host_answer(HOSTS[1], ["127.0.1.2"], 0.0)
    merge.define(DefinitionSource.FILE, CacheDefinition("box-1", HOSTS[0], 80, "branch", weight=5.0))
    merge.define(DefinitionSource.FILE, CacheDefinition("box-2", "127.0.1.2", 80, "branch"))
    merge.apply_srv_answer(SRV, srv_records(*HOSTS[:2], weight=50), "u1", 2.0)
    assert merge.caches.keys() == {"box-1", "box-2"}
    assert merge.caches["box-1"].definition.weight == 5.0
    assert merge.caches["box-1"].sources == (DefinitionSource.FILE, DefinitionSource.SRV)
    # A drain by either id applies to the cache.
    [drained] = merge.order(IDS[0], OperatorOrder(True, 3.0, "console"))
    assert (drained.member.server, drained.member.state) == ("box-1", ServerState.DRAINING)
    assert any("the same box as" in line for line in merge.explain("box-1", 4.0))
    merge.remove(DefinitionSource.FILE, "box-2")
    assert merge.caches.keys() == {"box-1", IDS[1]}


def test_standby() -> None:
    """Targets of lower priority are on standby while enough better ones serve; a drain applies at once."""
    merge = create_merge(standby_threshold=2)
    changes = merge.apply_srv_answer(
        SRV, [*srv_records(*HOSTS[:2]), *srv_records(HOSTS[2], priority=10)], "u1", 10.0
    )
    assert states(changes).keys() == set(IDS[:2])
    assert merge.caches[IDS[2]].state is MergedState.STANDBY
    changes = merge.order(IDS[0], OperatorOrder(True, 11.0, "console"))
    # Only the drain is published at once; standby is decided at the next tick.
    assert states(changes) == {IDS[0]: ServerState.DRAINING}
    assert merge.next_due() < 11.0
    assert states(merge.tick(11.0)) == {IDS[2]: ServerState.SERVING}
    assert states(merge.order(IDS[0], OperatorOrder(False, 12.0, "console"))) == {IDS[0]: ServerState.SERVING}
    assert states(merge.tick(12.0)) == {IDS[2]: ServerState.GONE}
    assert merge.next_due() > 12.0


@pytest.mark.parametrize(
    ("age", "known", "warm"), [(60.0, True, True), (3600.0, True, False), (8e5, False, False)]
)
def test_start_from_snapshot(age: float, known: bool, warm: bool) -> None:
    """A start without a resolver uses the snapshot, depending on its age; drains apply at any age."""
    old = create_merge()
    old.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 10.0)
    old.define(DefinitionSource.STORE, CacheDefinition("box-9", "127.0.1.9", 80, "branch"))
    old.order(IDS[0], OperatorOrder(True, 11.0, "console"))
    now = 12.0 + age
    merge = MembershipMerge(POLICY, [SrvWatch(SRV, "branch")])
    merge.restore_snapshot(old.snapshot_content(), 12.0, now)
    assert serving(merge) == ({*IDS[1:], "box-9"} if known else set())
    assert all((cache.cold_since == 0) is warm for cache in merge.caches.values())
    # An answer without most members needs confirmation first, and the drained cache stays drained.
    merge.apply_srv_answer(SRV, srv_records(HOSTS[0]), "u1", now + 1)
    merge.apply_host_answer(HOSTS[0], ["127.0.1.1"], now + 1)
    merge.tick(now + 10)
    assert merge.caches[IDS[0]].state is MergedState.DRAINING
    assert serving(merge) == ({*IDS[1:], "box-9"} if known else set())
    merge.drop_snapshot()
    assert "box-9" not in merge.caches


def test_limits_of_caches_and_orders() -> None:
    """Caches beyond the limit are omitted and counted; at the limit of orders no drain is discarded."""
    merge = MembershipMerge(Policy(max_caches=5, max_orders=3), [SrvWatch(SRV, "branch")])
    merge.apply_srv_answer(SRV, [SrvRecord(f"127.0.0.{n}", 80) for n in range(1, 9)], "u1", 1.0)
    assert len(merge.caches) == 5
    assert merge.entries[SRV].omitted_count == 3
    merge.define(DefinitionSource.FILE, CacheDefinition("late", "127.0.0.99", 80, "branch"))
    assert merge.omitted_count == 1
    assert "late" not in merge.caches
    for number in range(3):
        merge.order(f"b{number}", OperatorOrder(True, float(number), "console"))
    merge.order("b3", OperatorOrder(True, 9.0, "console"))
    assert set(merge.orders) == {"b0", "b1", "b2"}
    merge.order("b1", OperatorOrder(False, 10.0, "console"))
    merge.order("b3", OperatorOrder(True, 11.0, "console"))
    assert set(merge.orders) == {"b0", "b2", "b3"}


@pytest.mark.parametrize(
    "orders",
    list(
        itertools.permutations(
            [
                OperatorOrder(True, 1.0, "a"),
                OperatorOrder(False, 2.0, "b"),
                OperatorOrder(True, 2.0, "c"),
                OperatorOrder(False, 1.5, "d"),
            ]
        )
    ),
)
def test_orders_in_any_sequence(orders: tuple[OperatorOrder, ...]) -> None:
    """Routers agree on an order in whichever sequence they arrive: the latest, at equal times the drain."""
    merge = create_merge()
    merge.apply_srv_answer(SRV, srv_records(*HOSTS), "u1", 0.5)
    for order in orders:
        merge.order(IDS[0], order)
    assert merge.orders[IDS[0]] == OperatorOrder(True, 2.0, "c")
    assert merge.caches[IDS[0]].state is MergedState.DRAINING


class Interleavings(RuleBasedStateMachine):
    """Random sequences of answers, failures, moves, orders and restarts; the model tracks drains only."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.merge = create_merge(standby_threshold=2)
        self.published: dict[str, Change] = {}  # last published change of each cache
        self.drained: set[str] = set()  # model: ids that should be drained

    def apply_changes(self, changes: list[Change]) -> None:
        """Record published changes as the core does, and check that each one changes something."""
        for change in changes:
            assert self.published.get(change.member.server) != change, "a published change without an effect"
            self.published[change.member.server] = change

    @rule(
        hosts=st.sets(st.sampled_from(HOSTS)),
        priority=st.sampled_from([0, 10]),
        upstream=st.sampled_from(["a", "b"]),
    )
    def srv_answer(self, hosts: set[str], priority: int, upstream: str) -> None:
        """Apply an SRV answer with these hosts."""
        reported = [*srv_records(*sorted(hosts)[:1], priority=priority), *srv_records(*sorted(hosts)[1:])]
        self.apply_changes(self.merge.apply_srv_answer(SRV, reported, upstream, self.now))

    @rule(index=st.integers(0, 2), addresses=st.sets(st.integers(1, 4), max_size=2))
    def change_addresses(self, index: int, addresses: set[int]) -> None:
        """Apply other addresses of a host, or none; two hosts may get the same address."""
        self.apply_changes(
            self.merge.apply_host_answer(HOSTS[index], [f"127.0.1.{n}" for n in sorted(addresses)], self.now)
        )

    @rule(index=st.integers(0, 2))
    def report_unreachable(self, index: int) -> None:
        """Report the address in use of a host as unreachable."""
        if known := self.merge.sources.addresses.by_host.get(HOSTS[index]):
            self.apply_changes(self.merge.replace_unreachable(HOSTS[index], known.address or "", self.now))

    @rule(index=st.integers(0, 2), drain=st.booleans())
    def order(self, index: int, drain: bool) -> None:
        """Issue an order at this router; a drain has to apply with the changes it returns."""
        self.now += 0.001
        (self.drained.add if drain else self.drained.discard)(IDS[index])
        self.apply_changes(self.merge.order(IDS[index], OperatorOrder(drain, self.now, "console")))
        self.drained_caches_are_not_serving()
        self.apply_changes(self.merge.tick(self.now))

    @rule(index=st.integers(0, 2), drain=st.booleans(), delay=st.floats(0.0005, 50))
    def order_from_other_router(self, index: int, drain: bool, delay: float) -> None:
        """Receive an order of another router, which may be older than the known one."""
        at = self.now - delay
        known = self.merge.orders.get(IDS[index])
        self.apply_changes(self.merge.order(IDS[index], OperatorOrder(drain, at, "other")))
        self.apply_changes(self.merge.tick(self.now))
        if known is None or at > known.at:
            (self.drained.add if drain else self.drained.discard)(IDS[index])

    @rule(wait=st.floats(0.01, 8))
    def wait(self, wait: float) -> None:
        """Let time pass while the look-ups fail."""
        self.now += wait
        self.merge.sources.record_failure(SRV, "timed out")
        self.apply_changes(self.merge.tick(self.now))
        assert self.merge.next_due() > self.now or self.merge.tick(self.now) == []

    @rule(age=st.floats(0.1, 2000))
    def restart(self, age: float) -> None:
        """Restart the router with only its snapshot."""
        memory, saved = self.merge.snapshot_content(), self.now
        self.now += age
        self.merge, self.published = (
            MembershipMerge(POLICY, [SrvWatch(SRV, "branch", standby_threshold=2)]),
            {},
        )
        self.apply_changes(self.merge.restore_snapshot(memory, saved, self.now))

    @invariant()
    def drained_caches_are_not_serving(self) -> None:
        """A drained cache, under any of its ids, is neither serving nor on standby until it is restored."""
        for server, cache in self.merge.caches.items():
            if self.drained & {server, *cache.aliases}:
                assert cache.state not in (MergedState.SERVING, MergedState.STANDBY), (server, cache)
        for server, change in self.published.items():
            if server in self.drained:
                assert change.member.state is not ServerState.SERVING

    @invariant()
    def published_list_matches_merge(self) -> None:
        """The published list equals the merged list, and no endpoint is listed twice."""
        listed = {s for s, c in self.published.items() if c.member.state is not ServerState.GONE}
        expected = {
            s for s, b in self.merge.caches.items() if b.state in (MergedState.SERVING, MergedState.DRAINING)
        }
        assert listed == expected
        for server in listed:
            cache = self.merge.caches[server]
            assert self.published[server] == Change(cache.member, cache.endpoint)
        endpoints = [c.endpoint for s, c in self.published.items() if s in listed]
        assert len(endpoints) == len(set(endpoints))

    @invariant()
    def standby_follows_threshold(self) -> None:
        """Caches are on standby exactly while two or more of better priority serve."""
        caches = [cache for cache in self.merge.caches.values()]
        for cache in caches:
            better = sum(
                other.definition.priority < cache.definition.priority and other.state is MergedState.SERVING
                for other in caches
            )
            if cache.state in (MergedState.STANDBY, MergedState.SERVING):
                assert (cache.state is MergedState.STANDBY) is (better >= 2)


Interleavings.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestInterleavings = Interleavings.TestCase
