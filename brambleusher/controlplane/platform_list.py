"""Reads the platform's list of instances: paged, rate-limited, lagging, at times down."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

import orjson

from brambleusher.runtime.http_client import CallFailed, HttpClient
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

READ_EVERY_S = 0.7  # with the platform's own lag and the long poll well inside the shortest `drain_ms`
CALL_S = 1.5
RATE_SHARE = 0.5  # of the platform's rate that all controllers together may use
PAGES_MAX = 200


class PlatformList:
    """The latest whole reading, with a version that counts changes, and when it was begun."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        rng: random.Random,
        readers: Callable[[], int],
        changed: Callable[[], None],
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
            except CallFailed as error:
                self._failures += 1
                if self._failures in (1, 10, 100):
                    log.warning("the list of instances can't be read", extra={"fields": {"why": str(error)}})
            else:
                self._failures = 0
                self._take(instances, begun)
            pause = max(READ_EVERY_S, self._readers() * self._pages / (self._rate * RATE_SHARE))
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
                raise CallFailed(f"status {status}")
            try:
                data = orjson.loads(body)
                instances += data["instances"]
                token = data["next_token"]
            except (orjson.JSONDecodeError, KeyError, TypeError) as error:
                raise CallFailed(f"the list can't be read: {error}") from error
            if not token:
                self._pages = page + 1
                return instances
        raise CallFailed(f"the list has over {PAGES_MAX} pages")

    def _take(self, instances: list[dict[str, Any]], begun: float) -> None:
        first = self.read_at is None
        self.read_at = begun
        if first or instances != self.instances:
            self.instances = instances
            self.version += 1
            self._changed()
