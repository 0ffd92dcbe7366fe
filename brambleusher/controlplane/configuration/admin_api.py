"""The operator's calls: configurations and evacuations in, the newest configuration out."""

from __future__ import annotations

import logging

import orjson
from result import Err

from brambleusher.controlplane.configuration.replicated_state import ReplicatedState
from brambleusher.controlplane.configuration.state_machine import (
    Command,
    PutConfiguration,
    SetEvacuation,
    SharedState,
    Verdict,
)
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, json_response
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire import configuration, configuration_patch
from brambleusher.wire.configuration_patch import Patch
from brambleusher.wire.errors import InvalidConfigurationError
from brambleusher.wire.packing import unpack

log = logging.getLogger(__name__)

ANSWER_S = 0.85  # callers go on to another controller after a second of silence
CONFIGURATION_BYTES = 8 * 1024 * 1024  # of the body of one call
CONFIGURATION_PATH = "/api/config"
EVACUATIONS_PATH = "/api/evacuations/"
STATUS_PATH = "/api/status"
REVISION_MAX = 2**53


def _error(status: int, reason: str) -> HttpResponse:
    return json_response(status, {"error": reason})


def _base(request: HttpRequest) -> int:
    """The revision that a change builds on; raises `InvalidConfigurationError`."""
    base = request.headers.get(b"if-match", b"").strip().strip(b'"')
    if not base.isdigit() or int(base) > REVISION_MAX:
        raise InvalidConfigurationError("If-Match", "it is no revision")
    return int(base)


def _bounded(revision: int) -> int:
    if revision > REVISION_MAX:
        raise InvalidConfigurationError("revision", "it is too large")
    return revision


class AdminApi:
    """Answers calls on a controller's `control` address."""

    def __init__(self, scheduler: Scheduler, replica: ReplicatedState, zones: frozenset[str]) -> None:
        self._scheduler, self._replica, self._zones = scheduler, replica, zones

    def handle(self, request: HttpRequest) -> HttpResponse:
        """One call."""
        if request.path == CONFIGURATION_PATH and request.method == "PUT":
            return self._put(request)
        if request.path == CONFIGURATION_PATH and request.method == "PATCH":
            return self._patch(request)
        if request.path == CONFIGURATION_PATH and request.method == "GET":
            return self._get()
        if request.path.startswith(EVACUATIONS_PATH) and request.method in ("POST", "DELETE"):
            zone = request.path.removeprefix(EVACUATIONS_PATH)
            return self._evacuate(request, zone)
        if request.path == STATUS_PATH and request.method == "GET":
            return json_response(200, self._replica.status())
        return _error(404, f"{request.method} {request.path} is no call of this controller")

    def _deadline(self) -> float:
        return self._scheduler.now() + ANSWER_S

    def _get(self) -> HttpResponse:
        read = self._replica.read(self._deadline())
        if isinstance(read, Err):
            return _error(503, "no majority answered in time")
        state = read.ok_value
        if not state.packed:
            return _error(404, "there is no configuration yet")
        return HttpResponse(200, unpack(state.packed))

    def _put(self, request: HttpRequest) -> HttpResponse:
        try:
            base = _base(request)
            revision = _bounded(configuration.read(request.body).revision)
        except InvalidConfigurationError as error:
            return _error(400, str(error))
        return self._submit(PutConfiguration.of(base, revision, request.body), self._deadline())

    def _patch(self, request: HttpRequest) -> HttpResponse:
        """What a patch makes of its base goes into the log, whole: nobody has to merge it again."""
        deadline = self._deadline()
        try:
            base = _base(request)
            patch = configuration_patch.read(request.body)
            _bounded(patch.revision)
            held = self._replica.read(deadline)
            if isinstance(held, Err):
                return _error(503, "no majority answered in time")
            merged = self._merged(held.ok_value, base, patch)
        except InvalidConfigurationError as error:
            return _error(400, str(error))
        command = PutConfiguration.of_patch(base, patch.revision, request.body, merged)
        return self._submit(command, deadline)

    @staticmethod
    def _merged(state: SharedState, base: int, patch: Patch) -> bytes | None:
        """The configuration after a patch; None where its base is not the current one."""
        if state.revision != base or not state.packed:
            return None
        return configuration_patch.merge(unpack(state.packed), patch)

    def _evacuate(self, request: HttpRequest, zone: str) -> HttpResponse:
        evacuated = request.method == "POST"
        if zone not in self._zones:
            return _error(404, f"zone {zone} is unknown")
        deadline = self._deadline()
        seen = self._replica.read_applied_index(deadline)
        if isinstance(seen, Err):
            return _error(503, "no controller answered in time")
        if request.hung_up():
            # It was held back on its way, and its caller has sent it again elsewhere or given it up.
            return _error(503, "the caller has gone")
        return self._submit(SetEvacuation(zone, evacuated, seen.ok_value), deadline)

    def _submit(self, command: Command, deadline: float) -> HttpResponse:
        submitted = self._replica.submit(command, deadline)
        if isinstance(submitted, Err):
            return _error(503, "no majority took it in time; it may be in force or not")
        verdict = submitted.ok_value
        if verdict is Verdict.OUTDATED:
            return _error(503, "the zone was changed since this controller knew of it; send it again")
        if verdict is Verdict.STALE:
            return _error(412, "If-Match: another version is current")
        if verdict is Verdict.NOT_HIGHER:
            return _error(400, "revision: it is not above the current one")
        answer = (
            {"revision": command.revision}
            if isinstance(command, PutConfiguration)
            else {"zone": command.zone}
        )
        return HttpResponse(200, orjson.dumps(answer))
