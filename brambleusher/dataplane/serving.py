"""One request on a gateway: route, admit, place, choose, attempt, stream back."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from result import Ok, Result

from brambleusher.dataplane.budgets import RetryBudget
from brambleusher.dataplane.client_connection import ClientConnection, Request
from brambleusher.dataplane.counters import Counters
from brambleusher.dataplane.events import EventSplitter, EventTooLong
from brambleusher.dataplane.failures import AnswerBroken, AttemptFailure, Lost, NotReached
from brambleusher.dataplane.instances import Instance, Instances
from brambleusher.dataplane.placement import Placement, Wanted
from brambleusher.dataplane.prefixes import shared_prefix
from brambleusher.dataplane.routes import RouteTable, pick_service
from brambleusher.dataplane.upstream import Answer, Upstream
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.wire.configuration import Route
from brambleusher.wire.policy import Policy
from brambleusher.wire.settings import Bounds

SENDS_MAX = 4  # of one request, rejections and failed connections included
LEAST_SEND_S = 0.05  # with less time left an attempt is no offer
RETRY_AFTER_S = 0.25
RETRY_AFTER_PART = 0.25  # of the time left at most: clients honour up to a third of it
PRIORITY_MAX = 9
MISDIRECTED = 421  # of an instance that is not the one named: the one named is gone
EVENT_STREAM = b"text/event-stream"
REPLACED_HEADERS = frozenset({b"x-deadline-remaining", b"x-target-instance", b"priority", b"last-event-id"})


@dataclass(slots=True, eq=False)
class Work:
    """A request under way."""

    request: Request
    route: Route
    wanted: Wanted
    attempt_id: bytes
    deadline: float
    last_event: bytes
    tried: set[str] = field(default_factory=set)
    silent_regions: set[str] = field(default_factory=set)  # in which a connection of its own timed out
    sends: int = 0  # arrivals at instances
    runs: int = 0  # instances that may have run it
    refusal: str = ""  # why no further attempt was made

    @property
    def ran(self) -> bool:
        """Whether it may have run at all."""
        return self.runs > 0


class Serving:
    """Serves requests with what the gateway knows."""

    def __init__(
        self,
        scheduler: Scheduler,
        region: str,
        bounds: Bounds,
        instances: Instances,
        upstream: Upstream,
        counters: Counters,
        rng: random.Random,
        policy: Policy | None = None,
    ) -> None:
        self._scheduler, self._bounds, self._rng = scheduler, bounds, rng
        self._instances, self._upstream, self._counters = instances, upstream, counters
        self._policy = policy or Policy()
        self._placement = Placement(instances, region, self._policy)
        self._budgets: dict[str, RetryBudget] = {}

    def serve(self, client: ClientConnection, request: Request, routes: RouteTable) -> None:
        """Answer one request."""
        path = request.target.decode("latin-1")
        route = routes.find(request.header(b"host").decode("latin-1"), path)
        attempt_id = request.header(b"x-attempt-id")
        if route is None:
            self._counters.add("no_route")
            client.error(404, "there is no route", attempt_id)
            return
        work = self._work(request, route, attempt_id)
        budget = self._budget(work.wanted.service)
        budget.request()
        answer = self._attempts(work, budget)
        if isinstance(answer, Answer):
            self._pass_on(client, work, answer, budget)
        else:
            self.refuse(client, work)

    def _work(self, request: Request, route: Route, attempt_id: bytes) -> Work:
        key, tokens = "", 0
        if route.affine:
            key, tokens = shared_prefix(request.header(b"x-prompt-prefix").decode("latin-1"))
        left_ms = request.header(b"x-deadline-remaining")
        limit_s = route.deadline_ms / 1000
        if left_ms.isdigit():
            limit_s = min(limit_s, int(left_ms) / 1000)
        wanted = Wanted(route, pick_service(route, self._rng), key, tokens)
        return Work(
            request, route, wanted, attempt_id, request.read_at + limit_s, request.header(b"last-event-id")
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budgets[service] = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._instances.gateways,
                self._scheduler.now(),
            )
        budget.share_among(self._instances.gateways)
        return budget

    # --- attempts --------------------------------------------------------------------------------

    def _attempts(self, work: Work, budget: RetryBudget) -> Answer | None:
        """Try instances until one answers; None where none did and none may be tried any more."""
        reached = 0
        while reached < SENDS_MAX:
            now = self._scheduler.now()
            if work.deadline - now < LEAST_SEND_S or (work.ran and not self._may_run_again(work)):
                work.refusal = "time" if work.deadline - now < LEAST_SEND_S else "ran"
                return None
            instance = self._placement.choose(work.wanted, work.tried, now, work.silent_regions)
            if instance is None:
                work.refusal = work.refusal or "no_instance"
                return None
            work.tried.add(instance.id)
            if not self._upstream.has_room(instance):
                work.refusal = "connections"
                continue
            if work.sends and self._policy.retry_budget and not budget.take(now):
                work.refusal = "retry_budget"
                return None
            result = self._attempt(work, instance)
            if isinstance(result, Ok):
                work.sends, work.runs = work.sends + 1, work.runs + 1
                return result.ok_value
            failure = result.err_value
            reached += 1
            work.refusal = failure.counter
            self._note(work, instance, failure)
        return None

    @staticmethod
    def _may_run_again(work: Work) -> bool:
        return work.route.repeatable and work.runs < max(work.route.tries, 1)

    def _note(self, work: Work, instance: Instance, failure: AttemptFailure) -> None:
        self._counters.add(failure.counter)
        weights = self._instances.weights.get(instance.service)
        if isinstance(failure, NotReached):
            if weights is not None:
                weights.unreachable(instance.id)
            if failure.timed_out:
                work.silent_regions.add(instance.region)
            return
        work.sends += 1
        if isinstance(failure, Lost):
            work.runs += 1
        elif failure.status == MISDIRECTED:
            instance.is_another(self._scheduler.now())

    def _attempt(self, work: Work, instance: Instance) -> Result[Answer, AttemptFailure]:
        now = self._scheduler.now()
        weights = self._instances.weights[instance.service]
        aim_s = work.route.setpoint_ms / 1000
        number = weights.started(instance.id, work.route.priority, aim_s, now)
        try:
            result = self._upstream.attempt(
                instance,
                work.request.method,
                work.request.target,
                self._headers(work, instance, now),
                work.request.body,
                work.attempt_id,
                work.deadline,
                not work.route.repeatable,
            )
        except BaseException:
            weights.ended(instance.id, number, None)
            raise
        if isinstance(result, Ok):
            answer = result.ok_value
            answer.on_end = lambda well: weights.ended(instance.id, number, well)
            answer.on_first = lambda: weights.answered(instance.id, number, self._scheduler.now())
        else:
            unreached = isinstance(result.err_value, NotReached)
            weights.ended(instance.id, number, None if unreached else False)
        return result

    def _headers(self, work: Work, instance: Instance, now: float) -> list[tuple[bytes, bytes]]:
        headers = [pair for pair in work.request.end_to_end() if pair[0] not in REPLACED_HEADERS]
        left_ms = max(1, int((work.deadline - now) * 1000))
        priority = min(max(work.route.priority, 0), PRIORITY_MAX)
        headers += [
            (b"X-Deadline-Remaining", str(left_ms).encode()),
            (b"X-Target-Instance", instance.id.encode()),
            (b"Priority", str(priority).encode()),
        ]
        if work.last_event:
            headers.append((b"Last-Event-Id", work.last_event))
        if work.request.body or work.request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", str(len(work.request.body)).encode()))
        return headers

    # --- answers ---------------------------------------------------------------------------------

    def refuse(self, client: ClientConnection, work: Work) -> None:
        """No answer came: say at once whether the request may have run."""
        left = work.deadline - self._scheduler.now()
        if work.ran:
            self._counters.add("failed")
            status = 504 if left < LEAST_SEND_S else 502
            client.error(status, "no whole answer came", work.attempt_id)
            return
        self._counters.add(f"refused_{work.refusal}")
        wait = max(0.0, min(RETRY_AFTER_S, left * RETRY_AFTER_PART))
        client.error(503, "no instance can take it now", work.attempt_id, wait)

    def _pass_on(self, client: ClientConnection, work: Work, answer: Answer, budget: RetryBudget) -> None:
        kind = next((value for name, value in answer.headers if name == b"content-type"), b"")
        if work.route.kind == "streaming" and answer.status == 200 and kind.startswith(EVENT_STREAM):
            StreamBack(self, client, work, budget).run(answer)
            return
        self._pass_whole(client, work, answer, budget)

    def _pass_whole(self, client: ClientConnection, work: Work, answer: Answer, budget: RetryBudget) -> None:
        """Read an answer whole, so that one that breaks off can be told as a failure."""
        while True:
            parts: list[bytes] = []
            try:
                while data := answer.read(work.deadline):
                    parts.append(data)
            except (AnswerBroken, TaskTimeoutError):
                self._counters.add("broken")
                again = self._attempts(work, budget)
                if again is None:
                    self.refuse(client, work)
                    return
                answer = again
                continue
            self._counters.add("served" if answer.status < 400 else "passed_failure")
            client.answer(answer.status, answer.headers, b"".join(parts))
            return

    def resume(self, work: Work, budget: RetryBudget, last_id: int | None) -> Answer | None:
        """Go on with a stream at another instance; None where that may not be."""
        if last_id is not None:
            work.last_event = str(last_id).encode()
        answer = self._attempts(work, budget) if self._policy.resume else None
        if answer is None:
            return None
        if answer.status != 200:
            answer.abandon()
            return None
        self._counters.add("resumed")
        return answer

    def served(self) -> None:
        """A stream is whole."""
        self._counters.add("served")


class StreamBack:
    """Passes a stream on, event by event, across instances where the route allows."""

    def __init__(self, serving: Serving, client: ClientConnection, work: Work, budget: RetryBudget) -> None:
        self._serving, self._client, self._work, self._budget = serving, client, work, budget
        first = work.last_event
        self._splitter = EventSplitter(int(first) if first.isdigit() else None)
        self._head: list[tuple[bytes, bytes]] = []

    def run(self, answer: Answer) -> None:
        """Pass it on until it is whole; a stream that can't be made whole ends without its end."""
        self._head = answer.headers
        while not self._pass(answer):
            last = self._splitter.last_id
            following = self._serving.resume(self._work, self._budget, last)
            if following is None:
                self._give_up()
                return
            answer = following
            if not self._client.begun:
                self._head = answer.headers
            self._splitter = EventSplitter(last)
        self._serving.served()

    def _pass(self, answer: Answer) -> bool:
        """Pass one instance's events on; whether its stream came to its end."""
        try:
            while data := answer.read(self._work.deadline):
                events = self._splitter.feed(data)
                if events:
                    self._begin()
                    self._client.data(events)
        except (AnswerBroken, TaskTimeoutError, EventTooLong):
            answer.abandon()
            return False
        except BaseException:  # the client is gone
            answer.abandon(None)
            raise
        if self._splitter.partial:
            return False
        self._begin()
        self._client.end()
        return True

    def _begin(self) -> None:
        if not self._client.begun:
            self._client.begin(200, self._head)

    def _give_up(self) -> None:
        if self._client.begun:
            self._client.stream.close()
        else:
            self._serving.refuse(self._client, self._work)
