"""Generate synthetic demand with several marketplaces, an on-sale burst, refusals and retries.

Requests form a Poisson process with a base rate and one burst.  Marketplaces, classes, work hints and
time-outs are drawn by the shares of a recipe.  The same recipe and seed give the same requests.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import yaml

from brambleusher.load.request import Request
from brambleusher.load.times import EPOCH, SECOND

NOON_NS = 1_764_590_400 * SECOND


class RecipeError(ValueError):
    """A recipe is invalid; the message names the key."""


class ClassParameters(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Parameters of a request class."""

    share: float = 1.0
    safe: bool = True
    timeout_ms: int = 2000
    hint_us: float = 20_000.0  # median work hint in microseconds; hints are lognormal
    spread: float = 0.5  # sigma of the logarithm of the hints
    hinted: float = 1.0  # share of requests with a hint
    body: int = 200  # body size in bytes of unsafe requests


class Burst(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A burst: the rate rises at once and falls linearly over the last third."""

    start_s: float = 240.0
    seconds: float = 90.0
    times: float = 8.0
    share: dict[str, float] = {}  # class shares that replace those of the recipe during the burst


class Recipe(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Parameters of a synthetic demand."""

    seconds: float = 600.0
    rate: float = 40.0  # requests per second outside the burst
    start_ns: int = NOON_NS
    marketplaces: dict[str, float] = msgspec.field(
        default_factory=lambda: {
            "peach-seats": 5.0, "midtown-tickets": 3.0, "river-resale": 1.5, "box-office": 0.5,
        }
    )  # fmt: skip
    classes: dict[str, ClassParameters] = msgspec.field(
        default_factory=lambda: {
            "listing-lookup": ClassParameters(share=6.0, timeout_ms=1500, hint_us=24_000.0),
            "price-check": ClassParameters(share=3.0, timeout_ms=2000, hint_us=45_000.0, hinted=0.9),
            "transfer-record": ClassParameters(share=1.0, safe=False, timeout_ms=4000, hint_us=90_000.0),
        }
    )
    burst: Burst | None = Burst()
    refused: float = 0.02  # share of requests that are refused and retried
    refused_in_burst: float = 0.12
    retry_after_s: float = 0.8  # mean pause before a retry, in seconds
    retries: int = 2  # limit of retries per request


def read_recipe(path: str | Path) -> Recipe:
    """Read and validate a recipe in YAML; raises `RecipeError`."""
    try:
        raw = yaml.safe_load(Path(path).read_bytes())
        return validate_recipe(msgspec.convert({} if raw is None else raw, Recipe))
    except OSError as error:
        raise RecipeError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise RecipeError(f"{path}: not YAML: {' '.join(str(error).split())}") from None
    except (msgspec.ValidationError, RecipeError) as error:
        raise RecipeError(f"{path}: {error}") from None


def _finite(value: Any, name: str) -> None:
    if isinstance(value, float) and not math.isfinite(value):
        raise RecipeError(f"{name} is no finite number")
    if isinstance(value, dict):
        for key, each in value.items():
            _finite(each, f"{name}.{key}" if name else str(key))


def validate_recipe(recipe: Recipe) -> Recipe:
    """Return the recipe if its values are valid; raises `RecipeError`."""
    _finite(msgspec.to_builtins(recipe), "")
    for name, value, low in (
        ("seconds", recipe.seconds, 0.001), ("rate", recipe.rate, 0.0), ("refused", recipe.refused, 0.0),
        ("retry_after_s", recipe.retry_after_s, 0.001), ("retries", recipe.retries, 0),
    ):  # fmt: skip
        if not low <= value < math.inf:
            raise RecipeError(f"{name} is not at least {low:g}")
    if not recipe.classes or not sum(kind.share for kind in recipe.classes.values()) > 0:
        raise RecipeError("classes have no share")
    if not sum(recipe.marketplaces.values()) > 0:
        raise RecipeError("marketplaces have no share")
    if recipe.burst is not None and not recipe.burst.times >= 0:
        raise RecipeError("burst.times is not at least 0")
    for name in recipe.burst.share if recipe.burst is not None else ():
        if name not in recipe.classes:
            raise RecipeError(f"burst.share.{name} is no class")
    return recipe


def rate_factor(recipe: Recipe, at_s: float) -> float:
    """Return the ratio of the rate to the base rate at a time in seconds from the start."""
    burst = recipe.burst
    if burst is None or not burst.start_s <= at_s < burst.start_s + burst.seconds:
        return 1.0
    left = (burst.start_s + burst.seconds - at_s) / (burst.seconds / 3)
    return 1.0 + (burst.times - 1.0) * min(1.0, left)


def requests(recipe: Recipe, seed: int) -> Iterator[Request]:
    """Generate the requests of a recipe, in order."""
    rng = random.Random(seed)
    retries: list[tuple[int, int, Request, int]] = []
    end_ns = recipe.start_ns + int(recipe.seconds * SECOND)
    for at_ns in _times(recipe, rng):
        while retries and retries[0][0] <= at_ns:
            yield from _with_response(recipe, rng, retries, *_pop_retry(retries))
        request = _draw_request(recipe, rng, at_ns)
        yield from _with_response(recipe, rng, retries, request, 0)
    while retries and retries[0][0] < end_ns:
        yield from _with_response(recipe, rng, retries, *_pop_retry(retries))


def _pop_retry(retries: list[tuple[int, int, Request, int]]) -> tuple[Request, int]:
    _, _, request, tries = heapq.heappop(retries)
    return request, tries


def _times(recipe: Recipe, rng: random.Random) -> Iterator[int]:
    """Generate a Poisson process of varying rate by thinning (Lewis and Shedler, 1979)."""
    max_factor = max(1.0, recipe.burst.times if recipe.burst is not None else 1.0)
    if recipe.rate <= 0:
        return
    at_s = rng.expovariate(recipe.rate * max_factor)
    while at_s < recipe.seconds:
        if rng.random() * max_factor < rate_factor(recipe, at_s):
            yield recipe.start_ns + int(at_s * SECOND) // 1_000_000 * 1_000_000
        at_s += rng.expovariate(recipe.rate * max_factor)


def _draw_request(recipe: Recipe, rng: random.Random, at_ns: int) -> Request:
    at_s = (at_ns - recipe.start_ns) / SECOND
    shares = {name: class_parameters.share for name, class_parameters in recipe.classes.items()}
    if recipe.burst is not None and recipe.burst.share and rate_factor(recipe, at_s) > 1.0:
        shares |= recipe.burst.share
    name = rng.choices(list(shares), list(shares.values()))[0]
    class_parameters = recipe.classes[name]
    tenant = rng.choices(list(recipe.marketplaces), list(recipe.marketplaces.values()))[0]
    hint = max(1, round(class_parameters.hint_us * rng.lognormvariate(0.0, class_parameters.spread)))
    hint_us = hint if rng.random() < class_parameters.hinted else None
    game = rng.randrange(400)
    target = f"/{name}?game={game}" + (f"&section={rng.randrange(30)}" if class_parameters.safe else "")
    body = None if class_parameters.safe else rng.randbytes(class_parameters.body // 2).hex().encode()
    key = f"{rng.getrandbits(64):016x}"
    return _make_request(at_ns, name, target, tenant, hint_us, class_parameters.timeout_ms, key, False, body)


def _make_request(
    at_ns: int, name: str, target: str, tenant: str, hint_us: int | float | None, timeout_ms: int | None,
    key: str, retry: bool, body: bytes | None,
) -> Request:  # fmt: skip
    headers = [("Request-Id", key), ("Request-Class", name), ("Tenant", tenant)]
    if timeout_ms is not None:
        headers.append(("Request-Timeout-Ms", str(timeout_ms)))
    if hint_us is not None:
        headers.append(("Work-Hint", str(hint_us)))
    if retry:
        headers.append(("Client-Retry", "1"))
    if body is not None:
        headers += [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
    return Request(
        at_ns, name, "GET" if body is None else "POST", target, tenant, hint_us, timeout_ms, key, retry,
        tuple(headers), body, len(body or b""), "http://api.internal",
    )  # fmt: skip


def _with_response(
    recipe: Recipe,
    rng: random.Random,
    retries: list[tuple[int, int, Request, int]],
    request: Request,
    tries: int,
) -> Iterator[Request]:
    """Yield a request with its response; schedule a retry with a new id after a pause if it is refused."""
    at_s = (request.at_ns - recipe.start_ns) / SECOND
    share = recipe.refused_in_burst if rate_factor(recipe, at_s) > 1.0 else recipe.refused
    refused = rng.random() < share
    took = int((request.hint_us or 10_000) * 1_000 * (1.0 + rng.expovariate(2.0)))
    yield msgspec.structs.replace(
        request, status=503 if refused else 200, took_ns=1_000_000 if refused else took // 1_000 * 1_000
    )
    if refused and tries < recipe.retries:
        pause_ns = int((0.1 + rng.expovariate(1.0 / recipe.retry_after_s)) * 1000) * 1_000_000
        retry = _make_request(
            request.at_ns + pause_ns, request.request_class, request.target, request.tenant or "",
            request.hint_us, request.timeout_ms, f"{rng.getrandbits(64):016x}", True, request.body,
        )  # fmt: skip
        heapq.heappush(retries, (retry.at_ns, rng.getrandbits(32), retry, tries + 1))


LOGGED_HEADERS = (
    "request-class", "tenant", "work-hint", "request-timeout-ms", "request-id", "client-retry",
    "content-length",
)  # fmt: skip


def log_line(request: Request, whole_seconds: bool = False) -> bytes:
    """Format a request as an access log line in the format `platform` of `access_log.FORMATS`."""
    headers = {name.lower(): value for name, value in request.headers}
    seconds, nanos = divmod(request.at_ns, SECOND)
    when = EPOCH.fromtimestamp(seconds, EPOCH.tzinfo).strftime("%d/%b/%Y:%H:%M:%S +0000")
    header_texts = " ".join(f'"{log_escaped(headers.get(name, "-"))}"' for name in LOGGED_HEADERS)
    stamp = f"[{when}]" if whole_seconds else f"{seconds}.{nanos // 1000:06d}"
    line = (
        f'192.0.2.7 - - {stamp} "{log_escaped(request.method)} {log_escaped(request.target)} HTTP/1.1" '
        f'{request.status or 200} 512 "-" "market/1.0" {(request.took_ns or 0) // 1000} {header_texts}\n'
    )
    return line.encode("latin-1")


# LogFormat that equals `platform` but has times in microseconds.
EXACT_LOG_FORMAT = (
    '%h %l %u %{sec}t.%{usec_frac}t "%r" %>s %b "%{Referer}i" "%{User-Agent}i" %D "%{Request-Class}i" '
    '"%{Tenant}i" "%{Work-Hint}i" "%{Request-Timeout-Ms}i" "%{Request-Id}i" "%{Client-Retry}i" '
    '"%{Content-Length}i"'
)


def log_escaped(text: str) -> str:
    """Escape unprintable characters, quotes and backslashes as the server does in its log."""
    out = []
    for char in text:
        if char in '"\\':
            out.append(f"\\{char}")
        elif " " <= char <= "~":
            out.append(char)
        else:
            out.append(f"\\x{ord(char):02x}")
    return "".join(out)


def json_record(request: Request) -> dict[str, Any]:
    """Convert a request to a JSON log record with the default field names."""
    seconds, nanos = divmod(request.at_ns, SECOND)
    when = EPOCH.fromtimestamp(seconds, EPOCH.tzinfo).strftime("%Y-%m-%dT%H:%M:%S")
    record: dict[str, Any] = {
        "time": f"{when}.{nanos:09d}Z", "method": request.method,
        "url": f"{request.origin or ''}{request.target}",
        "headers": [list(field) for field in request.headers], "size": request.size,
    }  # fmt: skip
    if request.status is not None:
        record["status"] = request.status
    if request.took_ns is not None:
        record["took_ms"] = request.took_ns / 1e6
    if request.body is not None:
        record["body"] = request.body.decode()
    return record
