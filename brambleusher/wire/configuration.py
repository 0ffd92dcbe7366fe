"""The operator's configuration: routes, services and limits, read and validated with pydantic.

Aliases are the operator's keys, which stay as they are; fields have the terms of the code.
"""

from __future__ import annotations

import json

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brambleusher.wire.errors import InvalidConfigurationError


class _Section(BaseModel):
    """Unknown keys are ignored: later versions of the operator's tools may send more."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class WeightedService(_Section):
    """One of several services of a route; its weight sets its fraction of the requests."""

    service: str
    weight: float = Field(ge=0, alias="gain")


class Route(_Section):
    """How requests of a host under a path prefix are served."""

    name: str = ""
    host: str
    path_prefix: str
    kind: str = "mutating"
    deadline_ms: float = Field(gt=0)
    latency_target_ms: float = Field(default=1000, ge=0, alias="setpoint_ms")
    priority: int = 5
    service: str | None = None
    split: tuple[WeightedService, ...] = ()
    max_attempts: int = Field(default=1, ge=0, alias="tries")
    has_affinity: bool = Field(default=False, alias="affine")
    is_resumable: bool = Field(default=False, alias="resumable")
    gap_target_ms: float = Field(default=0, alias="gap_aim_ms")
    home_regions: tuple[str, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "idempotent" or (self.kind == "streaming" and self.is_resumable)

    @property
    def is_cancellable(self) -> bool:
        """Whether a run may be broken off once nobody waits for its response."""
        return self.kind in {"idempotent", "streaming"}

    @property
    def weighted_services(self) -> tuple[WeightedService, ...]:
        """Services and their weights; a single service has all requests."""
        return self.split if self.service is None else (WeightedService(service=self.service, gain=1.0),)


class Engine(_Section):
    """What a model instance has capacity for."""

    capacity: int = 1
    cache_tokens: int = 0
    stride: int = 1


class Service(_Section):
    """One pool of instances, and how it may be used."""

    name: str
    health_check_path: str = Field(default="/", alias="probe_path")
    connection_limit: int = Field(default=64, ge=1, alias="conn_limit")
    warm_up_s: float = Field(default=0, alias="warmup_s")
    warm_up_requests_per_s: float = Field(default=0, alias="cold_per_s")
    engine: Engine | None = None


class Limits(_Section):
    """Bounds on what clients may send, how long that may take, and how long they may be idle."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000
    idle_ms: float = 15000


class Configuration(_Section):
    """A whole configuration of one revision."""

    revision: int = Field(ge=1)
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    keys = dict(pairs)
    if len(keys) != len(pairs):
        raise InvalidConfigurationError("body", "a key stands twice in one object")
    return keys


def load(body: bytes) -> object:
    """Return the JSON of an operator's request.

    Raises:
        InvalidConfigurationError: The body can't be read, or an object has a key twice.
    """
    try:
        return json.loads(body, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError("body", f"it can't be read whole: {error}") from error


def invalid(error: ValidationError) -> InvalidConfigurationError:
    """Return the first fault that pydantic found, with its key."""
    first = error.errors()[0]
    key = ".".join(str(step) for step in first["loc"]) or "body"
    return InvalidConfigurationError(key, first["msg"])


def read(body: bytes) -> Configuration:
    """Return a configuration from the bytes sent, validated.

    Raises:
        InvalidConfigurationError: It must not come into force; the error names the faulty key.
    """
    try:
        configuration = Configuration.model_validate(load(body))
    except ValidationError as error:
        raise invalid(error) from error
    _check(configuration)
    return configuration


def read_checked(body: bytes) -> Configuration:
    """Return a configuration that a controller has validated before.

    Raises:
        InvalidConfigurationError: It is no configuration.
    """
    try:
        return Configuration.model_validate_json(body)
    except ValidationError as error:
        raise InvalidConfigurationError("body", str(error.errors()[0]["msg"])) from error


def _check(configuration: Configuration) -> None:
    """Check what concerns several parts: routes are distinct, their services exist."""
    services = {service.name for service in configuration.services}
    matches: set[tuple[str, str]] = set()
    for position, route in enumerate(configuration.routes):
        key = f"routes.{position}"
        host, prefix = match = (route.host.lower(), route.path_prefix)
        if match in matches:
            raise InvalidConfigurationError(key, f"host {host} and prefix {prefix} have a route already")
        matches.add(match)
        _check_services(key, route, services)


def _check_services(key: str, route: Route, services: set[str]) -> None:
    if not route.weighted_services:
        raise InvalidConfigurationError(key, "it names no service")
    for weighted in route.weighted_services:
        if weighted.service not in services:
            raise InvalidConfigurationError(key, f"service {weighted.service} is unknown")
    if sum(weighted.weight for weighted in route.weighted_services) <= 0:
        raise InvalidConfigurationError(key, "the weights of its services sum to 0")
