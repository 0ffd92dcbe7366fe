"""Tests of long endpoint lists: host order, parsing in steps, applying in slices, the status page."""

from __future__ import annotations

import random
from collections.abc import Generator
from itertools import pairwise
from typing import Any, cast
from unittest import mock

import orjson
import pytest

from brambleusher.features.row_blocks import ROWS_PER_BLOCK, RowBlocks
from brambleusher.loadbalancing import Balancer, api
from brambleusher.loadbalancing.connection_limits import ConnectionLimit, ConnectPacing
from brambleusher.loadbalancing.host_ranking import HostRanking
from brambleusher.loadbalancing.hosts import Host
from brambleusher.loadbalancing.state_codec import restore, save
from brambleusher.net.endpoint_entries import Endpoint, EndpointListError, EndpointListUpdate, decode_update
from brambleusher.net.endpoint_list import EndpointList
from brambleusher.net.endpoint_list_slices import EndpointListSlices, decode_steps
from brambleusher.observability.counters import Counters
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.runtime.scheduler import YIELD_MAX_S, Scheduler
from tests.features.test_figures import until
from tests.rig import Discovery, Node, Rig

READY, DRAINING, GONE = api.HostState.READY, api.HostState.DRAINING, api.HostState.REMOVED
MS = 1_000_000


def run_steps(steps: Generator[None, None, Any]) -> tuple[Any, int]:
    """Return a generator's value and how often it yielded."""
    count = 0
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value, count
        count += 1


# --- the order of hosts ---------------------------------------------------------------------------


def reference_subset(hosts: dict[str, Host], size: int) -> tuple[list[Host], list[Host]]:
    """Compute the subset by sorting all ready hosts, as a reference for the incremental order."""
    ready = sorted((host for host in hosts.values() if host.is_ready), key=lambda host: host.rank)
    local = [host for host in ready if host.is_local]
    near = local[: max(size // 2, size - len(ready) + len(local))]
    return near, [host for host in ready if not host.is_local][: max(size - len(near), 0)]


@pytest.mark.parametrize("seed", range(20))
def test_the_subset_kept_is_the_one_that_sorting_all_hosts_gives(seed: int) -> None:
    rng = random.Random(seed)
    ranks: HostRanking[Host] = HostRanking()
    hosts: dict[str, Host] = {}
    for _ in range(60):
        changed = []
        for _ in range(rng.choice((1, 1, 2, 40))):
            name = f"h{rng.randrange(120)}"
            host = hosts.get(name)
            if host is None:
                entry = api.HostEntry(name, "z", "k", 0, READY)
                host = hosts[name] = Host(entry, rng.random() < 0.3, 0, rng.random())
            elif rng.random() < 0.3:
                hosts.pop(name).is_ready = False
                ranks.discard(host)
                continue
            else:
                host.is_ready = not host.is_ready
            changed.append(host)
        ranks.update(hosts.values(), [host for host in changed if host.name in hosts])
        for size in (4, 12, 50, 200):
            assert ranks.subset(size) == reference_subset(hosts, size), f"seed {seed}"
        assert list(ranks) == sorted((h for h in hosts.values() if h.is_ready), key=lambda host: host.rank)
        assert len(ranks) == sum(host.is_ready for host in hosts.values())


def settings() -> api.Settings:
    """Return settings with a subset of the hosts."""
    return api.Settings(
        zone="z0", classes=(api.RequestClass("a", 100 * MS, 1000 * MS, 1.0),), fleet_size=5, max_attempts=3,
        drain_release_ns=500 * MS, connection_price=0.1,
        connection_idle_timeout_ns=5000 * MS, warm_up_ns=3000 * MS,
    )  # fmt: skip


def test_a_state_with_hosts_never_used_goes_on_as_it_would_have() -> None:
    rng, first = random.Random(5), Balancer(settings(), 9)
    first.start(0)

    def entry(at: int, state: api.HostState = READY) -> api.HostEntry:
        return api.HostEntry(f"h{at}", f"z{at % 3}", "k", at % 5, state, 1.0, 0)

    first.handle(api.HostListUpdated(api.ListKind.FULL, [entry(at) for at in range(300)]), 1)
    second: Balancer | None = None
    out: list[api.StartAttempt] = []
    for step in range(400):
        now = step * 5 * MS
        events: list[api.Event] = [api.RequestArrived(f"r{step}", "a", None, 1000 * MS), api.TimerFired(0)]
        state = rng.choice((READY, DRAINING, GONE))
        events.append(api.HostListUpdated(api.ListKind.DELTA, [entry(rng.randrange(300), state)]))
        if len(out) > 5:
            sent = out.pop(0)
            events.append(
                api.AttemptEnded(sent.request, 0, sent.host, api.AttemptStatus.OK, 20 * MS, True, None)
            )
        if step == 200:
            second = restore(settings(), 9, orjson.loads(orjson.dumps(save(first))))
        for event in events:
            actions = first.handle(event, now)
            assert second is None or second.handle(event, now) == actions
            out += [action for action in actions if isinstance(action, api.StartAttempt)]
    assert second is not None and len(out) > 3


# --- parsing in steps -----------------------------------------------------------------------------

ODD = ('a"},{"b', "},", '"servers": [', "\\", "é😀", "]}", "{", "plain")


def raw_list(rng: random.Random, count: int) -> dict[str, Any]:
    """Return a discovery list whose entries contain text that looks like the end of an entry."""
    servers: list[dict[str, Any]] = []
    for at in range(count):
        entry: dict[str, Any] = {"id": f"n{at}", "addr": f"127.0.0.1:{at % 60000 + 1}", "state": "Ready"}
        entry |= {"zone": rng.choice(ODD), "kind": rng.choice(ODD), "weight": rng.random()}
        if rng.random() < 0.2:
            entry["more"] = {"a": [{"b": 1}, {"c": {}}], "d": {}}
        servers.append(entry)
    return {"version": 9, "servers": servers, "full": True}


@pytest.mark.parametrize("seed", range(12))
def test_a_text_read_in_steps_is_the_text_read_whole(seed: int) -> None:
    rng = random.Random(seed)
    raw = raw_list(rng, 1500)
    if seed % 2:
        raw = {"full": False, "more": '"servers"' * (seed % 4), **{"servers": raw["servers"]}, "version": 3}
    text = orjson.dumps(raw, option=orjson.OPT_INDENT_2 if seed % 3 == 0 else 0)
    update, steps = run_steps(decode_steps(text))
    assert update == decode_update(orjson.loads(text)), f"seed {seed}"
    assert steps > 3 or text.count(b'"servers"') > 1, f"seed {seed}"


def test_a_bad_entry_anywhere_spoils_the_whole_list() -> None:
    rng = random.Random(3)
    good = orjson.dumps(raw_list(rng, 900))
    assert run_steps(decode_steps(good))[1] > 3
    cut = good.index(b'{"id":"n500"')
    for bad in (
        good[:-1], good[:-2] + b",]}", good[:cut] + b"," + good[cut:], good[:cut] + b"]" + good[cut:],
        good.replace(b'"n700"', b'""'), good.replace(b'"id":"n10"', b'"id":7'),
        good[:cut] + b"\xff" + good[cut:],
        good.replace(b'"version":9', b'"version":"x"'), b"[" + good + b"]", good.replace(b"[", b"", 1),
        good[:-1] + b',"servers":[]}' + b"x",
    ):  # fmt: skip
        with pytest.raises(ValueError):
            decode_update(orjson.loads(bad))
        with pytest.raises(ValueError):
            run_steps(decode_steps(bad))
    many = orjson.dumps({"version": 1, "full": True, "servers": raw_list(rng, 1)["servers"] * 25_001})
    with pytest.raises(EndpointListError):
        run_steps(decode_steps(many))


# --- applying in slices ---------------------------------------------------------------------------


def endpoint_entry(name: str, state: api.HostState = READY, started: int = 0) -> Endpoint:
    """Return an endpoint entry of the list."""
    return Endpoint(api.HostEntry(name, "z", "k", 0, state, 1.0, started), ("127.0.0.1", 1))


def apply_update(held: dict[str, Endpoint], update: EndpointListUpdate) -> None:
    """Apply an update to a dict of endpoints."""
    if update.full:
        held.clear()
    for each in update.endpoints:
        if each.entry.state is GONE:
            held.pop(each.entry.host, None)
        else:
            held[each.entry.host] = each


@pytest.mark.parametrize("seed", range(20))
def test_slices_come_to_what_the_lists_say_whatever_overtakes_what(seed: int) -> None:
    rng = random.Random(seed)
    slices, said, endpoints_applied = EndpointListSlices(8, 16), dict[str, Endpoint](), dict[str, Endpoint]()

    def apply_slices(count: int) -> None:
        for _ in range(count):
            some = slices.next()
            assert len(some) <= 16
            apply_update(endpoints_applied, EndpointListUpdate(0, False, some))

    for version in range(25):
        full = rng.random() < 0.3
        names = rng.sample(range(1500), rng.choice((1, 5, 40, 900)))
        states = (READY, READY, DRAINING) if full else (READY, DRAINING, GONE)
        machines = tuple(endpoint_entry(f"n{at}", rng.choice(states), rng.choice((0, 0, 5))) for at in names)
        update = EndpointListUpdate(version, full, machines)
        apply_update(said, update)
        if slices.is_small(update):
            slices.record_applied(update)
            apply_update(endpoints_applied, update)
            continue
        for _ in slices.add(update):
            apply_slices(rng.randrange(3))
        apply_slices(rng.randrange(60))
    apply_slices(200)
    assert not slices.waiting and endpoints_applied == said == slices.applied, f"seed {seed}"


def test_what_leaves_goes_first_and_never_all_at_once() -> None:
    slices = EndpointListSlices(8, 16)
    run_steps(slices.add(EndpointListUpdate(1, True, tuple(endpoint_entry(f"n{at}") for at in range(1000)))))
    while slices.waiting:
        slices.next()
    new = tuple(endpoint_entry(f"m{at}") for at in range(1000))
    run_steps(
        slices.add(
            EndpointListUpdate(
                2, True, (*new, endpoint_entry("n7", DRAINING), endpoint_entry("n8", READY, 5))
            )
        )
    )
    leave, slice_of = {f"n{at}" for at in range(1000)}, list[int]()
    while leave:
        some = slices.next()
        slice_of.append(len(some))
        leave -= {each.entry.host for each in some}
        assert any(each.entry.state is READY for each in slices.applied.values())
    assert slices.waiting == 1000 - len(slice_of) * 4 and len(slice_of) <= 1000 / 12 + 1
    run_steps(
        slices.add(
            EndpointListUpdate(3, False, (endpoint_entry("m3", DRAINING), endpoint_entry("m999", GONE)))
        )
    )
    first = slices.next()  # urgent changes precede changes that have waited longer
    assert first[0] == endpoint_entry("m3", DRAINING)
    while slices.waiting:
        assert all(each.entry.host != "m999" for each in slices.next())


def test_a_long_list_on_sockets_while_requests_go_on() -> None:
    node = Node()
    many = [node.entry(f"h{at}") for at in range(900)]
    rig = Rig(many, "status: {port: 0, refresh_ms: 10}")
    try:
        rig.listed(1)
        assert len(rig.sidecar.upstream_pool.listed) == 900
        others = [node.entry(f"o{at}") for at in range(899)]
        rig.discovery.push(Discovery.text([*others, node.entry("h5", "Terminating")], True, 8))
        answered = 0
        while set(rig.sidecar.upstream_pool.listed) != {"h5", *(entry["id"] for entry in others)}:
            answered += rig.call(f"r{answered}").status == 200
            assert answered < 5000
        assert rig.sidecar.upstream_pool.listed["h5"].entry.state is DRAINING
        assert rig.call("last").status == 200
        rig.discovery.push(Discovery.text([*others[:200], {"id": "bad", "state": "Ready"}], True, 9))
        # The sidecar requests the full list again and gets the first list.
        rig.discovery.asked.get(timeout=20.0)
        rig.listed(4)
        assert rig.sidecar.counters.count("lists_rejected") == 1
        until(lambda: set(rig.sidecar.upstream_pool.listed) == {entry["id"] for entry in many})
    finally:
        rig.end()
        node.close()


def test_long_work_has_the_time_that_is_left_and_a_part_where_none_is() -> None:
    scheduler, seen, clock = Scheduler(RealSystem()), list[str](), [0.0]
    scheduler.now = lambda: clock[0]

    def works() -> None:
        for _ in range(3):
            scheduler.yield_until_idle()
            seen.append("step")

    def busy(turns: int) -> None:
        for _ in range(turns):
            seen.append("turn")
            clock[0] += YIELD_MAX_S / 4
            scheduler.sleep(0)

    scheduler.spawn(works)
    scheduler.spawn(busy, 30)
    scheduler.run(lambda: len(seen) == 33)
    scheduler.close()
    steps = [at for at, what in enumerate(seen) if what == "step"]
    assert 3 <= steps[0] <= 6 and all(3 <= late - early <= 6 for early, late in pairwise(steps))

    scheduler, alone = Scheduler(RealSystem()), seen.copy()
    seen.clear()
    scheduler.now = lambda: 0.0
    scheduler.spawn(works)
    scheduler.run(lambda: len(seen) == 3)
    scheduler.close()
    assert seen == ["step"] * 3 and len(alone) == 33


# --- the status page and endpoint records -----------------------------------------------------------


def test_only_blocks_with_a_change_are_made_anew() -> None:
    made: list[str] = []

    def render(name: str) -> tuple[bytes, bytes]:
        made.append(name)
        return name.encode() + b"\n", f'"{name}"'.encode()

    def all_made() -> list[str]:
        while blocks.render_next():
            pass
        rows, parts = blocks.rendered_chunks()
        names = b"".join(rows).decode().split()
        assert orjson.loads(b"[" + b"".join(parts) + b"]") == names
        return names

    blocks, names = RowBlocks(render), [f"n{at}" for at in range(3 * ROWS_PER_BLOCK)]
    assert all_made() == []
    for name in names:
        blocks.mark_changed(name)
    assert all_made() == names and len(made) == 3 * ROWS_PER_BLOCK
    made.clear()
    blocks.mark_changed(names[ROWS_PER_BLOCK + 1])
    assert all_made() == names and made == names[ROWS_PER_BLOCK : 2 * ROWS_PER_BLOCK]
    for name in names[:ROWS_PER_BLOCK]:
        blocks.remove_row(name)
    assert all_made() == names[ROWS_PER_BLOCK:]
    blocks.mark_changed("new")
    assert all_made() == ["new", *names[ROWS_PER_BLOCK:]] and len(blocks) == 3


def test_a_link_rests_once_nothing_is_left_of_its_use() -> None:
    link = ConnectionLimit(ConnectPacing.for_fleet(100, 30.0))
    assert link.is_forgettable(0.0)
    for _ in range(3):
        link.record_open()
        link.record_acquire(1.0)
    for _ in range(3):
        link.record_release(1.1, True)
    link.record_close()
    link.record_rejection(1.1)
    for _ in range(2):
        link.record_close()
    # The limit has found a maximum, which must not be forgotten.
    assert not link.is_forgettable(1.2) and not link.is_forgettable(600.0)
    other = ConnectionLimit(ConnectPacing.for_fleet(100, 30.0))
    other.record_open()
    other.record_acquire(1.0)
    assert not other.is_forgettable(100.0)
    other.record_release(1.4, True)
    other.record_close()
    assert not other.is_forgettable(1.5) and other.is_forgettable(200.0)


class FakeScheduler:
    """A fake scheduler with the clock and timers that a switch to another discovery needs."""

    def __init__(self) -> None:
        self.due: list[tuple[float, Any]] = []
        self.spawned: list[str] = []

    def now(self) -> float:
        return 100.0

    def call_at(self, when: float, call: Any) -> Any:
        self.due.append((when, call))
        return mock.Mock(cancel=lambda: self.due.pop())

    def spawn(self, call: Any, *args: Any, name: str = "") -> Any:
        self.spawned.append(name)
        return mock.Mock()


def test_a_fleet_goes_over_to_another_discovery_at_moments_of_its_own() -> None:
    """A whole fleet must not request the full list at the moment it is told to switch discovery."""
    moments = FakeScheduler()

    def old(version: int | None) -> Generator[bytes, None, None]:
        yield from ()

    def new(version: int | None) -> Generator[bytes, None, None]:
        yield from ()

    lists = [
        EndpointList(cast(Any, moments), old, random.Random(seed), Counters(), lambda _: None, lambda: None)
        for seed in range(40)
    ]
    for each in lists:
        each.switch_discovery(old, 2.0)
        each.switch_discovery(new, 2.0)  # a second switch before the first one takes place replaces it
    assert len(moments.due) == 40 and not moments.spawned
    whens = [when - 100 for when, _ in moments.due]
    assert all(0 <= when < 2 for when in whens)
    assert all(sum(part <= 2 * when < part + 1 for when in whens) >= 4 for part in range(4))
    for _, call in moments.due:
        call()
    assert moments.spawned == ["endpoint list"] * 40
    assert all(each._feed is new for each in lists)
