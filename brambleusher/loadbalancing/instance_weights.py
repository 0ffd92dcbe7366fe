"""Weights of a service's instances as one gateway sees them, on the design's path; pure.

Some instances tell their load with their answers, others tell nothing.  For these a gateway derives
utilisation from its own traffic and the capacity on the list: of so many slots, this gateway's part is used
by its own attempts.  Spare capacity is throughput over utilisation times one minus utilisation.  From there
on it is the path of `brambleusher/loadbalancing/balancer.py`, with the same functions.  Times are seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

from brambleusher.loadbalancing.performance_index import PI_GOAL, aggregate_pi
from brambleusher.loadbalancing.token_round_robin import WEIGHT_TOTAL
from brambleusher.loadbalancing.weights import MIN_SPARE_FRACTION, final_weights

TICK_S = 0.5  # weights are recomputed so often: news is acted on within the shortest aim
FIGURES_S = 20.0  # window of throughput and utilisation
INDEX_S = 4.0  # window of latencies
HEALTH_S = 6.0  # window of successes and failures
HEALTH_POWER = 6  # of the served share: an instance that fails two in five is next to no use to anyone
OWN_EVIDENCE = 2.0  # times as much as others': a gateway may be cut off from what they reach
OTHERS_FRESH_S = 3.0  # without news of the other gateways for so long, a gateway judges alone
PRIOR = 1.0  # successes that an instance without a history is credited with
AGE_CAP = 4.0  # the most that one unanswered attempt says, in aims
PRIORITIES = 10
SILENCE_PASSED_OVER = 0.6  # of an aim: usual answers begin within a third
ROOM_ABOVE_SHARE = 1.25  # times its share of the attempts out that an instance may hold
LOAD_FRESH_S = 3.0  # a reported load counts less and less; after so long about a third
LOAD_BELIEVED = 0.3  # of one fresh report: with less the estimate from attempts is better
LOAD_MOST = 2.0  # of the slots: what one report may claim

NO_FIGURES = (0.0,) * 8


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which parts of the path act; all of them in service."""

    spare: bool = True
    latency_index: bool = True
    health: bool = True
    silence: bool = True
    room_above_share: bool = True
    reported_load: bool = True


@dataclass(slots=True)
class InstanceMetrics:
    """What is known of one instance."""

    name: str
    capacity: float
    out: dict[int, tuple[int, float, float]] = field(default_factory=dict)  # attempt: priority, sent, aim
    rate: float = 0.0
    used: float = 0.0  # mean of own attempts out
    seen: float = 0.0  # seconds of history within the window
    ended: int = 0  # since the last tick
    late_n: list[float] = field(default_factory=lambda: [0.0] * PRIORITIES)
    late_sum: list[float] = field(default_factory=lambda: [0.0] * PRIORITIES)
    served: float = PRIOR
    failed: float = 0.0
    answered_at: float = -math.inf  # when an answer began last
    quiet_index: float = 0.0  # of the last quiet spell, which counts where nothing is recent
    load: float = 0.0  # that the instance told last, as a part of its slots
    load_weight: float = 0.0  # 1 for a report of this moment, less for an older one
    # Sums over the other gateways: served, failed, in use, answers, latencies in aims, requests a second,
    # reported loads times their weights, these weights.
    others: Sequence[float] = NO_FIGURES
    weight: float = 0.0
    tokens: int = 0
    credit: float = 0.0

    def health(self) -> float:
        """The served share of recent attempts, of all gateways, as an estimate of what it is good for."""
        served = self.served * OWN_EVIDENCE + self.others[0]
        failed = self.failed * OWN_EVIDENCE + self.others[1]
        return float((served / (served + failed)) ** HEALTH_POWER)

    def index(self, now: float) -> float:
        """Latency over aim, with the age of attempts that are out: a hung instance sends no answers.

        Open case of the design: a hung instance with figures that are old and good.  Where nothing at all was
        answered since an attempt was sent, its age over the aim is the index, whatever the mean says.
        """
        means = [total / n if n > 0.01 else 0.0 for total, n in zip(self.late_sum, self.late_n, strict=True)]
        index, count = aggregate_pi(means, self.late_n, list(range(PRIORITIES)))
        if self.others[3] > 0:
            answers = count * OWN_EVIDENCE + self.others[3]
            index, count = (index * count * OWN_EVIDENCE + self.others[4]) / answers, answers
        if count <= 0.01:
            index, count = self.quiet_index, 1.0
        total, seen = index * count, count
        for _, sent, aim in self.out.values():
            age = min((now - sent) / aim, AGE_CAP)
            if age > max(index, PI_GOAL):
                total, seen = total + age, seen + 1
        return max(total / seen, self.silence(now))

    def silence(self, now: float) -> float:
        """The age over the aim of the oldest attempt, where nothing at all was answered since it was sent."""
        ages = [(now - sent) / aim for _, sent, aim in self.out.values() if sent > self.answered_at]
        return min(max(ages, default=0.0), AGE_CAP)

    def has_room(self, out: int, weights: float) -> bool:
        """Whether its part of `out` attempts is within its weight, out of the candidates' `weights`."""
        return weights <= 0 or len(self.out) < ROOM_ABOVE_SHARE * out * self.weight / weights + 1

    def utilisation(self, gateways: float, reporters: int) -> float | None:
        """The part of its capacity in use: as it says, else as if all gateways were like those heard of.

        None without figures.
        """
        told = self.load_weight + self.others[7]
        if told >= LOAD_BELIEVED:
            return min(1.0, (self.load * self.load_weight + self.others[6]) / told)
        if self.seen < TICK_S:
            return None
        used = (self.used + self.others[2]) * gateways / (reporters + 1)
        return min(1.0, used / self.capacity)

    def report(self) -> list[float]:
        """What this gateway saw, for the others: see `others`."""
        figures = (
            self.served - PRIOR,
            self.failed,
            self.used,
            sum(self.late_n),
            sum(self.late_sum),
            self.rate,
            self.load * self.load_weight,
            self.load_weight,
        )
        return [round(max(0.0, figure), 2) for figure in figures]


class InstanceWeights:
    """Weights and tokens of one service's ready instances."""

    def __init__(self, rng: random.Random, mechanisms: Mechanisms | None = None) -> None:
        self._rng = rng
        self._mechanisms = mechanisms or Mechanisms()
        self._known: dict[str, InstanceMetrics] = {}
        self._ring: list[InstanceMetrics] = []
        self._at = 0
        self._attempts = 0
        self.mean_utilisation = 1.0  # of the instances with figures; until there are any, as if all were full
        self._ticked: float | None = None
        self._reporters, self._heard_at = 0, -math.inf

    def set_instances(self, ready: Mapping[str, float]) -> None:
        """The ready instances and their capacities; all others lose weight and tokens at once."""
        for name, capacity in ready.items():
            if name in self._known:
                self._known[name].capacity = capacity
            else:
                self._known[name] = InstanceMetrics(name, max(capacity, 1.0))
        for figures in self._known.values():
            if figures.name not in ready:
                figures.weight, figures.tokens, figures.credit = 0.0, 0, 0.0
        for name in [name for name, kept in self._known.items() if name not in ready and not kept.out]:
            del self._known[name]
        if {figures.name for figures in self._ring} != set(ready):
            self._ring = [self._known[name] for name in ready]
            self._rng.shuffle(self._ring)
            self._at = self._rng.randrange(len(self._ring)) if self._ring else 0
            self._weigh(self._ticked or 0.0, 1.0)

    # --- own traffic -----------------------------------------------------------------------------

    def start_attempt(self, name: str, priority: int, aim_s: float, now: float) -> int:
        """An attempt was sent; its number is for `record_first_byte` and `finish_attempt`."""
        self._attempts += 1
        figures = self._known.get(name)
        if figures is not None:
            level = min(max(priority, 0), PRIORITIES - 1)
            figures.out[self._attempts] = (level, now, max(aim_s, 0.01))
        return self._attempts

    def record_first_byte(self, name: str, attempt: int, now: float) -> None:
        """The first bytes of an answer came."""
        figures = self._known.get(name)
        if figures is None or attempt not in figures.out:
            return
        figures.answered_at = now
        priority, sent, aim = figures.out[attempt]
        figures.late_n[priority] += 1
        figures.late_sum[priority] += (now - sent) / aim
        figures.out[attempt] = (priority, now, math.inf)  # its wait is over, its slot is not

    def finish_attempt(self, name: str, attempt: int, well: bool | None) -> None:
        """An attempt is over: well, as a failure, or (None) with nothing to say of the instance."""
        figures = self._known.get(name)
        if figures is None or figures.out.pop(attempt, None) is None:
            return
        if well is not None:
            figures.served += well
            figures.failed += not well
        figures.ended += bool(well)

    def record_connect_failure(self, name: str) -> None:
        """A connection to an instance failed."""
        figures = self._known.get(name)
        if figures is not None:
            figures.failed += 1

    def record_load(self, name: str, running: float, waiting: float, slots: float) -> None:
        """An instance told its load with an answer."""
        figures = self._known.get(name)
        if figures is not None and self._mechanisms.reported_load:
            figures.load = min(LOAD_MOST, (running + waiting) / max(slots, 1.0))
            figures.load_weight = 1.0

    # --- other gateways ---------------------------------------------------------------------------

    def export_sums(self) -> dict[str, list[float]]:
        """What this gateway saw lately, by instance."""
        reports = {figures.name: figures.report() for figures in self._known.values()}
        return {name: report for name, report in reports.items() if any(report)}

    def import_sums(self, reporters: int, sums: Mapping[str, Sequence[float]], now: float) -> None:
        """What so many other gateways saw, added up; an older version's sums have no reported loads."""
        self._reporters, self._heard_at = reporters, now
        for figures in self._known.values():
            figures.others = (*sums.get(figures.name, ()), *NO_FIGURES)[: len(NO_FIGURES)]

    def _forget_others(self, now: float) -> None:
        if self._reporters and now - self._heard_at > OTHERS_FRESH_S:
            self.import_sums(0, {}, now)

    # --- weights ---------------------------------------------------------------------------------

    def recompute(self, now: float, gateways: float) -> None:
        """Recompute, where it is time to."""
        if self._ticked is None:
            self._ticked = now
        gap = now - self._ticked
        if gap < TICK_S:
            return
        self._ticked = now
        self._forget_others(now)
        for figures in self._known.values():
            self._fade(figures, gap)
        self._weigh(now, gateways)

    @staticmethod
    def _fade(figures: InstanceMetrics, gap: float) -> None:
        kept = math.exp(-gap / FIGURES_S)
        figures.rate = figures.rate * kept + (figures.ended / gap) * (1 - kept)
        figures.used = figures.used * kept + len(figures.out) * (1 - kept)
        figures.seen = min(FIGURES_S, figures.seen + gap)
        figures.ended = 0
        figures.load_weight *= math.exp(-gap / LOAD_FRESH_S)
        recent, health = math.exp(-gap / INDEX_S), math.exp(-gap / HEALTH_S)
        if sum(figures.late_n) >= 1 and not figures.failed > 0.5:
            figures.quiet_index = min(PI_GOAL, sum(figures.late_sum) / sum(figures.late_n))
        figures.late_n = [n * recent for n in figures.late_n]
        figures.late_sum = [total * recent for total in figures.late_sum]
        figures.served = max(PRIOR, figures.served * health)
        figures.failed *= health

    def _weigh(self, now: float, gateways: float) -> None:
        throughput = self._throughput()
        spares = [self._spare(figures, throughput, gateways) for figures in self._ring]
        used = [figures.utilisation(gateways, self._reporters) for figures in self._ring]
        told = [each for each in used if each is not None]
        self.mean_utilisation = sum(told) / len(told) if told else 1.0
        known = [spare for spare in spares if spare is not None]
        middle = median(known) if known else 1.0
        base = [middle if spare is None else spare for spare in spares]
        acts = self._mechanisms
        weights = final_weights(
            base if acts.spare else [1.0] * len(base),
            [figures.index(now) if acts.latency_index else 0.0 for figures in self._ring],
            [figures.health() if acts.health else 1.0 for figures in self._ring],
        )
        scale = len(self._ring) / WEIGHT_TOTAL
        for figures, weight in zip(self._ring, weights, strict=True):
            figures.weight = weight
            figures.tokens = min(figures.tokens, math.ceil(weight * scale))

    def _throughput(self) -> float:
        """Requests a second that one slot serves, over all instances.

        An instance's own figure would tell what kinds of requests it has got, rather than what it can do:
        one that keeps long prompts looks ten times as slow as its neighbours.
        """
        used = sum(figures.used + figures.others[2] for figures in self._ring)
        rate = sum(figures.rate + figures.others[5] for figures in self._ring)
        return rate / used if used > 0 and rate > 0 else 1.0

    def _spare(self, figures: InstanceMetrics, throughput: float, gateways: float) -> float | None:
        """Requests a second that an instance could take beside what it does; None without figures."""
        utilisation = figures.utilisation(gateways, self._reporters)
        if utilisation is None:
            return None
        spare = throughput * figures.capacity * (1.0 - utilisation)
        return 0.0 if 1.0 - utilisation < MIN_SPARE_FRACTION else spare

    def has_fair_weight(self, name: str) -> bool:
        """Whether an instance has a fair part of the weight: a prompt kept there is worth going for."""
        figures = self._known.get(name)
        return figures is not None and figures.weight * len(self._ring) >= WEIGHT_TOTAL / 4

    def attempts_in_flight(self, name: str) -> int:
        """Own attempts out at an instance."""
        figures = self._known.get(name)
        return len(figures.out) if figures is not None else 0

    def weights(self) -> dict[str, float]:
        """The weights, for operators."""
        return {figures.name: round(figures.weight, 2) for figures in self._ring}

    # --- spending --------------------------------------------------------------------------------

    def choose(
        self, candidates: Sequence[str], now: float, among_few: bool = False, first: Collection[str] = ()
    ) -> str | None:
        """Spend a token of a candidate, in round robin.

        With `among_few` the candidates are all that this gateway uses as a rule: their tokens are reloaded
        once they are spent, whatever others hold.  The turn begins at those named `first`.

        Open case of the design: the candidates have no tokens while others have some.  Then the one that is
        least occupied for its weight is borrowed from, and no token is reloaded: others keep their turn.

        An instance that holds more of the attempts out than its weight explains is passed over and keeps its
        token: own attempts out show at once what figures show late, that it has slowed down or hangs.  So is
        one that has been silent for most of an aim.
        """
        wanted = set(candidates)
        out = sum(len(figures.out) for figures in self._ring if figures.name in wanted) + 1
        share = sum(figures.weight for figures in self._ring if figures.name in wanted)
        if not any(figures.tokens > 0 for figures in self._ring):
            self._load(self._ring)
        elif among_few:
            few = [figures for figures in self._ring if figures.name in wanted]
            if not any(figures.tokens > 0 for figures in few):
                self._load(few)
        for names in (wanted.intersection(first), wanted):
            taken = self._in_turn(names, out, share, now) if names else None
            if taken is not None:
                return taken
        return self._borrow((figures for figures in self._ring if figures.name in wanted), now)

    def _load(self, ring: Sequence[InstanceMetrics]) -> None:
        scale = len(self._ring) / WEIGHT_TOTAL
        for figures in ring:
            figures.credit += figures.weight * scale
            fresh = int(figures.credit)
            figures.credit -= fresh
            figures.tokens = max(figures.tokens, fresh)

    def _in_turn(self, names: Collection[str], out: int, share: float, now: float) -> str | None:
        """The next of these in the ring that has a token and room and is not silent; takes its token."""
        for step in range(len(self._ring)):
            place = (self._at + step) % len(self._ring)
            figures = self._ring[place]
            fits = figures.tokens > 0 and figures.name in names and self._has_room(figures, out, share)
            if fits and not self._silent(figures, now):
                figures.tokens -= 1
                self._at = place + 1
                return figures.name
        return None

    def _has_room(self, figures: InstanceMetrics, out: int, share: float) -> bool:
        return not self._mechanisms.room_above_share or figures.has_room(out, share)

    def _silent(self, figures: InstanceMetrics, now: float) -> bool:
        return self._mechanisms.silence and figures.silence(now) >= SILENCE_PASSED_OVER

    def _borrow(self, candidates: Iterable[InstanceMetrics], now: float) -> str | None:
        """Those without weight come last: all-zero candidates count as equal."""
        best = min(
            candidates,
            key=lambda figures: (
                figures.weight <= 0,
                self._silent(figures, now),
                (len(figures.out) + 1) / (figures.weight or 1.0),
                figures.name,
            ),
            default=None,
        )
        return best.name if best is not None else None
