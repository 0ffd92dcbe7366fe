"""Operators of a randomized day that race and repeat, and the checks of what they sent and received."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tests.controlplane.consensus.cluster import SafetyViolationError
from tests.system.virtual_deployment import Reply, VirtualDeployment, configuration, route

ATTEMPT_TIMEOUT_S = 1.0  # an operator without a response within this time retries at another controller
REQUEST_TIMEOUT_S = 12.0
APPLY_TIMEOUT_S = 2.5
CHANGE_METHODS = ("PUT", "PATCH")
FINAL_STATUSES = (400, 409, 412, 413, 422)


@dataclass
class OperatorRequest:
    """A request of an operator, retried until its result is known."""

    method: str
    target: str
    base: int = 0
    revision: int = 0
    body: bytes = b""
    content: str = ""  # the resulting configuration as JSON with sorted keys
    started_at: float = 0.0
    reply: Reply | None = None
    send_at: float = 0.0
    attempts: int = 0
    status: int = 0  # the status of the definite response; 0 if there is none yet, -1 if the operator gave up
    answer: bytes = b""
    on_done: Callable[[OperatorRequest], None] | None = None


def content_of(body: bytes) -> str:
    """Return a configuration as JSON with sorted keys, for comparison."""
    return json.dumps(json.loads(body), sort_keys=True)


def patched(content: str, revision: int, route: dict[str, Any], removed: str) -> str:
    """Return the expected configuration after a patch that adds one route and removes another."""
    deployment = json.loads(content)
    deployment["revision"] = revision
    deployment["routes"] = [each for each in deployment["routes"] if each["name"] != removed] + [route]
    return json.dumps(deployment, sort_keys=True)


@dataclass
class History:
    """The requests and responses of operators, with consistency checks of the configurations' content."""

    sent: dict[str, int] = field(default_factory=dict)  # revision by content
    acknowledged: dict[int, str] = field(default_factory=dict)
    content_by_revision: dict[int, str] = field(default_factory=dict)  # acknowledged or read content
    rejected: set[str] = field(default_factory=set)
    newest: int = 0  # the newest revision that was acknowledged or read
    accepted: list[OperatorRequest] = field(default_factory=list)  # the acknowledged change requests

    def ended(self, request: OperatorRequest, newest_at_start: int) -> None:
        """Check a request whose result is known."""
        if request.method in CHANGE_METHODS and request.status == 200:
            if request.content in self.rejected:
                raise SafetyViolationError(
                    f"revision {request.revision} is acknowledged after it was rejected"
                )
            if self.acknowledged.setdefault(request.revision, request.content) != request.content:
                raise SafetyViolationError(f"two changes are acknowledged as revision {request.revision}")
            self.content_by_revision[request.revision] = request.content
            self.newest = max(self.newest, request.revision)
            self.accepted.append(request)
        elif request.method in CHANGE_METHODS and request.status in FINAL_STATUSES:
            if self.acknowledged.get(request.revision) == request.content:
                raise SafetyViolationError(
                    f"revision {request.revision} is rejected after it was acknowledged"
                )
            self.rejected.add(request.content)
        elif request.method == "GET" and request.status == 200:
            self._read(request, newest_at_start)

    def _read(self, request: OperatorRequest, newest_at_start: int) -> None:
        content = content_of(request.answer)
        revision = self.sent.get(content)
        if revision is None:
            raise SafetyViolationError("a configuration was read that no operator sent")
        if revision < newest_at_start:
            raise SafetyViolationError(f"stale read of revision {revision} after revision {newest_at_start}")
        if content in self.rejected:
            raise SafetyViolationError(f"revision {revision} is in force although it was rejected")
        if self.acknowledged.get(revision, content) != content:
            raise SafetyViolationError(f"revision {revision} differs from the acknowledged content")
        self.content_by_revision[revision] = content
        self.newest = max(self.newest, revision)


class Operators:
    """Concurrent operators that change the configuration, evacuate zones, read, and repeat requests."""

    def __init__(
        self, deployment: VirtualDeployment, rng: random.Random, addresses: Callable[[], list[str]]
    ) -> None:
        self.deployment, self.rng, self._addresses = deployment, rng, addresses
        self.history = History()
        self.in_progress: list[tuple[OperatorRequest, int]] = []
        # The method of the request in progress for each zone, or "" if there is none.
        self.zone_requests: dict[str, str] = {}
        self.evacuated: dict[str, bool] = {}  # whether the last definite response evacuated the zone, by zone
        self.done_at: dict[str, float] = {}
        self._count = 0

    def begin(
        self, request: OperatorRequest, on_done: Callable[[OperatorRequest], None] | None = None
    ) -> OperatorRequest:
        """Register a request, which `step` sends and retries until its result is known."""
        request.started_at = self.deployment.now
        request.on_done = on_done
        if request.content:
            self.history.sent[request.content] = request.revision
        self.in_progress.append((request, self.history.newest))
        return request

    def change(self, base: int, revision: int) -> OperatorRequest:
        """Return a request for a configuration with unique content."""
        self._count += 1
        body = configuration(revision, route(), route(f"/n{self._count}/"))
        return OperatorRequest("PUT", "/api/config", base, revision, body, content_of(body))

    def patch(self, base: int, revision: int) -> OperatorRequest:
        """Return a request for a patch that adds a route to its base, and sometimes removes another."""
        self._count += 1
        base_content = self.history.content_by_revision[base]
        names = [each["name"] for each in json.loads(base_content)["routes"]]
        removed = self.rng.choice(names[1:]) if len(names) > 1 and self.rng.random() < 0.5 else ""
        added = route(f"/p{self._count}/")
        body = {"revision": revision, "upsert": {"routes": [added]}}
        if removed:
            body["remove"] = {"routes": [removed]}
        content = patched(base_content, revision, added, removed)
        return OperatorRequest("PATCH", "/api/config", base, revision, json.dumps(body).encode(), content)

    def random_change(self, base: int, revision: int) -> OperatorRequest:
        """Return a request for a complete configuration or a patch."""
        make = (
            self.patch
            if self.rng.random() < 0.5 and base in self.history.content_by_revision
            else self.change
        )
        return make(base, revision)

    def step(self) -> None:
        """Handle responses and retry requests."""
        for pair in list(self.in_progress):
            request, newest = pair
            self._poll_reply(request)
            if request.status:
                self.in_progress.remove(pair)
                self.history.ended(request, newest)
                if request.on_done is not None:
                    request.on_done(request)

    def _poll_reply(self, request: OperatorRequest) -> None:
        reply = request.reply
        if reply is None:
            if self.deployment.now >= request.send_at:
                self._send(request)
            return
        if not reply.error:
            return
        request.reply = None
        lost = self.rng.random() < 0.15
        clear = reply.is_complete and (reply.status in FINAL_STATUSES or reply.status == 200)
        if clear and not lost:
            request.status, request.answer = reply.status, reply.body
        elif reply.is_complete and reply.status == 404 and request.method == "GET" and not lost:
            raise SafetyViolationError("the configuration is lost")
        elif self.deployment.now - request.started_at > REQUEST_TIMEOUT_S:
            request.status = -1
        else:
            request.send_at = self.deployment.now + min(0.05 * 2**request.attempts, 0.5) * self.rng.random()

    def _send(self, request: OperatorRequest) -> None:
        request.attempts += 1
        host = self.rng.choice(self._addresses())
        headers = {"If-Match": str(request.base)} if request.method in CHANGE_METHODS else {}
        request.reply = self.deployment.start_call(
            (host, 8166),
            request.method,
            request.target,
            headers=headers,
            body=request.body,
            timeout_s=ATTEMPT_TIMEOUT_S,
        )

    # --- random requests -------------------------------------------------------------------------

    def start_random_request(self) -> None:
        """Start a random request."""
        if len(self.in_progress) >= 6:
            return
        roll = self.rng.random()
        base = self.history.newest
        if roll < 0.35:
            self.begin(OperatorRequest("GET", "/api/config"))
        elif roll < 0.55:
            self.begin(self.random_change(base, base + self.rng.randrange(1, 4)))
        elif roll < 0.7:
            revision = base + self.rng.randrange(1, 4)
            for _ in range(2):
                self.begin(self.random_change(base, revision))
        elif roll < 0.8 and self.history.accepted:
            accepted = self.rng.choice(self.history.accepted)
            arguments = (
                accepted.method,
                accepted.target,
                accepted.base,
                accepted.revision,
                accepted.body,
                accepted.content,
            )
            self.begin(OperatorRequest(*arguments))
        elif roll < 1.0:
            self._toggle_evacuation(self.rng.choice(["n1", "n2"]))

    def _toggle_evacuation(self, zone: str) -> None:
        """Start or end the evacuation of a zone, unless a request for it is in progress or just ended."""
        if (
            self.zone_requests.get(zone)
            or self.deployment.now - self.done_at.get(zone, 0.0) < APPLY_TIMEOUT_S
        ):
            return
        self.check_zone(zone)
        method = "DELETE" if self.evacuated.get(zone) else "POST"
        self.zone_requests[zone] = method

        def ended(request: OperatorRequest) -> None:
            self.zone_requests[zone] = ""
            self.done_at[zone] = self.deployment.now
            if request.status == 200:
                self.evacuated[zone] = method == "POST"
            else:
                self.evacuated.pop(zone, None)  # whether the request took effect is unknown

        self.begin(OperatorRequest(method, f"/api/evacuations/{zone}"), ended)

    def check_zone(self, zone: str) -> None:
        """Check that the last acknowledged evacuation is in force at the leader."""
        leader = self.deployment.leader()
        if zone not in self.evacuated or self.zone_requests.get(zone) or leader is None:
            return
        replica = self.deployment.controllers[leader].replica
        if replica.consensus.has_quorum_contact(self.deployment.now) and replica.consensus.commit_index > 0:
            is_evacuated = zone in replica.state.evacuated_zones
            newest = replica.consensus.log.term_at(replica.consensus.commit_index) == replica.consensus.term
            if newest and is_evacuated is not self.evacuated[zone]:
                raise SafetyViolationError(
                    f"zone {zone}: acknowledged {self.evacuated[zone]}, in force {is_evacuated}"
                )
