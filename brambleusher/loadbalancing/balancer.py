"""The balancer: takes events with their times and returns actions.

Its types are in `brambleusher/loadbalancing/api.py`. Its basic algorithm is the WebSphere variant of "z/OS
Workload Manager Sysplex Routing Services": reported spare capacity is turned into weights that add up to 64,
a performance index (PI) and the served fraction (health) reduce them, and requests use them up as tokens in
round-robin order until no token is left. Each mechanism has its own module, which owns its state; this module
passes events to the mechanisms, in an order that affects decisions. `docs/design.md` describes what was kept
of the source, what was changed, and when each change takes effect.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any

from brambleusher.loadbalancing import api, capacity_estimates
from brambleusher.loadbalancing.admission_control import AdmissionControl
from brambleusher.loadbalancing.api import AttemptStatus, ListKind
from brambleusher.loadbalancing.attempt_timeout import AttemptTimeouts
from brambleusher.loadbalancing.attempt_tracker import AttemptTracker, record_possible_execution
from brambleusher.loadbalancing.cross_zone_spill import CrossZoneSpill
from brambleusher.loadbalancing.endpoint_subscription import EndpointSubscription
from brambleusher.loadbalancing.fleet_capacity import FleetCapacity
from brambleusher.loadbalancing.host_selection import Eligibility, HostSelector
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import RESERVE, Attempt, Host, Request, decay_hosts
from brambleusher.loadbalancing.idle_timeout import IdleTimeout
from brambleusher.loadbalancing.outlier_detection import OutlierDetector, record_answered
from brambleusher.loadbalancing.performance_index import PerformanceIndex
from brambleusher.loadbalancing.retry_policy import NOT_EXECUTED_STATUSES, RetryPolicy
from brambleusher.loadbalancing.slow_start_budget import SlowStartBudget
from brambleusher.loadbalancing.token_round_robin import TokenRoundRobin
from brambleusher.loadbalancing.traffic import TrafficStatistics
from brambleusher.loadbalancing.weights import WeightCalculator
from brambleusher.loadbalancing.windows import HEALTH_WINDOW, Decay

# Times in units of the shortest latency target.
MIN_TICK = 1 / 8  # weights are recomputed often enough to act on news well within one target
# A proxy without traffic still ticks twice per target, since attempts in flight age and faults end.
MAX_TICK = 1 / 2
MIN_IDLE_TARGETS = 1 / 4  # idle times below this are never blamed for a lost connection


class Balancer:
    """Makes the decisions of one client proxy.

    Subclasses extend it by its handlers (`_on_...`) and by the methods under "extension points".
    """

    accepts_zone_rules = False  # whether `ZoneRulesChanged` may be handled

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self._class_index = {each.name: index for index, each in enumerate(settings.classes)}
        self._shortest_target_ns = min(each.latency_target_ns for each in settings.classes)
        self._tick_ns = max(settings.tick_ns, int(self._shortest_target_ns * MIN_TICK))
        self._actions: list[api.Action] = []
        self.ticked_ns = 0
        self._make_estimators()
        self._make_policies()
        self._handlers: dict[type, Callable[[Any, int], None]] = {
            api.AttemptEnded: self._on_attempt_ended,
            api.RequestArrived: self._on_request_arrived,
            api.TimerFired: self._on_timer,
            api.ClientDisconnected: self._on_answer_not_needed,
            api.StreamStarted: self._on_answer_not_needed,
            api.HostListUpdated: self._on_host_list,
            api.HealthCheckEnded: self._on_health_check_ended,
            api.ProcessShareChanged: self._on_process_share,
            api.RequestBodyProgressed: self._on_body_progress,
        }

    def _make_estimators(self) -> None:
        """Create the estimators of host and traffic state."""
        settings = self.settings
        shortest_target_ns = self._shortest_target_ns
        self.traffic = TrafficStatistics(settings, shortest_target_ns)
        self.round_robin = TokenRoundRobin(self.rng)
        self.host_table = self._make_host_table()
        self.capacity = FleetCapacity(settings, shortest_target_ns)
        self.slow_start = SlowStartBudget(settings, shortest_target_ns, self.capacity, self.host_table)
        self.performance_index = PerformanceIndex(settings.classes)
        self.weights = WeightCalculator(self.capacity, self.slow_start, self.performance_index)
        self.cross_zone_spill = CrossZoneSpill(settings, shortest_target_ns, self.capacity)
        idle_limit_ns = float(settings.connection_idle_timeout_ns or math.inf)
        self.idle_timeout = IdleTimeout(idle_limit_ns, shortest_target_ns * MIN_IDLE_TARGETS)

    def _make_policies(self) -> None:
        """Create the policies that decide on requests and attempts."""
        settings = self.settings
        shortest_target_ns = self._shortest_target_ns
        self.admission = AdmissionControl(
            settings, shortest_target_ns, self.rng, self.traffic, self.capacity, self.host_table
        )
        goals_ns = self.performance_index.goals_ns
        self.outliers = OutlierDetector(shortest_target_ns, goals_ns, self.traffic, self.admission)
        self.retry_policy = RetryPolicy(settings, shortest_target_ns, self.traffic, self.admission)
        self.attempts = AttemptTracker(len(settings.classes), self.traffic)
        self.timeouts = AttemptTimeouts(
            settings, self.traffic, self.outliers, self.admission, self.idle_timeout
        )
        self.selector = HostSelector(
            settings, self.host_table, self.round_robin, self.slow_start, self.outliers, self.traffic
        )
        self.subscription = EndpointSubscription(settings, self.rng)

    def start(self, now: int) -> list[api.Action]:
        """Return the first actions, before any event."""
        self.ticked_ns = now
        self._actions = [api.SetTimer(now + self._tick_ns, 0)]
        if self.settings.subscribes_to_endpoints:
            self.subscription.schedule_first(now)
        return self._actions

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Handle an event and return the resulting actions; `now` is in nanoseconds."""
        self._actions = []
        self._handlers[type(event)](event, now)
        return self._actions

    def zone_status(self, _now: int, /) -> dict[str, object] | None:
        """Return the state of zones for operators as plain values, or None without zone rules."""
        return None

    # --- extension points ------------------------------------------------------------------------

    def _make_host_table(self) -> HostTable:
        """Create the host table, which chooses the hosts in use."""
        return HostTable(self.settings, self.rng, self.round_robin, self.traffic)

    def _choose_hosts(self) -> None:
        """Choose the hosts in use."""
        self._close_idle_connections(self.host_table.choose_subset())

    def _recompute_weights(self, now: int, elapsed: float) -> None:
        """Turn spare capacity into weights; `docs/design.md` explains the steps."""
        hosts = self.round_robin.ring
        if not hosts:
            return
        spare_capacities = self.weights.spare_capacities(hosts, now)
        self._update_cross_zone_spill(elapsed)
        self.weights.assign(hosts, spare_capacities, self._spill_fractions(), now)
        self.round_robin.trim_tokens()

    def _update_cross_zone_spill(self, elapsed: float) -> None:
        """Update the fraction of spare capacity that remote hosts offer."""
        self.cross_zone_spill.update(self.round_robin.ring, elapsed)

    def _spill_fractions(self) -> Callable[[Host], float]:
        """Return a function that gives the fraction of its spare capacity that a host offers."""
        return self.cross_zone_spill.of_host

    def _update_admission_limit(self, elapsed: float) -> None:
        """Set the limit on attempts in flight."""
        log_line = self.admission.update_limit(elapsed, self.ticked_ns)
        if log_line is not None:
            self._actions.append(log_line)

    def _admits(self, density: float) -> bool:
        """Return whether to admit a request with this value per unit of work."""
        return self.admission.admits(density)

    def _eligibility(self, request: Request, now: int) -> Eligibility:
        """Return which hosts a request may go to."""
        return self.selector.eligibility(request, now)

    def _pick_host(self, request: Request, now: int) -> Host | None:
        """Return the host for the next attempt of a request."""
        return self.selector.pick(self._eligibility(request, now), now)

    def _start_attempt(self, request: Request, host: Host, now: int) -> None:
        """Start an attempt; open a new connection if the existing one has been idle for too long.

        This avoids connections that were dropped unnoticed.
        """
        if host.started_ns > 0:
            host.slow_start_credit -= 1
        idle_ns = now - host.last_used_ns if host.is_connected and not host.in_flight else 0
        if idle_ns > self.idle_timeout.timeout_ns:
            self._actions.append(api.CloseIdleConnections(host.name))
            idle_ns = 0
        timeout_ns = self.timeouts.timeout_ns(request, idle_ns, now)
        self.attempts.start(request, host, now, idle_ns)
        self._actions.append(api.StartAttempt(request.id, host.name, timeout_ns))

    def _retry(self, request: Request, status: AttemptStatus, now: int, is_idle_loss: bool) -> None:
        """Retry at another host if rules, deadline and budget allow it; otherwise answer the request."""
        policy = self.retry_policy
        costs_work = status not in NOT_EXECUTED_STATUSES and not is_idle_loss
        if policy.can_afford_retry(status, costs_work) and policy.may_attempt_again(request, now):
            host = self._pick_host(request, now)
            if host is not None and (host.is_connected or not policy.is_too_late_to_connect(request, now)):
                policy.charge_retry(costs_work)
                self._start_attempt(request, host, now)
                return
        self._give_up(request)

    # --- requests --------------------------------------------------------------------------------

    def _on_request_arrived(self, event: api.RequestArrived, now: int) -> None:
        class_index = self._class_index[event.request_class]
        self.traffic.record_arrival(now)
        self.capacity.requests_asked += 1
        budget = self.retry_policy.budget
        waited_ns, looks_like_retry = budget.detect_client_retry(class_index, event.left_ns)
        density = self.admission.value_density(event, class_index, waited_ns, now)
        self.admission.densities.append(density)
        # A request without time left has timed out already.
        is_admitted = self._admits(density) and event.left_ns > 0
        if not (event.is_retry or looks_like_retry):
            budget.deposit()
        elif not budget.withdraw_for_client_retry():
            # A request that merely looks like a retry has to fit into the budget only under overload.
            is_admitted = is_admitted and not (event.is_retry or self.admission.is_overloaded)
        request = Request(event.request, class_index, now, event.left_ns)
        host = self._pick_host(request, now) if is_admitted else None
        if host is None:
            budget.credit_unserved()
            retry_after_ns = self.retry_policy.retry_after_ns(not is_admitted)
            self._actions.append(api.RejectRequest(event.request, retry_after_ns))
            return
        self.attempts.requests[request.id] = request
        self._start_attempt(request, host, now)

    def _on_answer_not_needed(self, event: api.ClientDisconnected | api.StreamStarted, _now: int) -> None:
        """Close a request whose client has disconnected or receives a stream."""
        self.attempts.close(event.request)

    def _on_body_progress(self, event: api.RequestBodyProgressed, now: int) -> None:
        self.attempts.apply_body_progress(event, now)

    def _give_up(self, request: Request) -> None:
        """Answer a request with a rejection if a retry is harmless, else with a failure."""
        request.is_answered = True
        if not (request.may_have_run or request.unfinished):
            self.retry_policy.budget.credit_unserved()
        self._cancel_attempts(request)
        if self.retry_policy.is_rejection_harmless(request):
            retry_after_ns = self.retry_policy.retry_after_ns(self.admission.is_overloaded)
            self._actions.append(api.RejectRequest(request.id, retry_after_ns))
        else:
            self._actions.append(api.FailRequest(request.id))

    def _cancel_attempts(self, request: Request) -> None:
        """Cancel the unfinished attempts of a request that has ended, since their answers are not needed."""
        if request.unfinished and self.settings.can_cancel_attempts:
            self._actions.extend(
                api.CancelAttempt(request.id, number) for number in self.attempts.unfinished_attempts(request)
            )

    # --- ends of attempts ------------------------------------------------------------------------

    def _on_attempt_ended(self, event: api.AttemptEnded, now: int) -> None:
        found = self.attempts.find(event.request, event.attempt)
        if found is None:
            return
        request, attempt = found
        host = attempt.host
        was_in_flight = self.attempts.end(request, host, event, now)
        if was_in_flight is None:
            return
        self.outliers.timeouts += event.status is AttemptStatus.TIMEOUT
        if host.is_draining and self.host_table.begin_closing(host, now):
            self._actions.append(api.CloseIdleConnections(host.name))
        is_idle_loss = self._record_outcome(event, request, attempt, was_in_flight, now)
        if event.request_ended:
            request.is_answered = True
            self._cancel_attempts(request)
        record_possible_execution(request, attempt, event.status)
        if not request.is_answered and not request.has_live_attempt:
            self._retry(request, event.status, now, is_idle_loss)
        self.attempts.forget_if_done(request)

    def _record_outcome(
        self, event: api.AttemptEnded, request: Request, attempt: Attempt, was_in_flight: bool, now: int
    ) -> bool:
        """Update the estimators from an attempt's end; return whether an idle connection caused a failure."""
        host, sent_ns, idle_ns = attempt
        status = event.status
        if event.report is not None:
            self.capacity.record_report(host, event.report, now)
        elif status is AttemptStatus.OK and host.reported_ns >= 0:
            # The host reported before and now answers without a report: some hosts stop reporting when they
            # are busy.
            host.utilisation = max(host.utilisation, 1 - RESERVE)
            host.reported_ns = now
        is_idle_loss = idle_ns > self.idle_timeout.min_ns and self.idle_timeout.record_attempt(
            status, idle_ns
        )
        if status is AttemptStatus.OK:
            record_answered(host, sent_ns)
        # A timeout of an attempt that was written off adds no information.
        if not is_idle_loss and (was_in_flight or status is not AttemptStatus.TIMEOUT):
            self.outliers.record_outcome(host, request.class_index, status, event.latency_ns, now)
        return is_idle_loss

    def _write_off_overtaken_attempts(self, now: int) -> None:
        """Write off attempts that later ones have overtaken, and hedge their requests at other hosts.

        As long as lost attempts count as in flight, a few of them occupy every slot and make idle hosts look
        late. While hosts are busy nothing is written off, since heavy requests are then overtaken as well.
        """
        if self.capacity.mean_utilisation < 1 - RESERVE:
            for host in self.round_robin.ring:
                if host.in_flight:
                    self._write_off_overtaken_attempts_of(host, now)
        waiting = [request for host in self.round_robin.ring for request, _ in host.written_off.values()]
        for request in waiting:
            if self.retry_policy.can_afford_hedge():
                self._hedge(request, now)

    def _write_off_overtaken_attempts_of(self, host: Host, now: int) -> None:
        for key in self.outliers.overtaken_attempts(host, now):
            self.attempts.write_off(host, key)
            host.failed += 1
            self.outliers.timeouts += 1

    def _hedge(self, request: Request, now: int) -> None:
        """Start another attempt for a request whose attempts are all written off."""
        if request.is_answered or request.has_live_attempt:
            return
        if not self.retry_policy.may_attempt_again(request, now):
            return
        host = self._pick_host(request, now)
        if host is not None:
            self.retry_policy.budget.withdraw()
            self._start_attempt(request, host, now)

    # --- hosts -----------------------------------------------------------------------------------

    def _on_host_list(self, event: api.HostListUpdated, now: int) -> None:
        if event.kind is ListKind.FAILED:
            self.subscription.record_failure(now)
            return
        if event.kind is not ListKind.SAVED:
            self.subscription.record_success()
        self._close_idle_connections(self.host_table.apply_list(event, now))
        self._choose_hosts()
        self._recompute_weights(now, 0.0)

    def _on_health_check_ended(self, event: api.HealthCheckEnded, now: int) -> None:
        host = self.host_table.hosts.get(event.host)
        if host is not None and event.report is not None:
            self.capacity.record_report(host, event.report, now)

    def _on_process_share(self, event: api.ProcessShareChanged, _now: int) -> None:
        self.slow_start.set_process_fraction(event.share)

    def _close_idle_connections(self, host_names: Iterable[str]) -> None:
        self._actions.extend(api.CloseIdleConnections(name) for name in host_names)

    # --- the tick --------------------------------------------------------------------------------

    def _on_timer(self, _event: api.TimerFired, now: int) -> None:
        """Do all work whose cost grows with the number of hosts, so that requests don't pay for it."""
        elapsed = max(0, now - self.ticked_ns) / self._shortest_target_ns
        self.ticked_ns = now
        self._decay(elapsed)
        if self.host_table.has_outgrown_subset():
            self._choose_hosts()
        self._write_off_overtaken_attempts(now)
        throughput = capacity_estimates.size_in_use(self.round_robin.ring, self.host_table.ready_count)
        self.capacity.update_rate_per_size(throughput, elapsed)
        self._recompute_weights(now, elapsed)
        self._update_admission_limit(elapsed)
        self.admission.update_fleet_fraction(throughput)
        if not self.admission.is_overloaded and self.capacity.mean_utilisation < 1 - RESERVE:
            self.traffic.update_unloaded_latencies()
        if self.subscription.take_due(now):
            self._actions.append(api.SubscribeToEndpoints())
        if self.host_table.closing:
            self._close_idle_connections(self.host_table.continue_closing(now))
        self._set_timer(now)

    def _decay(self, elapsed: float) -> None:
        """Decay all estimators; `elapsed` is the time since the last tick, in latency targets."""
        decay = Decay.after(elapsed)
        decay_hosts(self.round_robin.ring, decay)
        self.outliers.decay(decay)
        self.retry_policy.budget.decay(decay.health)
        self.idle_timeout.recover(elapsed, decay.capacity)
        self.admission.decay(decay)
        self.capacity.decay(decay)
        self.traffic.decay(decay)

    def _set_timer(self, now: int) -> None:
        """Schedule the next tick: about one per request, within the bounds on the tick interval."""
        pause_ns = self._shortest_target_ns * min(HEALTH_WINDOW / max(self.traffic.requests, 1.0), MAX_TICK)
        self._actions.append(api.SetTimer(now + max(self._tick_ns, int(pause_ns)), 0))
