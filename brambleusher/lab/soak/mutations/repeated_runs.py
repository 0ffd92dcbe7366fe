"""Mutations after which a request that may run once runs again, or runs though it was rejected."""

from __future__ import annotations

from brambleusher.dataplane.request_context import RequestContext
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation
from brambleusher.loadbalancing.hosts import Request
from brambleusher.loadbalancing.retry_policy import RetryPolicy


@mutation("run-again", "gateway", "a request that may run once is sent to another instance", "run-twice")
def _run_again(patches: Patches) -> None:
    patches.set(RequestContext, "may_run_again", property(lambda self: self.possible_runs < 3))


@mutation(
    "ran-and-rejected", "gateway", "503 for a request that may have run", "refused-after-run", "run-twice"
)
def _ran_and_rejected(patches: Patches) -> None:
    patches.set(RequestContext, "may_have_run", property(lambda self: False))


@mutation("sidecar-run-again", "sidecar", "a request that may run once is tried again", "run-twice")
def _sidecar_run_again(patches: Patches) -> None:
    def may_attempt_again(self: RetryPolicy, request: Request, now: int) -> bool:
        return len(request.attempts) < self._settings.max_attempts and request.deadline_ns > now

    patches.set(RetryPolicy, "may_attempt_again", may_attempt_again)
