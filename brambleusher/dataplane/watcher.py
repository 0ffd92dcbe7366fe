"""The long poll's client: follows controllers and takes what is newer, never what is older."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from brambleusher.dataplane.instances import Instance, Instances
from brambleusher.dataplane.routes import RouteTable
from brambleusher.membership.controllers import Controllers, controllers_from_json
from brambleusher.membership.line_connection import LineClient
from brambleusher.membership.views import Peer
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import parse_address
from brambleusher.wire import configuration
from brambleusher.wire.errors import InvalidConfigurationError, InvalidMessageError
from brambleusher.wire.packing import unpack

log = logging.getLogger(__name__)

WATCHERS = 2  # controllers followed at once: one that freezes or is cut off holds nothing up
ANSWER_S = 1.1  # twice the time that a controller holds a question, and a round trip between regions
PAUSE_S = 0.05
BRIEF_WAIT_S = 0.25  # for news to come from the other controller before it is asked for twice
LIST_OLDER_S = 1.0  # behind another controller's reading: worth having that one sent
STALE_LIST_S = 3.2  # a controller whose reading of the list is older is left for another
FIGURES_EVERY_S = 0.8  # what this gateway saw of instances goes out, and what others saw comes in
CONTACT_WAIT_S = 2.0  # after the start, for a controller with a majority, before another's state will do
COUNT_KEPT_S = 30.0  # the most gateways counted within this time share the budgets


class Watcher:
    """What the gateway holds of the control plane's state."""

    def __init__(
        self,
        scheduler: Scheduler,
        controllers: Controllers,
        instances: Instances,
        describe: Callable[[], Peer],
        unusable: Callable[[list[Instance]], None],
    ) -> None:
        self._scheduler, self._controllers = scheduler, controllers
        self._instances, self._describe, self._unusable = instances, describe, unusable
        self.index = -1
        self.routes: RouteTable | None = None
        self._figures_at = 0.0
        self._started_at = scheduler.now()
        self._counts: list[tuple[float, int]] = []
        for number in range(WATCHERS):
            scheduler.spawn(self._run, number, name=f"watcher_{number}")

    def _run(self, number: int) -> None:
        while True:
            address = self._controllers.acquire(number, self._scheduler.now())
            try:
                if self._follow(address, number):
                    continue
            except (OSError, TaskTimeoutError, InvalidMessageError) as error:
                log.debug("a controller is left", extra={"fields": {"address": address, "why": repr(error)}})
            self._controllers.record_failure(address, self._scheduler.now())
            self._scheduler.sleep(PAUSE_S)

    def _follow(self, address: str, number: int) -> bool:
        """Ask one controller again and again, until it is no use (False) or a nearer one is known (True).

        The watcher with the nearest controller takes large news and exchanges figures.
        """
        client = LineClient(self._scheduler, parse_address(address))
        source, version, brief, was_first = "", -1, True, False
        try:
            while True:
                first = self._controllers.holds_nearest(number)
                if first and not was_first:
                    source, version = "", -1  # what brief answers named was not taken from here
                was_first = first
                question: dict[str, Any] = {
                    "kind": "watch",
                    "me": self._describe().as_json(),
                    "index": self.index,
                    "source": source,
                    "version": version,
                }
                if not first:
                    question["brief"] = brief
                if not first and not brief:
                    question["source"], question["version"] = "", -1
                if first and self._scheduler.now() >= self._figures_at:
                    self._figures_at = self._scheduler.now() + FIGURES_EVERY_S
                    question["figures"] = self._instances.report()
                answer = client.call(question, ANSWER_S)
                if answer.get("observer"):
                    self._controllers.mark_observer(address, controllers_from_json(answer.get("controllers")))
                    return False
                same = first and (answer.get("source"), answer.get("version")) == (source, version)
                self._take(answer, confirms=same)
                if not first and brief and self._behind(answer):
                    # The other controller should bring it; if it does not, this one is asked for it all.
                    self._scheduler.sleep(BRIEF_WAIT_S)
                    brief = not self._behind(answer)
                    continue
                brief = True
                source, version = str(answer.get("source")), int(answer.get("version", -1))
                if not self._useful(answer):
                    return False
                self._controllers.record_success(address)
                if self._controllers.is_nearer_available(number, address, self._scheduler.now()):
                    return True
        finally:
            client.close()

    def _behind(self, answer: dict[str, Any]) -> bool:
        """Whether a controller that answered briefly has what this gateway still lacks."""
        read_at = self._scheduler.now() - int(answer.get("age_ms", 0)) / 1000
        newer_list = "age_ms" in answer and read_at > self._instances.read_at + LIST_OLDER_S
        return int(answer["index"]) > self.index or newer_list

    def _useful(self, answer: dict[str, Any]) -> bool:
        age_ms = answer.get("age_ms")
        fresh = not self._instances.listed or (age_ms is not None and age_ms < STALE_LIST_S * 1000)
        return bool(answer.get("contact")) and fresh

    # --- what is newer ---------------------------------------------------------------------------

    def _take(self, answer: dict[str, Any], confirms: bool = False) -> None:
        """Take what is newer; `confirms` says that the list which was taken from there is still the same."""
        now = self._scheduler.now()
        try:
            self._take_state(answer, now)
            self._take_instances(answer, now, confirms)
            self._take_count(int(answer["gateways"]), now)
            self._instances.rank = int(answer["rank"])
            if "figures" in answer:
                self._instances.hear(int(answer["reporters"]), answer["figures"], now)
            known = answer.get("controllers")
            if isinstance(known, list) and known and answer.get("contact"):
                self._controllers.set_announced(controllers_from_json(known))
        except (KeyError, TypeError, ValueError, InvalidConfigurationError) as error:
            raise InvalidMessageError(f"an answer can't be read: {error!r}") from error

    def _take_state(self, answer: dict[str, Any], now: float) -> None:
        index = int(answer["index"])
        if index <= self.index or "packed" not in answer:
            return
        waited = now - self._started_at >= CONTACT_WAIT_S
        if not answer.get("contact") and self.routes is None and not waited:
            return  # it may be long cut off, and others know better
        packed = answer["packed"]
        routes = RouteTable(configuration.read_checked(unpack(packed))) if packed else None
        self.index = index
        if routes is not None:
            self.routes = routes
            self._instances.services = routes.services
        self._instances.set_evacuated(frozenset(answer["evacuated"]), now)

    def _take_instances(self, answer: dict[str, Any], now: float, confirms: bool) -> None:
        if "age_ms" not in answer:
            return
        read_at = now - int(answer["age_ms"]) / 1000
        if "instances" in answer and read_at > self._instances.read_at:
            self._unusable(self._instances.take_list(answer["instances"], read_at, now))
        elif confirms and self._instances.listed:
            # Else a list that does not change would seem to grow old, and be asked for anew.
            self._instances.read_at = max(self._instances.read_at, read_at)

    def _take_count(self, gateways: int, now: float) -> None:
        self._counts = [(at, count) for at, count in self._counts if now - at < COUNT_KEPT_S]
        if not self._counts or self._counts[-1][1] != gateways or now - self._counts[-1][0] > 1.0:
            self._counts.append((now, gateways))
        self._instances.gateways = float(max(1, *(count for _, count in self._counts)))
