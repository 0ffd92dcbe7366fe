"""Reads the platform's list of instances, which is paged, rate-limited, delayed and at times unavailable."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from http import HTTPStatus

import orjson

from brambleusher.runtime.http_client import HttpClient, HttpRequestError
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import parse_address
from brambleusher.wire.errors import InvalidMessageError
from brambleusher.wire.json_fields import JsonObject
from brambleusher.wire.settings import Settings

log = logging.getLogger(__name__)

# Times the number of controllers: one of them reads so often, and sends what is new to the others.
# With the platform's own delay and the long poll that is well inside the shortest `drain_ms`.
READ_INTERVAL_S = 0.35
READ_INTERVAL_MAX_S = 2.2
PAUSE_MIN_S = 0.1
JITTER_MIN, JITTER_MAX = 0.9, 1.1  # factors of the pause: controllers that started together drift apart
REQUEST_TIMEOUT_S = 1.5
RATE_FRACTION = 0.5  # of the platform's rate that all controllers together may use
PAGES_MAX = 200
LOGGED_FAILURES = frozenset({1, 10, 100})  # consecutive ones
LIST_PATH = "/instances"
MS_PER_S = 1000

RawInstance = dict[str, object]  # as the platform lists it; controllers pass it on unread


class InstanceListError(Exception):
    """The platform's list can't be read."""


class InstanceListReader:
    """The latest complete reading, with a version that counts changes, and when the reading began."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        rng: random.Random,
        reader_count: Callable[[], int],
        on_changed: Callable[[bool], None],
    ) -> None:
        """Start to read.

        Args:
            scheduler: Of the serving thread.
            settings: Name the platform and its rate.
            rng: Source of the jitter.
            reader_count: Returns how many controllers share the platform's rate.
            on_changed: Called after a change, with whether it was read here and not by another controller.
        """
        self._scheduler, self._rng = scheduler, rng
        self._reader_count, self._on_changed = reader_count, on_changed
        self._rate_per_s = settings.cloud_api.rate_per_s
        self._client = HttpClient(scheduler, parse_address(settings.cloud_api.address))
        self.instances: list[RawInstance] = []
        self.version = 0
        self.read_at_s: float | None = None
        self._page_count = 1
        self._failures = 0
        scheduler.spawn(self._run, name="platform_list")

    # --- reading the platform --------------------------------------------------------------------

    def _run(self) -> None:
        while True:
            begun_s = self._scheduler.now()
            self._read(begun_s)
            pause_s = self._pause_s() * self._rng.uniform(JITTER_MIN, JITTER_MAX)
            spent_s = self._scheduler.now() - begun_s
            self._scheduler.sleep(max(PAUSE_MIN_S, pause_s - spent_s))

    def _read(self, begun_s: float) -> None:
        try:
            instances = self._read_pages()
        except (HttpRequestError, InstanceListError) as error:
            self._failures += 1
            if self._failures in LOGGED_FAILURES:
                fields = {"reason": str(error), "failures": self._failures}
                log.warning("instance list read failed", extra={"fields": fields})
        else:
            self._failures = 0
            self._apply(instances, begun_s, read_here=True)

    def _pause_s(self) -> float:
        readers = self._reader_count()
        rate_limited_s = readers * self._page_count / (self._rate_per_s * RATE_FRACTION)
        return max(min(READ_INTERVAL_S * readers, READ_INTERVAL_MAX_S), rate_limited_s)

    def _read_pages(self) -> list[RawInstance]:
        instances: list[RawInstance] = []
        token = ""
        for page in range(PAGES_MAX):
            page_instances, token = self._read_page(token)
            instances += page_instances
            if not token:
                self._page_count = page + 1
                return instances
        raise InstanceListError(f"the list has over {PAGES_MAX} pages")

    def _read_page(self, token: str) -> tuple[list[RawInstance], str]:
        """Return the instances of a page and the token of the next one, empty on the last."""
        path = f"{LIST_PATH}?page_token={token}" if token else LIST_PATH
        status, body = self._client.get(path, REQUEST_TIMEOUT_S)
        if status != HTTPStatus.OK:
            raise InstanceListError(f"status {status}")
        try:
            data = orjson.loads(body)
            return list(data["instances"]), data["next_token"]
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise InstanceListError(f"the list can't be read: {error}") from error

    # --- exchange with other controllers ---------------------------------------------------------

    def to_message(self) -> dict[str, object]:
        """Return the reading for another controller, with its age."""
        age_s = self._scheduler.now() - (self.read_at_s or 0.0)
        return {"instances": self.instances, "age_ms": int(age_s * MS_PER_S)}

    def handle_reading(self, message: JsonObject) -> None:
        """Apply another controller's reading if it is newer.

        Raises:
            InvalidMessageError: The message has no list or no age.
        """
        instances, age_ms = message.get("instances"), message.get("age_ms")
        if not isinstance(instances, list) or not isinstance(age_ms, int) or age_ms < 0:
            raise InvalidMessageError(f"a reading has no list or no age: age_ms is {age_ms!r}")
        self._apply(instances, self._scheduler.now() - age_ms / MS_PER_S, read_here=False)

    def _apply(self, instances: list[RawInstance], read_at_s: float, read_here: bool) -> None:
        if self.read_at_s is not None and read_at_s <= self.read_at_s:
            return
        is_first, self.read_at_s = self.read_at_s is None, read_at_s
        if is_first or instances != self.instances:
            self.instances = instances
            self.version += 1
            self._on_changed(read_here)
