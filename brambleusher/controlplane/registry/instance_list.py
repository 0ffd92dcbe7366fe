"""Reads the platform's instance list, which is paged, rate-limited, delayed and at times unavailable."""

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

# Each controller reads the list at this interval times the number of controllers and sends changes to the
# others, so that some controller reads it once per interval. Together with the platform's own delay and the
# long poll this stays well below the shortest `drain_ms`.
READ_INTERVAL_S = 0.35
READ_INTERVAL_MAX_S = 2.2  # upper bound on the read interval of one controller
PAUSE_MIN_S = 0.1  # minimum pause between two reads by one controller
# Bounds of the random factor of the pause, which desynchronizes controllers that started at the same time.
JITTER_MIN, JITTER_MAX = 0.9, 1.1
REQUEST_TIMEOUT_S = 1.5
RATE_FRACTION = 0.5  # fraction of the platform's rate limit that all controllers together may use
PAGES_MAX = 200
LOGGED_FAILURES = frozenset({1, 10, 100})  # numbers of consecutive failures that are logged
LIST_PATH = "/instances"
MS_PER_S = 1000

RawInstance = dict[str, object]  # an instance as listed by the platform; controllers forward it unparsed


class InstanceListError(Exception):
    """The platform's instance list could not be read."""


class InstanceListReader:
    """Reads the instance list periodically.

    Attributes:
        instances: The latest complete list.
        version: The number of times that the list has changed.
        read_at_s: The time when reading the latest list began, in seconds of the scheduler's clock, or None
            before the first complete read.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        rng: random.Random,
        reader_count: Callable[[], int],
        on_changed: Callable[[bool], None],
    ) -> None:
        """Start reading the list periodically.

        Args:
            scheduler: The scheduler of the serving thread.
            settings: The settings with the platform's address and rate limit.
            rng: The source of the random jitter.
            reader_count: Returns how many controllers share the platform's rate limit.
            on_changed: Called after the list has changed; the argument is True if this controller read the
                list itself, and False if another controller sent it.
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
        raise InstanceListError(f"the instance list has more than {PAGES_MAX} pages")

    def _read_page(self, token: str) -> tuple[list[RawInstance], str]:
        """Return the instances of a page and the token of the next page, which is "" on the last page."""
        path = f"{LIST_PATH}?page_token={token}" if token else LIST_PATH
        status, body = self._client.get(path, REQUEST_TIMEOUT_S)
        if status != HTTPStatus.OK:
            raise InstanceListError(f"the platform responded with status {status}")
        try:
            data = orjson.loads(body)
            return list(data["instances"]), data["next_token"]
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise InstanceListError(f"invalid page of the instance list: {error}") from error

    # --- exchange with other controllers ---------------------------------------------------------

    def to_message(self) -> dict[str, object]:
        """Return a message with the instance list and its age, for another controller."""
        age_s = self._scheduler.now() - (self.read_at_s or 0.0)
        return {"instances": self.instances, "age_ms": int(age_s * MS_PER_S)}

    def handle_instance_list(self, message: JsonObject) -> None:
        """Apply an instance list that another controller read, if it is newer than the current list.

        Raises:
            InvalidMessageError: The message has no list or no valid age.
        """
        instances, age_ms = message.get("instances"), message.get("age_ms")
        if not isinstance(instances, list) or not isinstance(age_ms, int) or age_ms < 0:
            raise InvalidMessageError(f"invalid instance list message: no list, or age_ms is {age_ms!r}")
        self._apply(instances, self._scheduler.now() - age_ms / MS_PER_S, read_here=False)

    def _apply(self, instances: list[RawInstance], read_at_s: float, read_here: bool) -> None:
        if self.read_at_s is not None and read_at_s <= self.read_at_s:
            return
        is_first, self.read_at_s = self.read_at_s is None, read_at_s
        if is_first or instances != self.instances:
            self.instances = instances
            self.version += 1
            self._on_changed(read_here)
