"""Measure how soon a gateway avoids a hung instance if all clients leave before their latency target.

    python -m benchmarks.hung_instance [--seeds N]

Runs the weights of one gateway in virtual time with six instances, of which one hangs from a certain time.
Every client leaves at the same fraction of its latency target, whichever instance serves it.  Also runs one
hour without faults, in which long responses are common, to count healthy instances avoided by mistake.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
from dataclasses import dataclass, field

from brambleusher.loadbalancing.instance_metrics import TICK_S
from brambleusher.loadbalancing.instance_weights import UNRESPONSIVE_RATIO, InstanceWeights

TARGET_S = 0.5
NAMES = tuple("abcdef")
HUNG = "a"
HANGS_AT_S, ENDS_AT_S = 20.0, 50.0
HOUR_S = 3600.0
MEDIAN_RATIO = 0.15  # median time to the first byte, as a fraction of the latency target
SPREAD = 0.6  # sigma of the logarithm of the time to the first byte
# Share of long prompts, and their time to the first byte as a fraction of the latency target.
LONG_FRACTION, LONG_RATIO = 0.05, 0.5
STREAM_S = 0.4  # time from the first byte to the last, in seconds
# Fractions of the target at which clients leave; with 9, none leaves before the deadline.
ABANDON_FRACTIONS = (0.3, 0.5, 0.9, 9.0)
RATES = (2.0, 20.0)  # requests per second


@dataclass
class Play:
    """One run of the weights."""

    seed: int
    rate: float
    abandons_at: float
    hangs_at_s: float
    ends_at_s: float
    # Times of sends to the hung instance, in seconds after it hung.
    sent_to_hung: list[float] = field(default_factory=list)
    passed_over_s: float | None = None  # time until the instance was first avoided, in seconds after it hung
    false_alarms: int = 0  # ticks at which a healthy instance was avoided

    def run(self) -> Play:
        """Run the simulation to its end."""
        rng = random.Random(self.seed)
        weights = InstanceWeights(random.Random(self.seed + 1))
        weights.set_instances(dict.fromkeys(NAMES, 64.0))
        events: list[tuple[float, int, str, str, int]] = []
        count, now = 0, 0.0
        next_request, next_tick = 0.0, 0.0
        while now < self.ends_at_s:
            now = min(next_request, next_tick, events[0][0] if events else self.ends_at_s)
            if events and events[0][0] <= now:
                _, _, what, name, attempt = heapq.heappop(events)
                if what == "first byte":
                    weights.record_first_byte(name, attempt, now)
                elif what == "left":
                    weights.abandon_attempt(name, attempt, now)
                else:
                    weights.finish_attempt(name, attempt, True)
            elif next_tick <= now:
                weights.recompute(now, 1.0)
                self._check_hung_instance(weights, now)
                self._count_false_alarms(weights, now)
                next_tick += TICK_S
            else:
                next_request += rng.expovariate(self.rate)
                name = weights.choose(NAMES, now) or HUNG
                attempt = weights.start_attempt(name, 0, TARGET_S, now)
                hangs = name == HUNG and now >= self.hangs_at_s
                if hangs:
                    self.sent_to_hung.append(now - self.hangs_at_s)
                for after_s, what in self._course(rng, hangs):
                    count += 1
                    heapq.heappush(events, (now + after_s, count, what, name, attempt))
        return self

    def _course(self, rng: random.Random, hangs: bool) -> list[tuple[float, str]]:
        """Draw the events of an attempt, each with its time in seconds after the start."""
        first = MEDIAN_RATIO * rng.lognormvariate(0.0, SPREAD)
        if rng.random() < LONG_FRACTION:
            first = LONG_RATIO * rng.lognormvariate(0.0, SPREAD / 2)
        if hangs or first > self.abandons_at:
            return [(min(self.abandons_at, 8.0) * TARGET_S, "left")]
        return [(first * TARGET_S, "first byte"), (first * TARGET_S + STREAM_S, "done")]

    def _check_hung_instance(self, weights: InstanceWeights, now: float) -> None:
        is_judged = now >= self.hangs_at_s and self.passed_over_s is None
        if is_judged and weights.is_unresponsive(HUNG, now):
            self.passed_over_s = now - self.hangs_at_s

    def _count_false_alarms(self, weights: InstanceWeights, now: float) -> None:
        for name in NAMES:
            if name == HUNG and now >= self.hangs_at_s:
                continue
            self.false_alarms += weights.is_unresponsive(name, now)


def main() -> None:
    """Print a row for each rate and leaving time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    seeds = parser.parse_args().seeds
    print(f"unresponsive from {UNRESPONSIVE_RATIO} of a target; {seeds} seeds, medians and most")
    print("rate/s  clients leave at  requests to it in 30 s, most (even)  in 10 s, most  passed over after s")
    for rate in RATES:
        for fraction in ABANDON_FRACTIONS:
            plays = [Play(seed, rate, fraction, HANGS_AT_S, ENDS_AT_S).run() for seed in range(seeds)]
            sent = [len(play.sent_to_hung) for play in plays]
            even = rate * (ENDS_AT_S - HANGS_AT_S) / len(NAMES)
            early = [sum(at < 10.0 for at in play.sent_to_hung) for play in plays]
            hour = Play(1, rate, fraction, HOUR_S, HOUR_S).run().false_alarms
            after = [
                ENDS_AT_S - HANGS_AT_S if each is None else each for each in (p.passed_over_s for p in plays)
            ]
            print(
                f"{rate:6.0f}  {fraction:16.1f}  {statistics.median(sent):8.0f} {max(sent):5d} ({even:.0f})"
                f"  {statistics.median(early):8.0f} {max(early):5d}"
                f"  {statistics.median(after):8.1f} {max(after):5.1f}  false alarms, ticks an hour: {hour}"
            )


if __name__ == "__main__":
    main()
