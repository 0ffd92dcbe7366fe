"""The plan of a soak: the times of signals, restarts, faults and changes, drawn from a seed."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from brambleusher.lab.soak.records import ClientAct
from brambleusher.lab.soak.settings import SoakSettings

CALM_START_S = 2.0  # the time without actions after all processes are ready
CALM_END_S = 3.0  # the time without new actions at the end, before the final state is inspected
# At most one controller may be down at a time; the next one is ended at the earliest after this time.
CONTROLLER_SPACING_S = 8.0
SERIES_GAP_S = (0.05, 1.2)  # the time between two actions of a series, mostly shorter than a shutdown takes
FAULT_S = (0.5, 3.0)  # how long a fault of an instance, an evacuation or early departures last
# How long instances hang while clients leave; a request's deadline of 4 s lies within this range.
STALL_S = (2.5, 4.5)
# How long a zone of its own stays evacuated, and an instance draining: longer than the bounds on both.
LASTING_S = (6.5, 9.0)
HELD_UP_AFTER_S = 1.0  # the time from an evacuation to the order that a link holds up
HELD_UP_S = (1.8, 4.0)  # how long a link holds an order up, until after the next evacuation
SERIES_INTERVAL_S = 0.9  # the mean interval between the starts of series, which may overlap


class ActionKind(StrEnum):
    """The kinds of actions that a soak takes."""

    TERMINATE = "terminate"  # SIGTERM is sent to a process, which is restarted after it has ended
    KILL = "kill"  # SIGKILL is sent to a process, which is then restarted
    RELOAD = "reload"  # the settings of a process change, and SIGHUP is sent to it
    HANG_INSTANCE = "hang_instance"  # an instance neither answers requests nor closes connections
    RESET_INSTANCE = "reset_instance"  # an instance resets its connections in place of responses
    BREAK_STREAMS = "break_streams"  # an instance resets its connections within streamed responses
    REJECT_INSTANCE = "reject_instance"  # an instance rejects requests, as if its capacity were exhausted
    SLOW_INSTANCE = "slow_instance"
    DRAIN_INSTANCE = "drain_instance"  # an instance is listed as draining
    CHANGE_CONFIGURATION = "change_configuration"
    RACE_CONFIGURATION = "race_configuration"  # two concurrent changes are sent on the same revision
    EVACUATE_ZONE = "evacuate_zone"
    RESTORE_ZONE = "restore_zone"
    # A zone is restored by an order that a link holds up for the duration, and evacuated again meanwhile.
    HOLD_UP_RESTORE = "hold_up_restore"
    DISCONNECT_CLIENTS = "disconnect_clients"  # many clients leave before their responses are complete


@dataclass(frozen=True, slots=True)
class ScheduledAction:
    """One action of a plan.

    `target` names a process, an instance, a zone or an act of clients; it is empty if the kind needs none.
    """

    at_s: float
    kind: ActionKind
    target: str = ""
    duration_s: float = 0.0


INSTANCE_FAULTS = (
    ActionKind.HANG_INSTANCE,
    ActionKind.RESET_INSTANCE,
    ActionKind.BREAK_STREAMS,
    ActionKind.REJECT_INSTANCE,
    ActionKind.SLOW_INSTANCE,
    ActionKind.DRAIN_INSTANCE,
)


CHANGES = (
    ActionKind.TERMINATE,
    ActionKind.KILL,
    ActionKind.RELOAD,
    ActionKind.CHANGE_CONFIGURATION,
    ActionKind.RACE_CONFIGURATION,
    ActionKind.EVACUATE_ZONE,
)
TRIPLES = list(itertools.product(INSTANCE_FAULTS, ClientAct, CHANGES))
random.Random("triples").shuffle(TRIPLES)  # a fixed order in which neighbours differ
COINCIDENCE_S = (0.8, 1.6)  # how long an instance's fault and early departures of clients last together
TRIPLES_PER_SEED = 16  # about the number of triples that a soak of 30 s plays


class SoakPlanner:
    """Draws the plan of one soak."""

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        self._rng = random.Random(f"soak {settings.seed}")
        self._end_s = settings.duration_s - CALM_END_S
        self._controller_free_at_s = CALM_START_S
        self._next_triple = settings.seed * TRIPLES_PER_SEED  # a range of seeds covers all triples in turn
        # One zone is evacuated only by lasting series, so that each of its evacuations outlasts the bound.
        self._lasting_zone = settings.zone_names[settings.seed % len(settings.zone_names)]
        self._brief_zones = [zone for zone in settings.zone_names if zone != self._lasting_zone]

    def plan(self) -> list[ScheduledAction]:
        """Return all actions, ordered by time."""
        draws: list[Callable[[float], Iterator[ScheduledAction]]] = [
            self._roll_gateways,
            self._roll_gateways,
            self._roll_sidecars,
            self._random_signals,
            self._random_signals,
            self._controller,
            self._instance_faults,
            self._instance_faults,
            self._changes,
            self._evacuation,
            self._client_disconnects,
            self._stalled_instances,
            self._stalled_instances,
        ]
        actions = [*self._lasting_evacuations(), *self._lasting_drains()]
        at_s = CALM_START_S
        while at_s < self._end_s:
            actions += self._rng.choice(draws)(at_s)
            actions += self._coincidence(at_s)
            at_s += self._rng.uniform(0.4, 1.6) * SERIES_INTERVAL_S
        return sorted((each for each in actions if each.at_s < self._end_s), key=lambda each: each.at_s)

    def _gap_s(self) -> float:
        return self._rng.uniform(*SERIES_GAP_S)

    def _roll_gateways(self, at_s: float) -> Iterator[ScheduledAction]:
        """Send SIGTERM to one gateway after the other, often before the last one has restarted."""
        yield from self._roll(at_s, self._settings.gateway_names)

    def _roll_sidecars(self, at_s: float) -> Iterator[ScheduledAction]:
        """Send SIGTERM to one sidecar after the other."""
        yield from self._roll(at_s, self._settings.sidecar_names)

    def _roll(self, at_s: float, names: list[str]) -> Iterator[ScheduledAction]:
        self._rng.shuffle(names)
        for name in names[: self._rng.randint(1, max(1, len(names) - 1))]:
            yield ScheduledAction(at_s, ActionKind.TERMINATE, name)
            at_s += self._gap_s()

    def _random_signals(self, at_s: float) -> Iterator[ScheduledAction]:
        """Send signals of all kinds to two processes, also while these start or shut down."""
        kinds = (ActionKind.TERMINATE, ActionKind.RELOAD, ActionKind.KILL)
        processes = self._settings.gateway_names + self._settings.sidecar_names
        names = self._rng.sample(processes, min(2, len(processes)))
        for _ in range(self._rng.randint(3, 8)):
            yield ScheduledAction(at_s, self._rng.choice(kinds), self._rng.choice(names))
            at_s += self._gap_s() / 2

    def _controller(self, at_s: float) -> Iterator[ScheduledAction]:
        """End one controller, after the previous one has had time to restart."""
        at_s = max(at_s, self._controller_free_at_s)
        self._controller_free_at_s = at_s + CONTROLLER_SPACING_S
        kind = self._rng.choice((ActionKind.TERMINATE, ActionKind.KILL))
        yield ScheduledAction(at_s, kind, self._rng.choice(self._settings.controller_names))

    def _instance_faults(self, at_s: float) -> Iterator[ScheduledAction]:
        names = self._settings.instance_names + self._settings.endpoint_names
        for name in self._rng.sample(names, self._rng.randint(1, max(1, len(names) // 2))):
            kind = self._rng.choice(INSTANCE_FAULTS)
            yield ScheduledAction(at_s, kind, name, self._rng.uniform(*FAULT_S))
            at_s += self._gap_s() / 2

    def _changes(self, at_s: float) -> Iterator[ScheduledAction]:
        for _ in range(self._rng.randint(2, 6)):
            kind = self._rng.choice((ActionKind.CHANGE_CONFIGURATION, ActionKind.RACE_CONFIGURATION))
            yield ScheduledAction(at_s, kind)
            at_s += self._gap_s()

    def _evacuation(self, at_s: float) -> Iterator[ScheduledAction]:
        zone = self._rng.choice(self._brief_zones)
        yield ScheduledAction(at_s, ActionKind.EVACUATE_ZONE, zone)
        yield ScheduledAction(at_s + self._rng.uniform(*FAULT_S), ActionKind.RESTORE_ZONE, zone)

    def _lasting_evacuations(self) -> Iterator[ScheduledAction]:
        """Evacuate one zone again and again, every other time with a held-up order to restore it."""
        rng = random.Random(f"lasting zone {self._settings.seed}")
        zone, is_held_up, at_s = self._lasting_zone, self._settings.seed % 2 == 0, CALM_START_S
        while at_s < self._end_s:
            yield ScheduledAction(at_s, ActionKind.EVACUATE_ZONE, zone)
            if is_held_up:
                at_s += HELD_UP_AFTER_S
                held_up_s = rng.uniform(*HELD_UP_S)
                yield ScheduledAction(at_s, ActionKind.HOLD_UP_RESTORE, zone, held_up_s)
                at_s += held_up_s
            at_s += rng.uniform(*LASTING_S)
            yield ScheduledAction(at_s, ActionKind.RESTORE_ZONE, zone)
            at_s += rng.uniform(*FAULT_S)
            is_held_up = not is_held_up

    def _lasting_drains(self) -> Iterator[ScheduledAction]:
        """Let one instance after the other drain for longer than gateways may still use it."""
        rng = random.Random(f"lasting drains {self._settings.seed}")
        at_s = CALM_START_S + rng.uniform(*FAULT_S)
        while at_s < self._end_s:
            duration_s = rng.uniform(*LASTING_S)
            yield ScheduledAction(
                at_s, ActionKind.DRAIN_INSTANCE, rng.choice(self._settings.instance_names), duration_s
            )
            at_s += duration_s + rng.uniform(*FAULT_S)

    def _stalled_instances(self, at_s: float) -> Iterator[ScheduledAction]:
        """Let instances hang while clients leave early."""
        names = self._settings.instance_names + self._settings.endpoint_names
        duration_s = self._rng.uniform(*STALL_S)
        for name in self._rng.sample(names, max(1, len(names) * 2 // 3)):
            yield ScheduledAction(at_s, ActionKind.HANG_INSTANCE, name, duration_s)
        yield ScheduledAction(at_s, ActionKind.DISCONNECT_CLIENTS, duration_s=duration_s)

    def _coincidence(self, at_s: float) -> Iterator[ScheduledAction]:
        """Let instances fail, clients leave, and a process or the configuration change, all at once."""
        fault, act, change = TRIPLES[self._next_triple % len(TRIPLES)]
        self._next_triple += 1
        duration_s = self._rng.uniform(*COINCIDENCE_S)
        for names in (self._settings.instance_names, self._settings.endpoint_names):
            # Only one instance breaks streams, so that the others can resume them.
            count = min(1, len(names)) if fault is ActionKind.BREAK_STREAMS else len(names) // 2
            for name in self._rng.sample(names, count):
                yield ScheduledAction(at_s, fault, name, duration_s)
        yield ScheduledAction(at_s, ActionKind.DISCONNECT_CLIENTS, act.value, duration_s)
        change_at_s = at_s + self._rng.uniform(0.0, duration_s)
        target = ""
        if change in (ActionKind.TERMINATE, ActionKind.KILL, ActionKind.RELOAD):
            target = self._rng.choice(self._settings.gateway_names + self._settings.sidecar_names)
        elif change is ActionKind.EVACUATE_ZONE:
            target = self._rng.choice(self._brief_zones)
            yield ScheduledAction(change_at_s + duration_s, ActionKind.RESTORE_ZONE, target)
        yield ScheduledAction(change_at_s, change, target)

    def _client_disconnects(self, at_s: float) -> Iterator[ScheduledAction]:
        yield ScheduledAction(at_s, ActionKind.DISCONNECT_CLIENTS, duration_s=self._rng.uniform(*FAULT_S))
