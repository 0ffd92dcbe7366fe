"""Reads the platform's list of instances: paged, rate-limited, lagging, at times down."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

import orjson

from brambleusher.runtime.http_client import HttpCallError, HttpClient
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

# Times the number of controllers: one of them reads so often, and what is new it sends to the others.
# With the platform's own lag and the long poll that is well inside the shortest `drain_ms`.
READ_EVERY_S = 0.35
READ_MOST_S = 2.2
CALL_S = 1.5
RATE_SHARE = 0.5  # of the platform's rate that all controllers together may use
PAGES_MAX = 200


class InstanceListReader:
    """The latest whole reading, with a version that counts changes, and when it was begun."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        rng: random.Random,
        readers: Callable[[], int],
        changed: Callable[[bool], None],
    ) -> None:
        self._scheduler, self._rng, self._readers, self._changed = scheduler, rng, readers, changed
        self._rate = settings.cloud_api.rate_per_s
        self._client = HttpClient(scheduler, parse_address(settings.cloud_api.address))
        self.instances: list[dict[str, Any]] = []
        self.version = 0
        self.read_at: float | None = None
        self._pages = 1
        self._failures = 0
        scheduler.spawn(self._run, name="platform_list")

    def _run(self) -> None:
        while True:
            begun = self._scheduler.now()
            try:
                instances = self._read()
            except HttpCallError as error:
                self._failures += 1
                if self._failures in (1, 10, 100):
                    log.warning("the list of instances can't be read", extra={"fields": {"why": str(error)}})
            else:
                self._failures = 0
                self._take(instances, begun)
            readers = self._readers()
            pause = max(
                min(READ_EVERY_S * readers, READ_MOST_S), readers * self._pages / (self._rate * RATE_SHARE)
            )
            spent = self._scheduler.now() - begun
            self._scheduler.sleep(max(0.1, pause * self._rng.uniform(0.9, 1.1) - spent))

    def _read(self) -> list[dict[str, Any]]:
        instances: list[dict[str, Any]] = []
        token = ""
        for page in range(PAGES_MAX):
            status, body = self._client.get(
                f"/instances?page_token={token}" if token else "/instances", CALL_S
            )
            if status != 200:
                raise HttpCallError(f"status {status}")
            try:
                data = orjson.loads(body)
                instances += data["instances"]
                token = data["next_token"]
            except (orjson.JSONDecodeError, KeyError, TypeError) as error:
                raise HttpCallError(f"the list can't be read: {error}") from error
            if not token:
                self._pages = page + 1
                return instances
        raise HttpCallError(f"the list has over {PAGES_MAX} pages")

    def to_message(self) -> dict[str, Any]:
        """The reading for another controller, with its age."""
        age_s = self._scheduler.now() - (self.read_at or 0.0)
        return {"instances": self.instances, "age_ms": int(age_s * 1000)}

    def handle_reading(self, message: dict[str, Any]) -> None:
        """Another controller's reading; raises `InvalidMessageError`."""
        instances, age_ms = message.get("instances"), message.get("age_ms")
        if not isinstance(instances, list) or not isinstance(age_ms, int) or age_ms < 0:
            raise InvalidMessageError("a reading has no list or no age")
        self._take(instances, self._scheduler.now() - age_ms / 1000, read_here=False)

    def _take(self, instances: list[dict[str, Any]], read_at: float, read_here: bool = True) -> None:
        if self.read_at is not None and read_at <= self.read_at:
            return
        first, self.read_at = self.read_at is None, read_at
        if first or instances != self.instances:
            self.instances = instances
            self.version += 1
            self._changed(read_here)
