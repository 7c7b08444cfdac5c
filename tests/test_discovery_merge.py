"""The merge of all sources: drains against any answer, mass disappearance, standby, swaps, flaps."""

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


def merge(enough: int = 99, hosts: tuple[str, ...] = HOSTS) -> MembershipMerge:
    """A merge that watches one SRV entry, whose hosts are all found."""
    made = MembershipMerge(POLICY, [SrvWatch(SRV, "branch", standby_threshold=enough)])
    for number, host in enumerate(hosts):
        made.apply_host_answer(host, [f"127.0.1.{number + 1}"], 0.0)
    return made


def targets(*hosts: str, priority: int = 0, weight: int = 8) -> list[SrvRecord]:
    """Records of these hosts."""
    return [SrvRecord(host, 80, priority, weight) for host in hosts]


def states(changes: list[Change]) -> dict[str, ServerState]:
    """What each cache has become."""
    assert len({c.member.server for c in changes}) == len(changes), "two events for one box at once"
    return {c.member.server: c.member.state for c in changes}


def serving(made: MembershipMerge) -> set[str]:
    """The caches that get new work."""
    return {server for server, cache in made.caches.items() if cache.state is MergedState.SERVING}


def test_first_answer() -> None:
    """The first answer's caches are warm, with address and weight; what comes later is cold."""
    made = merge()
    changes = made.apply_srv_answer(SRV, targets(*HOSTS[:2]), "u1", 10.0)
    assert states(changes) == dict.fromkeys(IDS[:2], ServerState.SERVING)
    assert {c.endpoint for c in changes} == {("127.0.1.1", 80), ("127.0.1.2", 80)}
    assert all(c.member.started_at == 0 and c.member.weight == 8 for c in changes)
    [added] = made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 20.0)
    assert added.member.server == IDS[2]
    assert added.member.started_at == 20.0
    assert made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 30.0) == []  # nothing new, nothing told


def test_drain_wins() -> None:
    """A drain holds at once, over each new answer, priority, absence and return elsewhere, until restored."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    assert states(made.order(IDS[0], OperatorOrder(True, 11.0, "console"))) == {IDS[0]: ServerState.DRAINING}
    made.apply_srv_answer(SRV, targets(*HOSTS, priority=0, weight=99), "u1", 12.0)
    made.apply_srv_answer(SRV, targets(*HOSTS[1:]), "u1", 13.0)
    made.tick(19.0)
    assert IDS[0] not in made.caches
    assert made.apply_host_answer(HOSTS[0], ["127.0.9.9"], 20.0) == []
    [back] = made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 21.0)
    assert back.member.state is ServerState.DRAINING
    assert back.endpoint == ("127.0.9.9", 80)
    assert serving(made) == set(IDS[1:])
    assert "drained by console" in made.explain(IDS[0], 22.0)[0]
    assert made.order(IDS[0], OperatorOrder(False, 10.5, "late news")) == []  # older than the drain
    [again] = made.order(IDS[0], OperatorOrder(False, 24.0, "console"))
    assert again.member.state is ServerState.SERVING
    assert again.member.started_at == 21.0


def test_drained_cache_named_again_before_its_address_is_known() -> None:
    """Off the list past its grace period a cache has no address; its drain holds when it is named again."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    made.order(IDS[0], OperatorOrder(True, 11.0, "console"))
    made.apply_srv_answer(SRV, targets(*HOSTS[1:]), "u1", 12.0)
    made.tick(19.0)
    made.sources.discard_unnamed_host(HOSTS[0])
    assert made.explain(IDS[0], 19.0)[0].startswith(f"{IDS[0]} is named by nobody now")
    assert made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 20.0) == []
    assert made.explain(IDS[0], 20.0)[0] == f"{IDS[0]} is not found: drained by console"
    [found] = made.apply_host_answer(HOSTS[0], ["127.0.1.1"], 21.0)
    assert found.member.state is ServerState.DRAINING
    assert made.explain(IDS[0], 21.0)[0].startswith(f"{IDS[0]} is draining at 127.0.1.1")


@pytest.mark.parametrize(("hosts", "held"), [(HOSTS[:2], False), (HOSTS[:1], True), ((), True)])
def test_mass_disappearance(hosts: tuple[str, ...], held: bool) -> None:
    """One answer takes away half of a list, until a second upstream, or a later answer, says so too."""
    for second in ("u1", "u2"):
        made = merge()
        made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
        made.apply_srv_answer(SRV, targets(*hosts), "u1", 20.0)
        assert made.tick(30.0) == [] if held else made.tick(30.0)
        assert serving(made) == set(IDS if held else IDS[:2])
        if held:
            assert any("not believed" in line for line in made.explain(IDS[2], 30.0))
            made.apply_srv_answer(SRV, targets(*hosts), second, 21.0)  # too early, from the same one
            made.tick(30.0)
            assert serving(made) == (set(IDS) if second == "u1" else set(IDS[: len(hosts)]))
            made.apply_srv_answer(SRV, targets(*hosts), second, 31.0)
            made.tick(37.0)
            assert serving(made) == set(IDS[: len(hosts)])


def test_complete_deploy() -> None:
    """A deploy replaces every cache while the resolver times out: the new come cold, the old go late."""
    made = merge(hosts=(*HOSTS, "four.branch.test", "five.branch.test", "six.branch.test"))
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    for now in (11.0, 12.0, 13.0):
        made.sources.record_failure(SRV, "timed out")
        assert made.tick(now) == []
    new = ("four.branch.test", "five.branch.test", "six.branch.test")
    changes = made.apply_srv_answer(SRV, targets(*new), "u1", 14.0)
    assert all(c.member.started_at == 14.0 and c.member.state is ServerState.SERVING for c in changes)
    assert len(serving(made)) == 6  # half of six may go at once: the old three are missing, not yet gone
    made.sources.record_failure(SRV, "timed out")
    gone = made.tick(19.5)
    assert states(gone) == dict.fromkeys(IDS, ServerState.GONE)
    assert len(serving(made)) == 3


def test_mistake_undone() -> None:
    """An SRV entry emptied by mistake and put right takes no cache away and restarts none."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    for now in (20.0, 21.0):
        assert made.apply_srv_answer(SRV, [SrvRecord(".", 0)], "u1", now) == []
    assert made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 21.5) == []
    assert made.entries[SRV].pending_removal is None
    assert made.tick(99.0) == []
    assert serving(made) == set(IDS)


def test_failed() -> None:
    """A look-up that fails takes nothing away, and is said to have failed."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    made.sources.record_failure(SRV, "timed out")
    made.sources.record_failure(HOSTS[0], "SERVFAIL")
    assert made.tick(1e6) == []
    assert serving(made) == set(IDS)
    assert any("timed out" in line for line in made.explain(IDS[0], 20.0))


def test_flapping_answers() -> None:
    """An entry that alternates between two answers keeps both caches; addresses that do move one seldom."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    reported: list[Change] = []
    for number in range(40):
        now = 11.0 + number
        reported += made.apply_srv_answer(SRV, targets(*HOSTS[number % 2 : number % 2 + 2]), "u1", now)
        reported += made.tick(now)
    assert reported == []
    assert serving(made) == set(IDS)
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 51.0)
    for number in range(40):
        reported += made.apply_host_answer(HOSTS[0], [f"127.0.2.{number % 2 + 1}"], 60.0 + number)
        reported += made.tick(60.0 + number)
    assert 0 < len(reported) <= 9
    assert all(c.member.started_at >= 60.0 for c in reported)


def test_hosts_let_go() -> None:
    """Targets that come and go all day leave no places behind; one that is still named keeps its own."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    for number in range(50):
        host = f"new-{number}.branch.test"
        made.apply_srv_answer(SRV, targets(*HOSTS, host), "u1", 20.0 + 20 * number)
        made.apply_host_answer(host, [f"127.0.4.{number + 1}"], 20.0 + 20 * number)
        made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 22.0 + 20 * number)
        made.tick(30.0 + 20 * number)
        made.sources.discard_unnamed_host(host)
        made.sources.discard_unnamed_host(HOSTS[0])
    assert made.sources.addresses.by_host.keys() == set(HOSTS)
    assert serving(made) == set(IDS)


def test_dead_address() -> None:
    """A cache that has left its old address moves at once, however lately it moved before."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    for number, dead in ((1, False), (2, True), (3, False), (3, True)):
        changes = made.apply_host_answer(HOSTS[0], [f"127.0.3.{number}"], 20.0, dead)
        assert bool(changes) is (dead or number == 1)
    assert made.caches[IDS[0]].endpoint == ("127.0.3.3", 80)


def test_swapped_addresses() -> None:
    """An upstream that swaps two boxes' addresses: each is the same cache elsewhere, cold; none is two."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    first = made.apply_host_answer(HOSTS[0], ["127.0.1.2"], 20.0)
    both = made.apply_host_answer(HOSTS[1], ["127.0.1.1"], 20.0)
    ends = [cache.endpoint for cache in made.caches.values()]
    assert len(ends) == len(set(ends)) == 3, (first, both)
    assert {made.caches[server].cold_since for server in IDS[:2]} == {20.0}


def test_one_cache_with_two_names() -> None:
    """A cache named by the file and by SRV, or by two names at one address, is one, by the file's words."""
    made = MembershipMerge(POLICY, [SrvWatch(SRV, "branch")])
    made.apply_host_answer(HOSTS[0], ["127.0.1.1"], 0.0)
    made.apply_host_answer(HOSTS[1], ["127.0.1.2"], 0.0)
    made.define(DefinitionSource.FILE, CacheDefinition("box-1", HOSTS[0], 80, "branch", weight=5.0))
    made.define(DefinitionSource.FILE, CacheDefinition("box-2", "127.0.1.2", 80, "branch"))
    made.apply_srv_answer(SRV, targets(*HOSTS[:2], weight=50), "u1", 2.0)
    assert made.caches.keys() == {"box-1", "box-2"}
    assert made.caches["box-1"].definition.weight == 5.0
    assert made.caches["box-1"].sources == (DefinitionSource.FILE, DefinitionSource.SRV)
    # Drained by either name it is drained.
    [drained] = made.order(IDS[0], OperatorOrder(True, 3.0, "console"))
    assert (drained.member.server, drained.member.state) == ("box-1", ServerState.DRAINING)
    assert any("the same box as" in line for line in made.explain("box-1", 4.0))
    made.remove(DefinitionSource.FILE, "box-2")
    assert made.caches.keys() == {"box-1", IDS[1]}


def test_standby() -> None:
    """A target of lower priority stands by until too few better ones serve; a drain counts at once."""
    made = merge(enough=2)
    changes = made.apply_srv_answer(SRV, [*targets(*HOSTS[:2]), *targets(HOSTS[2], priority=10)], "u1", 10.0)
    assert states(changes).keys() == set(IDS[:2])
    assert made.caches[IDS[2]].state is MergedState.STANDBY
    changes = made.order(IDS[0], OperatorOrder(True, 11.0, "console"))
    assert states(changes) == {
        IDS[0]: ServerState.DRAINING
    }  # the drain alone, at once, whatever the list's size
    assert made.next_due() < 11.0
    assert states(made.tick(11.0)) == {IDS[2]: ServerState.SERVING}
    assert states(made.order(IDS[0], OperatorOrder(False, 12.0, "console"))) == {IDS[0]: ServerState.SERVING}
    assert states(made.tick(12.0)) == {IDS[2]: ServerState.GONE}
    assert made.next_due() > 12.0


@pytest.mark.parametrize(
    ("age", "known", "warm"), [(60.0, True, True), (3600.0, True, False), (8e5, False, False)]
)
def test_recall(age: float, known: bool, warm: bool) -> None:
    """A start with the resolver away goes on with the last list, by its age; drains hold at any age."""
    old = merge()
    old.apply_srv_answer(SRV, targets(*HOSTS), "u1", 10.0)
    old.define(DefinitionSource.STORE, CacheDefinition("box-9", "127.0.1.9", 80, "branch"))
    old.order(IDS[0], OperatorOrder(True, 11.0, "console"))
    now = 12.0 + age
    made = MembershipMerge(POLICY, [SrvWatch(SRV, "branch")])
    made.restore_snapshot(old.to_remember(), 12.0, now)
    assert serving(made) == ({*IDS[1:], "box-9"} if known else set())
    assert all((cache.cold_since == 0) is warm for cache in made.caches.values())
    # An answer that has lost most of it is not believed at once, and the drained cache stays drained.
    made.apply_srv_answer(SRV, targets(HOSTS[0]), "u1", now + 1)
    made.apply_host_answer(HOSTS[0], ["127.0.1.1"], now + 1)
    made.tick(now + 10)
    assert made.caches[IDS[0]].state is MergedState.DRAINING
    assert serving(made) == ({*IDS[1:], "box-9"} if known else set())
    made.drop_snapshot()
    assert "box-9" not in made.caches


def test_bounds() -> None:
    """More caches than there is room for are left out and counted; a drain is never forgotten for another."""
    made = MembershipMerge(Policy(max_caches=5, max_orders=3), [SrvWatch(SRV, "branch")])
    made.apply_srv_answer(SRV, [SrvRecord(f"127.0.0.{n}", 80) for n in range(1, 9)], "u1", 1.0)
    assert len(made.caches) == 5
    assert made.entries[SRV].omitted_count == 3
    made.define(DefinitionSource.FILE, CacheDefinition("late", "127.0.0.99", 80, "branch"))
    assert made.omitted_count == 1
    assert "late" not in made.caches
    for number in range(3):
        made.order(f"b{number}", OperatorOrder(True, float(number), "console"))
    made.order("b3", OperatorOrder(True, 9.0, "console"))
    assert set(made.orders) == {"b0", "b1", "b2"}
    made.order("b1", OperatorOrder(False, 10.0, "console"))
    made.order("b3", OperatorOrder(True, 11.0, "console"))
    assert set(made.orders) == {"b0", "b2", "b3"}


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
def test_orders_commute(orders: tuple[OperatorOrder, ...]) -> None:
    """However news of drains and restores arrives, all routers end alike: the last, and of two the drain."""
    made = merge()
    made.apply_srv_answer(SRV, targets(*HOSTS), "u1", 0.5)
    for order in orders:
        made.order(IDS[0], order)
    assert made.orders[IDS[0]] == OperatorOrder(True, 2.0, "c")
    assert made.caches[IDS[0]].state is MergedState.DRAINING


class Interleavings(RuleBasedStateMachine):
    """Any order of answers, losses, moves, drains and restarts, beside a model that knows drains alone."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.made = merge(enough=2)
        self.heard: dict[str, Change] = {}  # what the core was told last
        self.drained: set[str] = set()  # the model

    def hear(self, changes: list[Change]) -> None:
        """Follow the events as the core does."""
        for change in changes:
            assert self.heard.get(change.member.server) != change, "an event that changes nothing"
            self.heard[change.member.server] = change

    @rule(
        which=st.sets(st.sampled_from(HOSTS)),
        priority=st.sampled_from([0, 10]),
        upstream=st.sampled_from(["a", "b"]),
    )
    def answer(self, which: set[str], priority: int, upstream: str) -> None:
        """SRV says something else."""
        reported = [*targets(*sorted(which)[:1], priority=priority), *targets(*sorted(which)[1:])]
        self.hear(self.made.apply_srv_answer(SRV, reported, upstream, self.now))

    @rule(which=st.integers(0, 2), where=st.sets(st.integers(1, 4), max_size=2))
    def locate(self, which: int, where: set[int]) -> None:
        """A box's name has other addresses, or none; two caches may be given one."""
        self.hear(
            self.made.apply_host_answer(HOSTS[which], [f"127.0.1.{n}" for n in sorted(where)], self.now)
        )

    @rule(which=st.integers(0, 2))
    def doubt(self, which: int) -> None:
        """A cache does not answer where it is said to be."""
        if place := self.made.sources.addresses.by_host.get(HOSTS[which]):
            self.hear(self.made.replace_unreachable(HOSTS[which], place.address or "", self.now))

    @rule(which=st.integers(0, 2), drain=st.booleans())
    def order(self, which: int, drain: bool) -> None:
        """An operator acts: it holds with the very events that come of it."""
        self.now += 0.001
        (self.drained.add if drain else self.drained.discard)(IDS[which])
        self.hear(self.made.order(IDS[which], OperatorOrder(drain, self.now, "console")))
        self.drains_hold()
        self.hear(self.made.tick(self.now))

    @rule(which=st.integers(0, 2), drain=st.booleans(), late=st.floats(0.0005, 50))
    def late_updates(self, which: int, drain: bool, late: float) -> None:
        """News from another router, perhaps older than what is known here."""
        at = self.now - late
        known = self.made.orders.get(IDS[which])
        self.hear(self.made.order(IDS[which], OperatorOrder(drain, at, "other")))
        self.hear(self.made.tick(self.now))
        if known is None or at > known.at:
            (self.drained.add if drain else self.drained.discard)(IDS[which])

    @rule(wait=st.floats(0.01, 8))
    def wait(self, wait: float) -> None:
        """Time passes, the resolver failing meanwhile."""
        self.now += wait
        self.made.sources.record_failure(SRV, "timed out")
        self.hear(self.made.tick(self.now))
        assert self.made.next_due() > self.now or self.made.tick(self.now) == []

    @rule(age=st.floats(0.1, 2000))
    def restart(self, age: float) -> None:
        """The router starts anew, with its last list alone."""
        memory, saved = self.made.to_remember(), self.now
        self.now += age
        self.made, self.heard = MembershipMerge(POLICY, [SrvWatch(SRV, "branch", standby_threshold=2)]), {}
        self.hear(self.made.restore_snapshot(memory, saved, self.now))

    @invariant()
    def drains_hold(self) -> None:
        """Nothing but a restore puts a drained cache back to work, whatever it is called."""
        for server, cache in self.made.caches.items():
            if self.drained & {server, *cache.aliases}:
                assert cache.state not in (MergedState.SERVING, MergedState.STANDBY), (server, cache)
        for server, change in self.heard.items():
            if server in self.drained:
                assert change.member.state is not ServerState.SERVING

    @invariant()
    def report_is_true(self) -> None:
        """What the core was told is what the merge holds; one address is one cache."""
        on = {s for s, c in self.heard.items() if c.member.state is not ServerState.GONE}
        true = {
            s for s, b in self.made.caches.items() if b.state in (MergedState.SERVING, MergedState.DRAINING)
        }
        assert on == true
        for server in on:
            cache = self.made.caches[server]
            assert self.heard[server] == Change(cache.member, cache.endpoint)
        ends = [c.endpoint for s, c in self.heard.items() if s in on]
        assert len(ends) == len(set(ends))

    @invariant()
    def standby_is_needed(self) -> None:
        """Nobody stands by while fewer than two better ones serve, and nobody serves needlessly."""
        boxes = [cache for cache in self.made.caches.values()]
        for cache in boxes:
            better = sum(
                other.definition.priority < cache.definition.priority and other.state is MergedState.SERVING
                for other in boxes
            )
            if cache.state in (MergedState.STANDBY, MergedState.SERVING):
                assert (cache.state is MergedState.STANDBY) is (better >= 2)


Interleavings.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
TestInterleavings = Interleavings.TestCase
