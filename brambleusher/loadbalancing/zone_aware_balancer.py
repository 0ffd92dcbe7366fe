"""Zone-aware balancer: `Balancer` extended by the zone decisions of `zone_routing`.

All decisions about hosts, requests and retries are made by `Balancer`. Hosts of an excluded zone are treated
as if discovery had not listed them, and the limit of a zone is a further condition for the eligibility of its
hosts.
"""

from __future__ import annotations

from collections.abc import Callable

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.admission_control import BUSY_UTILISATION
from brambleusher.loadbalancing.api import AttemptStatus, Idempotency
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.cross_zone_spill import MIN_SPILL, min_spill
from brambleusher.loadbalancing.host_selection import Eligibility
from brambleusher.loadbalancing.hosts import RESERVE, Host, Request
from brambleusher.loadbalancing.performance_index import GOAL_PER_TARGET
from brambleusher.loadbalancing.slow_start_budget import BUDGET_FRACTION
from brambleusher.loadbalancing.windows import NS_PER_S
from brambleusher.loadbalancing.zone_loads import ZoneLoads
from brambleusher.loadbalancing.zone_routing import ZoneRouter

# A timer that fires this many latency targets late shows that this proxy itself was paused.
PAUSE_TARGETS = 0.25
# Minimum remaining time of a probing request, in probe timeouts, so that it can be retried in time.
PROBE_DEADLINE_FACTOR = 2
MIN_PROXIES_IN_ZONE = 0.25  # lower bound of the number of proxies that share a warming host's capacity


class ZoneAwareBalancer(Balancer):
    """Makes the decisions of one client proxy with zone rules."""

    accepts_zone_rules = True

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.zone_router = ZoneRouter(
            settings.zone_rules, settings.zone, self._shortest_target_ns, settings.fleet_size
        )
        self._zone_loads = ZoneLoads(
            self._shortest_target_ns,
            self.zone_router,
            self.host_table,
            self.capacity,
            self.slow_start,
            self.traffic,
        )
        self.probing: list[str] = []  # ids of requests whose last attempt is a probe
        self.timer_due_ns = 0
        self.uses_grants_ahead = False  # whether zone grants may be used a burst in advance
        self._handlers[api.ZoneRulesChanged] = self._on_zone_rules

    @property
    def _has_rules(self) -> bool:
        return self.zone_router.rules is not None

    def zone_status(self, now: int, /) -> dict[str, object]:
        """Return the state of zones for operators as plain values."""
        router = self.zone_router
        return {
            "panic": router.is_panic,
            "beyond": round(router.unplaced_fraction, 3),
            "zones": router.status(now),
        }

    def _on_zone_rules(self, event: api.ZoneRulesChanged, now: int) -> None:
        self.zone_router.set_rules(event.rules, now)
        self._choose_hosts()
        self._recompute_weights(now, 0.0)

    # --- hosts -----------------------------------------------------------------------------------

    def _on_host_list(self, event: api.HostListUpdated, now: int) -> None:
        super()._on_host_list(event, now)
        ready: dict[str, list[str]] = {}
        draining: dict[str, list[str]] = {}
        for host in self.host_table.hosts.values():
            by_zone = draining if host.is_draining else ready
            by_zone.setdefault(host.zone, []).append(host.name)
        self.zone_router.record_list(ready, draining, now)
        if self._has_rules:
            self._choose_hosts()
            self._recompute_weights(now, 0.0)

    def _choose_hosts(self) -> None:
        """Choose hosts outside excluded zones, those of nearer tiers first."""
        if self._has_rules:
            router = self.zone_router
            hosts = self.host_table.hosts.values()
            for host in hosts:
                host.is_ready = not host.is_draining and not router.is_excluded(host.zone)
                zone = router.zones.get(host.zone)
                host.rank = host.rank % 1.0 + (zone.tier if zone is not None else 0)
            self.host_table.ranking.rebuild(hosts)
        super()._choose_hosts()

    # --- the tick --------------------------------------------------------------------------------

    def _on_timer(self, _event: api.TimerFired, now: int) -> None:
        is_late = self.timer_due_ns and now - self.timer_due_ns > PAUSE_TARGETS * self._shortest_target_ns
        if self._has_rules and is_late:
            self.zone_router.record_stall(now)
        super()._on_timer(_event, now)
        self.timer_due_ns = max(
            (action.at_ns for action in self._actions if isinstance(action, api.SetTimer)), default=0
        )

    def _recompute_weights(self, now: int, elapsed: float) -> None:
        if self._has_rules:
            self._update_zones(now, elapsed)
        super()._recompute_weights(now, elapsed)

    def _update_zones(self, now: int, elapsed: float) -> None:
        """Update the state of all zones from reports and unanswered attempts; act on changes."""
        router = self.zone_router
        target, min_spill_fraction = self._target_utilisation()
        excluded_before = self._excluded_zones()
        loads = self._zone_loads.collect(now)
        has_changed = router.tick(
            now, elapsed, loads, self.traffic.requests_per_s, target, min_spill_fraction
        )
        self._actions.extend(api.WriteLog(text) for text in router.take_log_lines())
        if has_changed:
            excluded_after = self._excluded_zones()
            self._choose_hosts()
            for name in sorted(excluded_before - excluded_after):
                self._readmit_hosts(name, now)
            for name in sorted(excluded_after - excluded_before):
                self._abandon_attempts(name, now)

    def _excluded_zones(self) -> set[str]:
        router = self.zone_router
        return {name for name in router.zones if router.is_excluded(name)}

    def _target_utilisation(self) -> tuple[float, float]:
        """Return the utilisation of near hosts above which crossing pays, and the minimum offered fraction.

        The values are those of `CrossZoneSpill`, applied between tiers instead of between the own zone and
        the others.
        """
        price = self.settings.cross_zone_price
        target = self.cross_zone_spill.target_utilisation()
        if target is None:
            return 1 - RESERVE, 1.0 if price <= 0 else MIN_SPILL
        return target, min_spill(price)

    def _abandon_attempts(self, zone_name: str, now: int) -> None:
        """Write off all attempts in a lost zone, and hedge their requests elsewhere if that is safe."""
        requests: list[Request] = []
        for host in self.host_table.hosts.values():
            if host.zone == zone_name:
                requests.extend(self.attempts.write_off(host, key) for key in list(host.in_flight))
        for request in requests:
            self._hedge(request, now)

    def _readmit_hosts(self, zone_name: str, now: int) -> None:
        """Reset the failure evidence of a returning zone's hosts, which is outdated."""
        for host in self.host_table.hosts.values():
            if host.zone == zone_name:
                host.served = host.failed = host.rejected = 0.0
                host.latency_counts = [0.0] * len(host.latency_counts)
                host.latency_ratio_totals = [0.0] * len(host.latency_ratio_totals)
                host.ejected_until_ns = 0
                # Slow-start credit accumulated while the zone was excluded must not be used at once.
                host.slow_start_credit = host.rank % 1.0
                host.slow_start_seen_ns = now

    # --- weights and admission -------------------------------------------------------------------

    def _update_cross_zone_spill(self, elapsed: float) -> None:
        if not self._has_rules:
            super()._update_cross_zone_spill(elapsed)

    def _spill_fractions(self) -> Callable[[Host], float]:
        if not self._has_rules:
            return super()._spill_fractions()
        offered_fraction = self.zone_router.offered_fraction
        return lambda host: offered_fraction(host.zone)

    def _update_admission_limit(self, elapsed: float) -> None:
        """While zones are degraded, raise the limit to what meets the goal, unless answers are late.

        Otherwise requests that the remaining zones could serve would be rejected: the plain limit aims at
        unloaded latencies, which full zones can't reach.
        """
        super()._update_admission_limit(elapsed)
        counts = sum(self.traffic.answer_counts)
        if (
            not self._has_rules
            or self.admission.is_late
            or counts < 1
            or not self.zone_router.is_any_degraded
        ):
            return
        hosts = self.round_robin.ring
        rates = [
            host.throughput / max(host.utilisation, BUSY_UTILISATION)
            for host in hosts
            if host.reported_ns >= 0
        ]
        if not rates:
            return
        answered = zip(self.traffic.answer_counts, self.settings.classes, strict=True)
        target_ns = sum(count * each.latency_target_ns for count, each in answered) / counts
        fraction = self.admission.effective_fleet_fraction()
        acceptance = sum(host.acceptance for host in hosts) / len(hosts)
        rate = sum(rates) / len(rates) * self.capacity.rate_per_size
        ready = self.host_table.ready_count
        due_in_flight = fraction * rate * acceptance * ready * target_ns * GOAL_PER_TARGET / NS_PER_S
        self.admission.limit = max(self.admission.limit, due_in_flight)

    def _admits(self, density: float) -> bool:
        """Reject the unplaced fraction of requests, lowest values first."""
        if not super()._admits(density):
            return False
        rejected_fraction = self.zone_router.unplaced_fraction if self._has_rules else 0.0
        densities = self.admission.sorted_densities
        if rejected_fraction <= 0 or not densities:
            return True
        return density >= densities[min(int(rejected_fraction * len(densities)), len(densities) - 1)]

    # --- attempts --------------------------------------------------------------------------------

    def _eligibility(self, request: Request, now: int) -> Eligibility:
        is_eligible_without_rules = super()._eligibility(request, now)
        if not self._has_rules:
            return is_eligible_without_rules
        router = self.zone_router
        admits = {name: router.admits(name, now, self.uses_grants_ahead) for name in router.zones}
        if self.settings.classes[request.class_index].idempotency is Idempotency.UNSAFE:
            admits_unsuspected = {
                name: each and not router.is_unreliable(name) for name, each in admits.items()
            }
            admits = admits_unsuspected if any(admits_unsuspected.values()) else admits

        def is_eligible(host: Host) -> bool:
            return admits.get(host.zone, True) and is_eligible_without_rules(host)

        return is_eligible

    def _pick_host(self, request: Request, now: int) -> Host | None:
        if self._has_rules and not request.attempts:
            probe_host = self._pick_probe(request, now)
            if probe_host is not None:
                return probe_host
        host = super()._pick_host(request, now)
        if host is None and self._has_rules and self.zone_router.unplaced_fraction <= 0:
            # The demand fits overall but not at this moment; random bursts are no reason to reject a request.
            self.uses_grants_ahead = True
            host = super()._pick_host(request, now)
            self.uses_grants_ahead = False
        return host

    def _pick_probe(self, request: Request, now: int) -> Host | None:
        """Return a host of an excluded zone if a probe is due and this request may serve as the probe.

        A request may if it can be retried in time when the probe is not answered.
        """
        zone = self.zone_router.zone_to_probe(now)
        request_class = self.settings.classes[request.class_index]
        if zone is None or request_class.idempotency is not Idempotency.SAFE:
            return None
        if self.settings.max_attempts <= 1:
            return None
        if request.deadline_ns - now < PROBE_DEADLINE_FACTOR * self._probe_timeout_ns(request):
            return None
        is_eligible = super()._eligibility(request, now)
        count = len(zone.ready_hosts)
        for step in range(count):
            host = self.host_table.hosts.get(zone.ready_hosts[(zone.probe_turn + step) % count])
            if host is None or host.is_draining:
                continue
            # The host is not ready because its zone is excluded; check whether it is eligible otherwise.
            was_ready, host.is_ready = host.is_ready, True
            fits = is_eligible(host)
            host.is_ready = was_ready
            if fits:
                self.zone_router.record_probe(zone, now)
                self.probing.append(request.id)
                return host
        return None

    def _probe_timeout_ns(self, request: Request) -> int:
        target_ns = self.settings.classes[request.class_index].latency_target_ns
        return int(target_ns * GOAL_PER_TARGET)

    def _start_attempt(self, request: Request, host: Host, now: int) -> None:
        super()._start_attempt(request, host, now)
        if not self._has_rules:
            return
        router = self.zone_router
        router.record_sent(host.zone, now)
        if host.started_ns > 0 and self.slow_start.warm_fraction(host, now) < 1:
            # The slow-start budget exceeds the capacity of a warming host. Here all proxies together stay
            # within that capacity, each according to its share of the zone's traffic.
            proxies = router.capacity_share(host.zone) * self.settings.fleet_size
            cost = BUDGET_FRACTION * self.settings.overload_multiple / max(proxies, MIN_PROXIES_IN_ZONE)
            host.slow_start_credit -= 0.0 if router.needs_returning_zones(now) else max(0.0, cost - 1)
        if request.id in self.probing:
            started = self._actions[-1]
            assert isinstance(started, api.StartAttempt)
            started.timeout_ns = self._probe_timeout_ns(request)

    def _on_attempt_ended(self, event: api.AttemptEnded, now: int) -> None:
        found = self.attempts.find(event.request, event.attempt)
        if found is not None and self._has_rules:
            request, (host, sent_ns, _) = found
            key = (event.request, event.attempt)
            if key in host.in_flight or key in host.written_off:
                self.zone_router.record_attempt_end(
                    host.zone, host.name, request.class_index, event.status, sent_ns, event.latency_ns, now
                )
        super()._on_attempt_ended(event, now)
        if event.request in self.probing and event.attempt == 0:
            self.probing.remove(event.request)

    def _retry(self, request: Request, status: AttemptStatus, now: int, is_idle_loss: bool) -> None:
        """Retry a request with an unanswered probe elsewhere at once, since the probe has cost time only."""
        may_retry = status is not AttemptStatus.NOT_STARTED and request.id in self.probing
        if may_retry and self.retry_policy.may_attempt_again(request, now):
            self.probing.remove(request.id)
            host = self._pick_host(request, now)
            if host is not None:
                self._start_attempt(request, host, now)
                return
        super()._retry(request, status, now, is_idle_loss)
