"""The operator's configuration: routes, services and limits, read and checked with pydantic."""

from __future__ import annotations

import json
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brambleusher.wire.errors import InvalidConfigurationError


class _Part(BaseModel):
    """Unknown keys are kept out: later versions of the operator's tools may send more."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Split(_Part):
    """One of several services of a route, and its share of the requests."""

    service: str
    gain: float = Field(ge=0)


class Route(_Part):
    """How requests of a host under a path prefix are served."""

    name: str = ""
    host: str
    path_prefix: str
    kind: str = "mutating"
    deadline_ms: float = Field(gt=0)
    setpoint_ms: float = Field(default=1000, ge=0)
    priority: int = 5
    service: str | None = None
    split: tuple[Split, ...] = ()
    tries: int = Field(default=1, ge=0)
    affine: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0
    home_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "idempotent" or (self.kind == "streaming" and self.resumable)

    @property
    def shares(self) -> tuple[Split, ...]:
        """Services and their shares; the single service has all."""
        return self.split if self.service is None else (Split(service=self.service, gain=1.0),)


class Engine(_Part):
    """What a model instance can hold."""

    capacity: int = 1
    cache_tokens: int = 0
    stride: int = 1


class Service(_Part):
    """One pool of instances, and how it may be used."""

    name: str
    probe_path: str = "/"
    conn_limit: int = Field(default=64, ge=1)
    warmup_s: float = 0
    cold_per_s: float = 0
    engine: Engine | None = None


class Limits(_Part):
    """Bounds on what clients may send, how long that may take, and how long they may rest."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000
    idle_ms: float = 15000


class Configuration(_Part):
    """A whole configuration of one revision."""

    revision: int = Field(ge=1)
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    keys = dict(pairs)
    if len(keys) != len(pairs):
        raise InvalidConfigurationError("body", "a key stands twice in one object")
    return keys


def load(body: bytes) -> Any:
    """The JSON of a call of the operator; raises `InvalidConfigurationError`."""
    try:
        return json.loads(body, object_pairs_hook=_unique)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError("body", f"it can't be read whole: {error}") from error


def invalid(error: ValidationError) -> InvalidConfigurationError:
    """The first fault that pydantic found, with its key."""
    first = error.errors()[0]
    key = ".".join(str(part) for part in first["loc"]) or "body"
    return InvalidConfigurationError(key, first["msg"])


def read(body: bytes) -> Configuration:
    """A configuration from the bytes sent, checked; raises `InvalidConfigurationError`."""
    try:
        configuration = Configuration.model_validate(load(body))
    except ValidationError as error:
        raise invalid(error) from error
    _check(configuration)
    return configuration


def read_checked(body: bytes) -> Configuration:
    """A configuration that a controller has checked; raises `InvalidConfigurationError` where it is none."""
    try:
        return Configuration.model_validate_json(body)
    except ValidationError as error:
        raise InvalidConfigurationError("body", str(error.errors()[0]["msg"])) from error


def _check(configuration: Configuration) -> None:
    known = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for at, route in enumerate(configuration.routes):
        key = f"routes.{at}"
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            raise InvalidConfigurationError(
                key, f"host {place[0]} and prefix {place[1]} have a route already"
            )
        places.add(place)
        if not route.shares:
            raise InvalidConfigurationError(key, "it names no service")
        for share in route.shares:
            if share.service not in known:
                raise InvalidConfigurationError(key, f"service {share.service} is unknown")
        if sum(share.gain for share in route.shares) <= 0:
            raise InvalidConfigurationError(key, "the weights of its services sum to 0")
