"""The long poll's server: a gateway asks with the versions it holds, and is answered once one is newer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brambleusher.controlplane.registry.instance_list import InstanceListReader
from brambleusher.controlplane.registry.load_reports import FleetLoadReports, parse_report
from brambleusher.controlplane.replica import Replica
from brambleusher.membership.views import PartialView, Peer, peer_from_json
from brambleusher.runtime.scheduler import Event, Scheduler, TaskTimeoutError
from brambleusher.wire.errors import InvalidMessageError

HOLD_S = 0.5  # a gateway that hears nothing for longer leaves this controller for another
COUNTED_S = 10.0  # gateways heard of so lately share budgets


class ConfigurationPublisher:
    """Answers `watch` messages; `announce` wakes all that wait."""

    def __init__(
        self,
        scheduler: Scheduler,
        name: str,
        replica: Replica,
        instances: InstanceListReader,
        view: PartialView,
        controllers: Callable[[], list[tuple[str, str, str]]],
    ) -> None:
        self._scheduler, self._name = scheduler, name
        self._replica, self._instances, self._view = replica, instances, view
        self._controllers = controllers
        self._waiting: set[Event] = set()
        self._figures = FleetLoadReports()

    def notify(self) -> None:
        """Something has a new version."""
        for event in self._waiting:
            event.set()

    def handle_long_poll(self, message: dict[str, Any]) -> dict[str, Any]:
        """Wait for news and answer; raises `InvalidMessageError`.

        To a question that is `brief` the answer only says that there is news: the gateway follows two
        controllers, and large news should come once.
        """
        peer = peer_from_json(message.get("me"))
        held, source, version = message.get("index"), message.get("source"), message.get("version")
        if not isinstance(held, int) or not isinstance(version, int):
            raise InvalidMessageError("a watch has no versions")
        self._view.record_contact(peer, self._scheduler.now())
        if "figures" in message:
            self._figures.record(peer.name, parse_report(message["figures"]), self._scheduler.now())
        deadline = self._scheduler.now() + HOLD_S
        event = Event()
        self._waiting.add(event)
        try:
            while not self._news(held, source, version):
                self._scheduler.park(deadline, event=event)
        except TaskTimeoutError:
            pass
        finally:
            self._waiting.discard(event)
        answer = self._answer(peer, held, source, version, bool(message.get("brief")))
        if "figures" in message:
            reporters, figures = self._figures.sum_of_others(peer.name, self._scheduler.now())
            answer["reporters"], answer["figures"] = reporters, figures
        return answer

    def _news(self, held: int, source: object, version: int) -> bool:
        listed = self._instances.read_at is not None
        other = source != self._name or version != self._instances.version
        return self._replica.state.index > held or (listed and other)

    def _answer(self, peer: Peer, held: int, source: object, version: int, brief: bool) -> dict[str, Any]:
        now = self._scheduler.now()
        gateways = [each.name for each in self._view.alive("gateway", now, COUNTED_S)]
        state, listed = self._replica.state, self._instances
        answer: dict[str, Any] = {
            "index": state.index,
            "contact": self._replica.consensus.has_quorum_contact(now),
            "gateways": len(gateways),
            "rank": gateways.index(peer.name) if peer.name in gateways else 0,
            "controllers": self._controllers(),
            "source": self._name,
            "version": listed.version,
        }
        if state.index > held and not brief:
            answer["packed"], answer["evacuated"] = state.packed, state.evacuated_zones
        if listed.read_at is not None:
            answer["age_ms"] = int((now - listed.read_at) * 1000)
            if brief:
                return answer
            if source != self._name or version != listed.version:
                answer["instances"] = listed.instances
        return answer
