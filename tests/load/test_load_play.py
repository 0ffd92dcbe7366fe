"""Tests of replaying demand: pacing, request encoding, responses, the player, results and transformations."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleusher.lab.virtual.world import VirtualSystem, World, WorldSettings
from brambleusher.load import shape, synthetic
from brambleusher.load.fidelity import ReceivedRequest, compare_with_demand
from brambleusher.load.pacing import Pace
from brambleusher.load.player import Player, PlayOptions
from brambleusher.load.request import Request
from brambleusher.load.results import Outcome, Results
from brambleusher.load.summary import MAX_BINS, Summary
from brambleusher.load.times import SECOND
from brambleusher.load.wording import ResponseFormatError, ResponseReader, encode_replayed_request, target_of
from brambleusher.net.http import MessageReader, write_response
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream

NOON = synthetic.NOON_NS


def look(at_s: float = 0.0, **words: object) -> Request:
    return msgspec.structs.replace(Request(NOON + round(at_s * SECOND), "look", "GET", "/look?a=1"), **words)


# --- components ------------------------------------------------------------------------------------


def test_every_request_is_due_in_one_part_and_at_its_time() -> None:
    requests = [look(at) for at in (0, 1, 1, 2.5)]
    partitions = [list(Pace(NOON, 2.0, partition, 3).due(requests)) for partition in range(3)]
    assert sorted((due.number, due.at_ns) for partition in partitions for due in partition) == [
        (0, 0), (1, SECOND // 2), (2, SECOND // 2), (3, SECOND * 5 // 4),
    ]  # fmt: skip
    assert [[due.number for due in partition] for partition in partitions] == [[0, 3], [1], [2]]


@pytest.mark.parametrize(
    ("request_class", "target", "wanted"),
    [
        ("look", "/look", "/look"),
        ("look", "/look?a", "/look?a"),
        ("look", "/look/x", "/look/x"),
        ("look", "/lookout", "/look/lookout"),
        ("look", "/api/v1?x", "/look/api/v1?x"),
    ],
)
def test_the_class_stands_first_in_the_path(request_class: str, target: str, wanted: str) -> None:
    assert target_of(look(request_class=request_class, target=target)) == wanted


def test_a_request_is_worded_as_the_protocol_has_it() -> None:
    request = look(
        method="PUT", tenant="peach", hint_us=7, retry=True, size=3,
        headers=(("Host", "old"), (":path", "/"), ("X-A", "b"), ("Request-Id", "old"), ("Big", "x" * 99_999)),
    )  # fmt: skip
    reader = MessageReader.requests()
    reader.feed(encode_replayed_request(request, "id1", 900))
    message = reader.take()
    assert message is not None and not reader.buffered
    assert message.start == ("POST", "/look?a=1") and message.body == b"bra"
    assert message.headers == {
        "host": "api.internal", "request-id": "id1", "request-class": "look", "request-timeout-ms": "900",
        "tenant": "peach", "work-hint": "7", "client-retry": "1", "content-length": "3", "x-a": "b",
    }  # fmt: skip
    assert encode_replayed_request(request, "id1", 900, {"look": "GET"}).startswith(
        b"GET /look?a=1 HTTP/1.1\r\n"
    )


ANSWERS = [
    (write_response(200, [("A", "b")], b"x" * 50), 200, True),
    (write_response(503, [], b"", keep_alive=False), 503, False),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n", 200, True),
    (b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 204, True),
]


@pytest.mark.parametrize("step", [1, 7, 4096])
def test_answers_are_found_however_they_are_cut(step: int) -> None:
    for data, status, keep in ANSWERS:
        reader = ResponseReader()
        for _ in range(2):  # the second response arrives on the same connection
            ends = [reader.feed(data[at : at + step]) for at in range(0, len(data), step)]
            assert ends == [False] * (len(ends) - 1) + [True]
            assert (reader.status, reader.keep) == (status, keep)
    reader = ResponseReader()
    assert not reader.feed(b"HTTP/1.1 200 OK\r\n\r\nwithout end") and reader.end()
    for bad in (b"nonsense\r\n\r\n", b"HTTP/1.1 200\r\nContent-Length: -1\r\n\r\n", b"x" * 99_999):
        with pytest.raises(ResponseFormatError):
            ResponseReader().feed(bad)


def test_results_of_processes_come_out_as_one() -> None:
    outcomes = []
    for n in range(40):
        end, status = ("served", 200) if n % 5 else ("refused", 503)
        due_ns = n * SECOND
        request = look(n, request_class="ab"[n % 2])
        outcomes.append(Outcome(n, request, due_ns, due_ns + n * 100_000, due_ns + 10**7, end, status))
    total, partitions = Results(speed=2.0), [Results(speed=2.0) for _ in range(3)]
    for outcome in outcomes:
        total.add(outcome)
        partitions[outcome.number % 3].add(outcome)
    merged = Results(speed=2.0)
    for partition in partitions:
        merged.merge(Results.decode(partition.encode()))
    assert merged.plain() == total.plain()
    assert merged.windows[3] == {"a": [2, 2, 0, 0, 0, 0, 0, 0], "b": [3, 2, 1, 0, 0, 0, 0, 0]}
    assert (merged.late, merged.sent, merged.total("refused")) == (False, 40, 8)
    merged.add(outcomes[0]._replace(begun_ns=8 * 10**6))
    assert merged.late
    assert any("GENERATOR WAS LATE" in line for line in merged.texts())


# --- the player -----------------------------------------------------------------------------------


class PlayerHarness:
    """A server in virtual time that calls `answer` for each request, and a machine for the player."""

    def __init__(self, answer: Callable[[Scheduler, Stream, bytes], bool]) -> None:
        self.world = World(1, WorldSettings(latency_ns=(50_000, 50_000), split=0.3, short_send=0.1))
        self.answer = answer
        self.outcomes: list[Outcome] = []
        self.received: list[tuple[int, bytes]] = []
        self.player: Player | None = None
        self.begins_ns = self.world.now_ns + SECOND
        self.world.machine("server", "10.0.0.1").start(self._serve)

    def _serve(self, system: VirtualSystem) -> None:
        scheduler = Scheduler(system)
        listener = system.listen(("10.0.0.1", 80), 100)

        def accept() -> None:
            while True:
                try:
                    scheduler.spawn(serve_connection, Stream(scheduler, system.accept(listener)[0]))
                except BlockingIOError:
                    scheduler.park(sock=listener)

        def serve_connection(stream: Stream) -> None:
            try:
                while data := stream.receive(None):
                    while not data.endswith(b"\r\n\r\n"):
                        data += stream.receive(None) or b""
                    self.received.append((system.monotonic_ns() - self.begins_ns, data))
                    if not self.answer(scheduler, stream, data):
                        return
            finally:
                stream.close()

        scheduler.spawn(accept)
        scheduler.run()

    def play(self, requests: list[Request], speed: float = 1.0, most_open: int = 100) -> None:
        play = PlayOptions([("10.0.0.1", 80)], Pace(NOON, speed), timeout_ms=500, most_open=most_open)

        def main(system: VirtualSystem) -> None:
            scheduler = Scheduler(system)
            self.player = Player(scheduler, play, requests, self.outcomes.append)
            self.player.start(self.begins_ns)
            scheduler.run()

        self.world.machine("player", "10.0.0.2").start(main)
        is_done = self.world.run(
            self.world.now_ns + 60 * SECOND, lambda: self.player is not None and self.player.done
        )
        assert is_done
        self.outcomes.sort()


def respond_ok(scheduler: Scheduler, stream: Stream, data: bytes) -> bool:
    stream.send(write_response(200, [], b"ok"), None)
    return True


def test_requests_go_out_at_their_times_on_few_connections() -> None:
    harness = PlayerHarness(respond_ok)
    harness.play([look(at / 10) for at in range(50)], speed=2.0)
    assert [outcome.end for outcome in harness.outcomes] == ["served"] * 50
    assert [outcome.due_ns for outcome in harness.outcomes] == [at * SECOND // 20 for at in range(50)]
    assert all(0 <= each.begun_ns - each.due_ns < 2_000_000 for each in harness.outcomes)
    assert len({data.split(b"Request-Id: ")[1][:16] for _, data in harness.received}) == 50
    assert harness.player is not None and harness.player.connects == 1


def test_a_server_that_hangs_holds_up_nothing_and_latency_counts_from_the_due_time() -> None:
    def slow(scheduler: Scheduler, stream: Stream, data: bytes) -> bool:
        scheduler.sleep(0.3)
        return respond_ok(scheduler, stream, data)

    harness = PlayerHarness(slow)
    harness.play([look(at / 100) for at in range(40)])
    sent = [at_ns for at_ns, _ in sorted(harness.received)]
    assert all(0 <= at - n * SECOND // 100 < 3_000_000 for n, at in enumerate(sent))
    assert {outcome.end for outcome in harness.outcomes} == {"served"}
    assert all(0.3 <= (each.ended_ns - each.due_ns) / SECOND < 0.31 for each in harness.outcomes)


def test_every_end_is_told_and_a_full_player_says_so() -> None:
    def by_name(scheduler: Scheduler, stream: Stream, data: bytes) -> bool:
        if b"/refuse" in data:
            stream.send(write_response(503, [], b""), None)
        elif b"/fail" in data:
            stream.send(write_response(500, [], b""), None)
        elif b"/break" in data:
            scheduler.sleep(0.1)
            return False
        elif b"/noise" in data:
            stream.send(b"what?\r\n\r\n", None)
        elif b"/hang" in data:
            scheduler.sleep(9)
        return True

    targets = ["/refuse", "/fail", "/break", "/noise", "/hang", "/hang", "/hang"]
    harness = PlayerHarness(by_name)
    harness.play([look(n / 10, target=target) for n, target in enumerate(targets)], most_open=2)
    assert [(each.end, each.status) for each in harness.outcomes] == [
        ("refused", 503), ("failed", 500), ("broken", 0), ("failed", 0), ("timed out", 0), ("timed out", 0),
        ("unsent", 0),
    ]  # fmt: skip
    timed_out = harness.outcomes[4]
    assert 0.5 <= (timed_out.ended_ns - timed_out.due_ns) / SECOND < 0.51
    unreachable = PlayerHarness(respond_ok)
    unreachable.world.machines["server"].vanish()
    unreachable.play([look(0)])
    assert unreachable.outcomes[0].end == "timed out"


def test_a_close_that_crosses_a_request_has_it_sent_once_more() -> None:
    def closes_before_the_second(scheduler: Scheduler, stream: Stream, data: bytes) -> bool:
        return len(harness.received) != 2 and respond_ok(scheduler, stream, data)

    harness = PlayerHarness(closes_before_the_second)
    harness.play([look(0), look(0.1)])
    assert [outcome.end for outcome in harness.outcomes] == ["served", "served"]
    assert len(harness.received) == 3 and harness.received[1][1] == harness.received[2][1]


# --- fidelity, summary, reshaping -----------------------------------------------------------------


def test_fidelity_tells_what_came_otherwise() -> None:
    requests = [look(n, tenant="peach", hint_us=n) for n in range(25)]
    received = [
        ReceivedRequest(n * SECOND, str(n), "look", "peach", str(n), False, "/look?a=1", 0) for n in range(25)
    ]
    unaltered = compare_with_demand(requests, received, str, target_of)
    assert unaltered.exact and unaltered.rate_off == unaltered.mix_off == 0.0 and len(unaltered.windows) == 3
    received[3] = received[3]._replace(tenant="plum")
    received[4] = received[4]._replace(name="other")
    received[5] = received[5]._replace(at_ns=received[5].at_ns + 10 * SECOND, request_class="move")
    altered = compare_with_demand(requests, [*received, received[6]], str, target_of)
    assert (altered.missing, altered.unknown, altered.duplicates) == (1, 1, 1)
    assert altered.altered == {"tenant": 1, "class": 1} and not altered.exact
    assert altered.rate_off == pytest.approx(0.1) and altered.mix_off == pytest.approx(1 / 11)
    assert type(altered).restored(msgspec.json.decode(msgspec.json.encode(altered.plain()))) == altered


def test_the_last_window_takes_what_is_a_little_late_and_no_more() -> None:
    requests = [look(n) for n in range(20)]
    received = [
        ReceivedRequest(n * SECOND, str(n), "look", None, None, False, "/look?a=1", 0) for n in range(20)
    ]
    for late_s, windows, off in ((0.5, 2, 0.0), (1.5, 2, 0.0), (11.5, 4, 1.0)):
        received[19] = received[19]._replace(at_ns=int((19 + late_s) * SECOND))
        fidelity = compare_with_demand(requests, received, str, target_of)
        assert (len(fidelity.windows), fidelity.rate_off) == (windows, off)


def test_bursts_are_found_and_long_spans_take_no_more_room() -> None:
    summary = Summary(synthetic.requests(synthetic.Recipe(rate=20.0), 1))
    (burst,) = summary.bursts()
    assert (burst["start_s"], burst["seconds"]) == (240.0, 80.0) and 7 < burst["times"] < 10
    assert sum(summary.windows()) == summary.requests == sum(summary.by_tenant.values())
    years = Summary(look(day * 86_400.0) for day in range(900))
    assert years.bins is not None and max(map(len, years.bins.counts.values())) <= MAX_BINS
    assert sum(years.windows()) == 900


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.integers(0, 100), max_size=40).map(sorted),
    st.sampled_from([0.0, 0.5, 1.0, 2.0, 2.5]), st.integers(0, 10**6),
)  # fmt: skip
def test_scaled_demand_stays_in_order_in_its_span_and_has_the_wanted_size(
    tenths: list[int], rate: float, seed: int
) -> None:
    requests = [look(at / 10) for at in tenths]
    burst = shape.Burst(3 * SECOND, 5 * SECOND, 3.0)
    scale = shape.Scale(2.0, rate, {"look": 1.0}, bursts=(burst,), seed=seed)
    copies = list(shape.scale_demand(requests, NOON, scale))
    assert [each.at_ns for each in copies] == sorted(each.at_ns for each in copies)
    for low, high, times in ((0, 30, rate), (30, 50, 3 * rate), (50, 101, rate)):
        original = sum(low <= at < high for at in tenths)
        edges = NOON + low * SECOND // 20, NOON + high * SECOND // 20 + (SECOND if high == 101 else 0)
        scaled_count = sum(edges[0] <= each.at_ns < edges[1] for each in copies)
        assert int(times) * original <= scaled_count <= (int(times) + (times % 1 > 0)) * original


def test_names_without_end_take_no_more_room() -> None:
    results, summary = Results(), Summary()
    for n in range(300):
        request = look(n, request_class=f"c{n}", tenant=f"t{n}")
        results.add(Outcome(n, request, n, n, n + 1000, "served", 200))
        summary.add(request)
    assert len(results.ends) == len(results.latency) == 101 and results.ends["(others)"] == {"served": 200}
    assert summary.bins is not None and len(summary.bins.counts) == 101
    assert len(summary.by_class) == 300 and sum(summary.windows()) == 300


def test_a_recipe_that_makes_no_sense_is_refused_by_name(tmp_path: Path) -> None:
    for text, message in (
        ("rate: -1", "rate is not at least 0"), ("burst: {share: {x: 1}}", "burst.share.x is no class"),
        ("rats: 1", "unknown field `rats`"), ("classes: {}", "classes have no share"), ("[", "not YAML"),
    ):  # fmt: skip
        (tmp_path / "recipe").write_text(text)
        with pytest.raises(synthetic.RecipeError, match=message):
            synthetic.read_recipe(tmp_path / "recipe")
