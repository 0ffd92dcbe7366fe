"""The operator's configuration: routes, services and limits, parsed and validated with pydantic.

Aliases are the keys in the operator's JSON, which must not change; fields are named by the terms of the code.
"""

from __future__ import annotations

import contextlib
import json
import math
import re
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brambleusher.wire.errors import InvalidConfigurationError

BYTE_ORDER_MARK = "\ufeff"
LONE_SURROGATE = re.compile("[\ud800-\udfff]")  # half of a character, which UTF-8 cannot represent
REPLACEMENT_CHARACTER = "\ufffd"
NUMBER_MAX = 2**53  # largest magnitude of a number that all JSON parsers read alike (RFC 7493, 2.2)

Number = Annotated[float, Field(ge=-NUMBER_MAX, le=NUMBER_MAX)]
WholeNumber = Annotated[int, Field(ge=-NUMBER_MAX, le=NUMBER_MAX)]

Model = TypeVar("Model", bound=BaseModel)


class _Section(BaseModel):
    """Base of all sections; ignores unknown keys, which later versions of operators' tools may send."""

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)


class WeightedService(_Section):
    """One of several services of a route; the weight determines the service's fraction of the requests."""

    service: str
    weight: Number = Field(ge=0, alias="gain")


class Route(_Section):
    """Rule for serving the requests to a host under a path prefix."""

    name: str = ""
    host: str
    path_prefix: str
    kind: str = "mutating"
    deadline_ms: Number = Field(gt=0)
    latency_target_ms: Number = Field(default=1000, ge=0, alias="setpoint_ms")
    priority: WholeNumber = 5
    service: str | None = None
    split: tuple[WeightedService, ...] = ()
    max_attempts: WholeNumber = Field(default=1, ge=0, alias="tries")
    has_affinity: bool = Field(default=False, alias="affine")
    is_resumable: bool = Field(default=False, alias="resumable")
    gap_target_ms: Number = Field(default=0, alias="gap_aim_ms")
    home_regions: tuple[str, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind == "idempotent" or (self.kind == "streaming" and self.is_resumable)

    @property
    def is_cancellable(self) -> bool:
        """Whether execution of a request may be cancelled once no client waits for the response."""
        return self.kind in {"idempotent", "streaming"}

    @property
    def weighted_services(self) -> tuple[WeightedService, ...]:
        """The services and their weights; a single service gets all requests."""
        return self.split if self.service is None else (WeightedService(service=self.service, gain=1.0),)


class Engine(_Section):
    """Capacity of an instance that serves a machine learning model."""

    capacity: WholeNumber = 1
    cache_tokens: WholeNumber = 0
    stride: WholeNumber = 1


class Service(_Section):
    """A pool of instances, and how to connect to and warm up its instances."""

    name: str
    health_check_path: str = Field(default="/", alias="probe_path")
    connection_limit: WholeNumber = Field(default=64, ge=1, alias="conn_limit")
    warm_up_s: Number = Field(default=0, alias="warmup_s")
    warm_up_requests_per_s: Number = Field(default=0, alias="cold_per_s")
    engine: Engine | None = None


class Limits(_Section):
    """Limits on the size of requests in bytes, and on the times to send a header and to stay idle."""

    header_bytes: WholeNumber = 16384
    body_bytes: WholeNumber = 4194304
    header_ms: Number = 3000
    idle_ms: Number = 15000


class Configuration(_Section):
    """A complete configuration of one revision."""

    revision: int = Field(ge=1)
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    keys = dict(pairs)
    if len(keys) != len(pairs):
        raise InvalidConfigurationError("body", "a key stands twice in one object")
    return keys


def _reject_constant(text: str) -> object:
    """Reject NaN and Infinity, which Python's parser accepts and JSON does not have (RFC 8259, 6)."""
    raise InvalidConfigurationError("body", f"{text} is no JSON")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise InvalidConfigurationError("body", f"the number {text:.40} is too large")
    return number


def load(body: bytes) -> object:
    """Parse the JSON body of an operator's request.

    Raises:
        InvalidConfigurationError: The body is not JSON in plain UTF-8, contains a number that is too large to
            represent, or an object that contains a key twice.
    """
    try:
        return json.loads(
            _decode(body),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
            parse_float=_finite_float,
        )
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError("body", f"it can't be read whole: {error}") from error


def _decode(body: bytes) -> str:
    """Return the text of a body; JSON is exchanged in UTF-8 without a byte order mark (RFC 8259, 8.1)."""
    try:
        text = body.decode()
    except UnicodeDecodeError as error:
        raise InvalidConfigurationError("body", f"byte {error.start}: it is not UTF-8") from error
    if text.startswith(BYTE_ORDER_MARK):
        raise InvalidConfigurationError("body", "byte 0: a byte order mark precedes the JSON text")
    return text


def encode(data: object) -> bytes:
    """Encode parsed JSON as a body that `parse` can read; lone surrogates are replaced."""
    text = json.dumps(data, ensure_ascii=False, separators=(",", ":"))
    return LONE_SURROGATE.sub(REPLACEMENT_CHARACTER, text).encode()


def configuration_error(error: ValidationError) -> InvalidConfigurationError:
    """Convert a pydantic error to an exception with its first error and the key concerned."""
    first = error.errors()[0]
    key = ".".join(str(step) for step in first["loc"]) or "body"
    return InvalidConfigurationError(key, first["msg"])


def read(body: bytes) -> Configuration:
    """Parse and validate a configuration that an operator sent.

    Raises:
        InvalidConfigurationError: The configuration is invalid; the error names the key concerned.
    """
    load(body)
    configuration = parse(body)
    _check(configuration)
    return configuration


def parse(body: bytes) -> Configuration:
    """Parse a configuration, without the checks across its sections; all other readers use this one.

    Raises:
        InvalidConfigurationError: The body is not a configuration; the error names the key concerned.
    """
    return parse_as(Configuration, body)


def parse_as(model: type[Model], body: bytes) -> Model:
    """Parse a JSON body as a model.

    Raises:
        InvalidConfigurationError: The body does not match the model; the error names the key concerned.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise configuration_error(error) from error


def parse_stored(body: bytes) -> Configuration:
    """Parse a configuration that was accepted by this version, or by an earlier one.

    Earlier versions accepted texts that `parse` rejects: other encodings than UTF-8, byte order marks and
    lone surrogates (before 2026-12-04), numbers that are not finite or beyond `NUMBER_MAX` (before
    2026-12-08). Their log entries and snapshots may still contain such a text.

    Raises:
        InvalidConfigurationError: The body is not a configuration.
    """
    with contextlib.suppress(InvalidConfigurationError):
        return parse(body)
    return parse(encode(_load_lenient(body)))


def load_stored(body: bytes) -> dict[str, Any]:
    """Parse the JSON object of a configuration that was accepted by this version, or by an earlier one.

    Raises:
        InvalidConfigurationError: The body is not a JSON object.
    """
    try:
        data = load(body)
    except InvalidConfigurationError:
        data = _load_lenient(body)
    if not isinstance(data, dict):
        raise InvalidConfigurationError("body", "it is no object")
    return data


def _load_lenient(body: bytes) -> object:
    try:
        return _with_valid_numbers(json.loads(body))
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError("body", f"it can't be read whole: {error}") from error


def _with_valid_numbers(value: object) -> object:
    """Return parsed JSON without NaN, so that defaults apply, and with other numbers within the bounds."""
    if isinstance(value, dict):
        return {key: _with_valid_numbers(item) for key, item in value.items() if not _is_nan(item)}
    if isinstance(value, list):
        return [_with_valid_numbers(item) for item in value if not _is_nan(item)]
    if isinstance(value, int | float) and abs(value) > NUMBER_MAX:
        return NUMBER_MAX if value > 0 else -NUMBER_MAX
    return value


def _is_nan(value: object) -> bool:
    return isinstance(value, float) and math.isnan(value)


def _check(configuration: Configuration) -> None:
    """Check constraints across sections: no two routes match the same requests, and their services exist."""
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
    # A split is checked even if `service` takes its place.
    for weighted in (*route.weighted_services, *route.split):
        if weighted.service not in services:
            raise InvalidConfigurationError(key, f"service {weighted.service} is unknown")
    if route.split and sum(weighted.weight for weighted in route.split) <= 0:
        raise InvalidConfigurationError(key, "the weights of its services sum to 0")
