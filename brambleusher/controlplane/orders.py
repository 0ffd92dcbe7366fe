"""The operator's calls: configurations and evacuations in, the newest configuration out."""

from __future__ import annotations

import logging

import orjson
from result import Err

from brambleusher.controlplane.replica import Replica
from brambleusher.controlplane.state_machine import Command, PutConfiguration, SetEvacuation, Verdict
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, json_response
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.wire import configuration
from brambleusher.wire.errors import InvalidConfiguration
from brambleusher.wire.packing import unpack

log = logging.getLogger(__name__)

ANSWER_S = 0.85  # callers go on to another controller after a second of silence
CONFIGURATION_PATH = "/api/config"
EVACUATIONS_PATH = "/api/evacuations/"
STATUS_PATH = "/api/status"
REVISION_MAX = 2**53


def _error(status: int, reason: str) -> HttpResponse:
    return json_response(status, {"error": reason})


class Orders:
    """Answers calls on a controller's `control` address."""

    def __init__(self, scheduler: Scheduler, replica: Replica, zones: frozenset[str]) -> None:
        self._scheduler, self._replica, self._zones = scheduler, replica, zones

    def handle(self, request: HttpRequest) -> HttpResponse:
        """One call."""
        if request.path == CONFIGURATION_PATH and request.method == "PUT":
            return self._put(request)
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
        base = request.headers.get(b"if-match", b"").strip().strip(b'"')
        if not base.isdigit() or int(base) > REVISION_MAX:
            return _error(400, "If-Match: it is no revision")
        try:
            checked = configuration.read(request.body)
        except InvalidConfiguration as error:
            return _error(400, str(error))
        if checked.revision > REVISION_MAX:
            return _error(400, "revision: it is too large")
        return self._submit(PutConfiguration.of(int(base), checked.revision, request.body))

    def _evacuate(self, request: HttpRequest, zone: str) -> HttpResponse:
        evacuated = request.method == "POST"
        if zone not in self._zones:
            return _error(404, f"zone {zone} is unknown")
        if request.hung_up():
            # It was held back on its way, and its caller has sent it again elsewhere or given it up.
            return _error(503, "the caller has gone")
        return self._submit(SetEvacuation(zone, evacuated, self._replica.applied))

    def _submit(self, command: Command) -> HttpResponse:
        submitted = self._replica.submit(command, self._deadline())
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
