"""The operator's HTTP API: changes and reads the configuration, and starts and ends zone evacuations.

Operators' tools depend on the paths, status codes, JSON keys and error texts, so these must not change.
"""

from __future__ import annotations

import logging
from http import HTTPStatus

import orjson
from result import Err

from brambleusher.controlplane.configuration.commands import (
    Command,
    PutConfiguration,
    SetEvacuation,
    Verdict,
)
from brambleusher.controlplane.configuration.replicated_state import ReplicatedState
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.runtime.connection_timing import RequestReadiness
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, json_response
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire import configuration, configuration_patch
from brambleusher.wire.configuration_patch import Patch
from brambleusher.wire.errors import InvalidConfigurationError
from brambleusher.wire.packing import unpack

log = logging.getLogger(__name__)

# Operators' tools retry at another controller after one second without a response.
RESPONSE_TIMEOUT_S = 0.92
# An evacuation order that comes right after its connection was opened waits this long for the end of the
# connection. Where a link held up both, the end follows by a round trip. Within the wait followers learn of
# the last commit; it is shorter than the second after which a caller can have sent a later order.
SETTLE_S = 0.2
CONFIGURATION_BYTES_MAX = 8 * 1024 * 1024  # upper bound on the body of one request
CONFIGURATION_PATH = "/api/config"
EVACUATIONS_PATH = "/api/evacuations/"
STATUS_PATH = "/api/status"
REVISION_MAX = 2**53  # JSON parsers that read numbers as doubles lose precision above this value

# Responses for commands that were applied without effect; operators' tools match these texts.
_REJECTIONS: dict[Verdict, tuple[HTTPStatus, str]] = {
    Verdict.OUTDATED: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the zone was changed since this controller knew of it; send it again",
    ),
    Verdict.STALE: (HTTPStatus.PRECONDITION_FAILED, "If-Match: another version is current"),
    Verdict.NOT_HIGHER: (HTTPStatus.BAD_REQUEST, "revision: it is not above the current one"),
}


def _error(status: int, reason: str) -> HttpResponse:
    return json_response(status, {"error": reason})


def _base_revision(request: HttpRequest) -> int:
    """Return the revision that a change is based on, from the `If-Match` header.

    Raises:
        InvalidConfigurationError: The header is missing or is not a valid revision.
    """
    base = request.headers.get(b"if-match", b"").strip().strip(b'"')
    if not base.isdigit() or int(base) > REVISION_MAX:
        raise InvalidConfigurationError("If-Match", "it is no revision")
    return int(base)


def _bounded(revision: int) -> int:
    if revision > REVISION_MAX:
        raise InvalidConfigurationError("revision", "it is too large")
    return revision


def _readiness_fields(readiness: RequestReadiness, arrived_at: float) -> dict[str, object]:
    """Return for how long a connection had been ready for its request, and why, as fields of a log record."""
    return {
        "ready_for_s": round(max(0.0, arrived_at - readiness.sent_after), 3),
        "unread_s": round(readiness.unread_s, 3),
        "opening_s": round(readiness.opening_s, 3),
    }


class AdminApi:
    """Handles HTTP requests on a controller's `control` address."""

    def __init__(self, scheduler: Scheduler, state: ReplicatedState, zones: frozenset[str]) -> None:
        self._scheduler, self._state, self._zones = scheduler, state, zones

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        match request.method, request.path:
            case "PUT", path if path == CONFIGURATION_PATH:
                return self._put_configuration(request)
            case "PATCH", path if path == CONFIGURATION_PATH:
                return self._patch_configuration(request)
            case "GET", path if path == CONFIGURATION_PATH:
                return self._get_configuration()
            case "GET", path if path == STATUS_PATH:
                return json_response(HTTPStatus.OK, self._state.status())
            case "POST" | "DELETE", path if path.startswith(EVACUATIONS_PATH):
                return self._set_evacuation(request, path.removeprefix(EVACUATIONS_PATH))
        return _error(HTTPStatus.NOT_FOUND, f"{request.method} {request.path} is no call of this controller")

    def _deadline(self) -> float:
        return self._scheduler.now() + RESPONSE_TIMEOUT_S

    def _get_configuration(self) -> HttpResponse:
        read = self._state.read(self._deadline())
        if isinstance(read, Err):
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "no majority answered in time")
        state = read.ok_value
        if not state.packed:
            return _error(HTTPStatus.NOT_FOUND, "there is no configuration yet")
        return HttpResponse(HTTPStatus.OK, unpack(state.packed))

    def _put_configuration(self, request: HttpRequest) -> HttpResponse:
        try:
            base_revision = _base_revision(request)
            revision = _bounded(configuration.read(request.body).revision)
        except InvalidConfigurationError as error:
            return _error(HTTPStatus.BAD_REQUEST, str(error))
        command = PutConfiguration.from_body(base_revision, revision, request.body)
        return self._submit(command, self._deadline())

    def _patch_configuration(self, request: HttpRequest) -> HttpResponse:
        """Merge a patch and submit the result.

        The log stores the complete merged configuration, so that replicas do not have to merge patches.
        """
        deadline = self._deadline()
        try:
            base_revision = _base_revision(request)
            patch = configuration_patch.read(request.body)
            _bounded(patch.revision)
            read = self._state.read(deadline)
            if isinstance(read, Err):
                return _error(HTTPStatus.SERVICE_UNAVAILABLE, "no majority answered in time")
            merged = self._merge(read.ok_value, base_revision, patch)
        except InvalidConfigurationError as error:
            return _error(HTTPStatus.BAD_REQUEST, str(error))
        command = PutConfiguration.from_patch(base_revision, patch.revision, request.body, merged)
        return self._submit(command, deadline)

    @staticmethod
    def _merge(state: SharedState, base_revision: int, patch: Patch) -> bytes | None:
        """Return the patched configuration, or None if the patch is not based on the current revision."""
        if state.revision != base_revision or not state.packed:
            return None
        return configuration_patch.merge(unpack(state.packed), patch)

    def _set_evacuation(self, request: HttpRequest, zone: str) -> HttpResponse:
        if zone not in self._zones:
            return _error(HTTPStatus.NOT_FOUND, f"zone {zone} is unknown")
        deadline = self._deadline()
        arrived_at = self._scheduler.now()
        self._await_end_of_connection(min(request.readiness.since, arrived_at) + SETTLE_S)
        sent_after = min(request.readiness.sent_after + SETTLE_S, self._scheduler.now())
        index = self._state.read_applied_index(sent_after, deadline)
        if isinstance(index, Err):
            response = _error(HTTPStatus.SERVICE_UNAVAILABLE, "no controller answered in time")
        elif request.has_disconnected():
            # The client disconnected: it has retried elsewhere or given up. A delayed request must not take
            # effect after a later one.
            response = _error(HTTPStatus.SERVICE_UNAVAILABLE, "the caller has gone")
        else:
            command = SetEvacuation(zone, request.method == "POST", index.ok_value)
            response = self._submit(command, deadline)
        fields = {
            "method": request.method,
            "zone": zone,
            **_readiness_fields(request.readiness, arrived_at),
            "order_index": index.ok(),
            **self._state.evacuation_fields(zone),
            "seconds": round(self._scheduler.now() - arrived_at, 3),
            "status": int(response.status),
            "response": response.body.decode(),
        }
        log.info("evacuation requested", extra={"fields": fields})
        return response

    def _await_end_of_connection(self, until: float) -> None:
        """Wait for the end of a connection whose opening a link may have held up too."""
        now = self._scheduler.now()
        if now < until:
            self._scheduler.sleep(until - now)

    def _submit(self, command: Command, deadline: float) -> HttpResponse:
        submitted = self._state.submit(command, deadline)
        if isinstance(submitted, Err):
            reason = "no majority took it in time; it may be in force or not"
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        rejection = _REJECTIONS.get(submitted.ok_value)
        if rejection is not None:
            return _error(*rejection)
        if isinstance(command, PutConfiguration):
            return HttpResponse(HTTPStatus.OK, orjson.dumps({"revision": command.revision}))
        return HttpResponse(HTTPStatus.OK, orjson.dumps({"zone": command.zone}))
