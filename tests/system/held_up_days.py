"""Randomized evacuation orders of one operator, over links that hold them up, while controllers lose power.

The operator sends one order after the other. Each is sent again to another machine after a second of silence
or a 5xx, until it is acknowledged or given up. Attempts that a link holds up arrive at any time afterwards.
The checker knows what the operator sent and received: from an acknowledgement until the next order is sent,
the zone is in the state that was acknowledged.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from tests.controlplane.consensus.cluster import SafetyViolationError
from tests.system.virtual_deployment import CONTROL, VirtualDeployment

ZONE = "n1"
CORES = ("c1", "c2", "c3")
MACHINES = (*CORES, "o1", "o2")
CALLER_TIMEOUT_S = 1.0
ROUND_TRIP_MAX_S = (
    0.15  # the longest time from the bytes to the end of a connection whose opening was held up
)
TAKEN_WITHIN_S = 2.0  # bound of an order that no link holds up, with all machines at work
SYNC_S = 4.0
KEPT_OPEN_S = 5.0  # how long a caller keeps a connection open that it has given up


@dataclass
class Attempt:
    """One attempt of an order and what came of it; the status is 0 without a response."""

    method: str
    machine: str
    hold_s: float
    opening_is_held_up: bool
    end_after_s: float | None
    status: int = 0
    is_over: bool = False


@dataclass
class Day:
    """One operator's orders; `log` is the story of a day that breaks a rule."""

    seed: int
    log: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"held up {self.seed}")
        self.deployment = VirtualDeployment(self.seed, gateways=1, observers=2)
        self.lost: str = ""
        self.calm_from = 0.0  # the time from which all machines are at work

    def run(self, orders: int) -> None:
        """Play a day; raises `SafetyViolationError`."""
        try:
            self.deployment.served()
            self.deployment.sleep(SYNC_S)
            for _ in range(orders):
                self._lose_or_return()
                self._order(self.rng.choice(("POST", "DELETE")))
        finally:
            self.deployment.close()

    def _lose_or_return(self) -> None:
        if self.lost:
            self.deployment.power_on(self.lost)
            self.lost, self.calm_from = "", self.deployment.now + SYNC_S
        elif self.deployment.now >= self.calm_from and self.rng.random() < 0.2:
            self.lost = self.rng.choice([self.deployment.leader() or "c1", *CORES])
            self._note(f"{self.lost} loses power")
            self.deployment.power_off(self.lost)

    def _note(self, text: str) -> None:
        self.log.append(f"{self.deployment.now:9.3f} {text}")

    def _order(self, method: str) -> None:
        begun_at, is_held_up = self.deployment.now, False
        for _ in range(self.rng.choice((1, 2, 3, 8, 8))):
            attempt = self._attempt(method)
            is_held_up = is_held_up or attempt.hold_s > 0.0
            if 400 <= attempt.status < 500:
                raise SafetyViolationError(f"{method} refused with {attempt.status}")
            if attempt.status == 200:
                break
            self.deployment.sleep(self.rng.uniform(0.0, 0.2))
        else:
            self._note(f"{method} is given up")
            self.deployment.sleep(self.rng.uniform(0.0, 1.0))
            return
        is_calm = not self.lost and begun_at >= self.calm_from and not is_held_up
        if is_calm and self.deployment.now - begun_at > TAKEN_WITHIN_S:
            raise SafetyViolationError(f"{method} took {self.deployment.now - begun_at:.2f} s in a calm time")
        self._check_until(method == "POST", self.deployment.now + self.rng.choice((0.0, 0.1, 1.5, 4.0)))

    def _check_until(self, is_evacuated: bool, end: float) -> None:
        """Check that the leader, where there is one, has the acknowledged state until a time."""
        while True:
            leader = self.deployment.leader()
            consensus = leader and self.deployment.controllers[leader].replica.consensus
            if leader and consensus and consensus.has_quorum_contact(self.deployment.now):
                replica = self.deployment.controllers[leader].replica
                is_current = consensus.log.term_at(consensus.commit_index) == consensus.term
                if is_current and (ZONE in replica.state.evacuated_zones) is not is_evacuated:
                    raise SafetyViolationError(f"acknowledged {is_evacuated}, in force {not is_evacuated}")
            if self.deployment.now >= end:
                return
            self.deployment.sleep(0.05)

    def _attempt(self, method: str) -> Attempt:
        hold_s = self.rng.uniform(0.1, 5.0) if self.rng.random() < 0.4 else 0.0
        opening_is_held_up = self.rng.random() < 0.4
        machine = self.rng.choice([name for name in MACHINES if name != self.lost])
        end_after_s = self.rng.uniform(0.0, ROUND_TRIP_MAX_S) if opening_is_held_up else None
        if not opening_is_held_up and self.rng.random() < 0.5:
            end_after_s = self.rng.uniform(0.0, 2.0)
        attempt = Attempt(method, machine, hold_s, opening_is_held_up, end_after_s)
        self.deployment.caller.serve(
            lambda scheduler: scheduler.spawn(self._send, scheduler, attempt), "caller"
        )
        end = self.deployment.now + CALLER_TIMEOUT_S
        while not attempt.is_over and self.deployment.now < end:
            self.deployment.sleep(0.01)
        received = attempt.status if attempt.is_over else 0
        self._note(f"{attempt}: {received}")
        return Attempt(method, machine, hold_s, opening_is_held_up, end_after_s, received)

    def _send(self, scheduler: Scheduler, attempt: Attempt) -> None:
        """Send an attempt as its link passes it on, and end it when the caller's end arrives."""
        address = (self.deployment.world.machines[attempt.machine].ip, CONTROL)
        request = f"{attempt.method} /api/evacuations/{ZONE} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        begun_at = scheduler.now()
        stream: Stream | None = None
        try:
            if attempt.opening_is_held_up:
                scheduler.sleep(attempt.hold_s)
            stream = Stream.connect(scheduler, address, scheduler.now() + CALLER_TIMEOUT_S)
            scheduler.sleep(begun_at + attempt.hold_s - scheduler.now())
            stream.send(request.encode(), scheduler.now() + CALLER_TIMEOUT_S)
            answer = stream.receive(self._gives_up_at(attempt, begun_at, scheduler.now()))
            attempt.status = int(answer.split()[1]) if answer else 0
        except (OSError, TaskTimeoutError):
            attempt.status = 0
        finally:
            attempt.is_over = True
            if stream is not None:
                stream.close()

    @staticmethod
    def _gives_up_at(attempt: Attempt, begun_at: float, sent_at: float) -> float:
        """Return when the end of the connection arrives, unless the response comes first."""
        if attempt.end_after_s is None:
            return sent_at + KEPT_OPEN_S
        return max(begun_at + CALLER_TIMEOUT_S, sent_at + attempt.end_after_s)


def play(seed: int, orders: int = 25) -> None:
    """Play one day; raises `SafetyViolationError` with the story of the day."""
    day = Day(seed)
    try:
        day.run(orders)
    except SafetyViolationError as error:
        raise SafetyViolationError("\n".join([f"seed {seed}: {error}", *day.log[-40:]])) from None
