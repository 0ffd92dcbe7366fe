"""The balancer with `zone_routing` asked: which zones take part, what each may get, what fits nowhere.

All that is decided of a host, a request or a repeat is decided by `Balancer`.  A zone that is out is to it
as if discovery had left it out; what may go to a zone is one more thing that a host must fit.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.api import AttemptStatus, Idempotency
from brambleusher.loadbalancing.balancer import (
    CAPACITY_WINDOW,
    COLD_SLICE,
    GOAL_OF_AIM,
    HEALTH_WINDOW,
    OLD_LOOKED_AT,
    PI_GOAL,
    SECOND,
    SILENCE,
    Balancer,
)
from brambleusher.loadbalancing.hosts import RESERVE, Host, Request
from brambleusher.loadbalancing.zone_routing import ZoneRouter
from brambleusher.loadbalancing.zone_state import ZoneLoad

STILL_AIMS = 0.25  # a timer that fires so late: this proxy stood still
DARK_AIMS = 0.5  # a host that answers nothing for so long, though asked, is dark
STRAINED_PART = 0.5  # of a zone's hosts miss the goal or fail: it is under strain


def balancer_for(settings: api.Settings, seed: int) -> Balancer:
    """The balancer that settings ask for: without rules on zones, the plain one."""
    return Balancer(settings, seed) if settings.zone_rules is None else ZoneAwareBalancer(settings, seed)


class ZoneAwareBalancer(Balancer):
    """One client proxy's decisions, with rules on zones."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._zones = ZoneRouter(settings.zone_rules, settings.zone, self._unit_ns, settings.fleet_size)
        self._probing: list[str] = []  # requests whose last attempt is a probe
        self._due_ns = 0  # when the timer is to fire
        self._ahead = False  # zones' grants may be used a burst ahead
        self._handlers[api.ZoneRulesChanged] = self._rules_changed

    @property
    def _on(self) -> bool:
        return self._zones.rules is not None

    def zone_status(self, now: int) -> dict[str, object]:
        """What is made of zones, for people: plain values."""
        zones = self._zones
        return {
            "panic": zones.is_panic,
            "beyond": round(zones.unplaced_fraction, 3),
            "zones": zones.status(now),
        }

    def _rules_changed(self, event: api.ZoneRulesChanged, now: int) -> None:
        self._zones.set_rules(event.rules, now)
        self._choose()
        self._weigh(now, 0.0)

    # --- membership -----------------------------------------------------------------------------

    def _listed(self, event: api.HostListUpdated, now: int) -> None:
        super()._listed(event, now)
        ready: dict[str, list[str]] = {}
        draining: dict[str, list[str]] = {}
        for host in self._hosts.values():
            (draining if host.draining else ready).setdefault(host.zone, []).append(host.name)
        self._zones.record_list(ready, draining, now)
        if self._on:
            self._choose()
            self._weigh(now, 0.0)

    def _choose(self) -> None:
        """Hosts of zones that are out are left out, and nearer tiers come first among those elsewhere."""
        if self._on:
            zones = self._zones
            for host in self._hosts.values():
                host.ready = not host.draining and not zones.is_excluded(host.zone)
                zone = zones.zones.get(host.zone)
                host.rank = host.rank % 1.0 + (zone.tier if zone is not None else 0)
            self._ranks.rebuild(self._hosts.values())
        super()._choose()

    # --- the tick -------------------------------------------------------------------------------

    def _timer(self, event: api.TimerFired, now: int) -> None:
        if self._on and self._due_ns and now - self._due_ns > STILL_AIMS * self._unit_ns:
            self._zones.record_stall(now)
        super()._timer(event, now)
        self._due_ns = max((act.at_ns for act in self._out if isinstance(act, api.SetTimer)), default=0)

    def _weigh(self, now: int, gap: float) -> None:
        if self._on:
            self._judge(now, gap)
        super()._weigh(now, gap)

    def _judge(self, now: int, gap: float) -> None:
        """Have all zones judged by what their hosts report and owe; act on a change."""
        asked = self._rate / HEALTH_WINDOW / self._unit_ns * SECOND
        hold, floor = self._hold()
        before = {name for name in self._zones.zones if self._zones.is_excluded(name)}
        changed = self._zones.tick(now, gap, self._loads(now), asked, hold, floor)
        self._out += [api.WriteLog(text) for text in self._zones.take_log_lines()]
        if changed:
            out = {name for name in self._zones.zones if self._zones.is_excluded(name)}
            self._choose()
            for name in sorted(before - out):
                self._welcome_back(name, now)
            for name in sorted(out - before):
                self._give_up(name, now)

    def _hold(self) -> tuple[float, float]:
        """The use of near hosts above which crossing pays, and the part that is always offered.

        As `Balancer._steer_zones` has them, tier by tier in place of here and elsewhere.
        """
        price, hold = self.settings.cross_zone_price, self._use_to_hold()
        if hold is None:
            return 1 - RESERVE, 1.0 if price <= 0 else 0.01
        return hold, max(0.01, 1 - price * 20)

    def _loads(self, now: int) -> dict[str, ZoneLoad]:
        """What the ready hosts of each zone report, and which owe answers for too long."""
        loads: dict[str, ZoneLoad] = {}
        missing: dict[str, list[int]] = {}
        used = {host.name for host in self._turn.ring}
        rate = self._size_rate or 1.0  # before it is known, hosts' capacities beside each other
        for host in self._hosts.values():
            if host.draining:
                continue
            load = loads.get(host.zone)
            if load is None:
                load, missing[host.zone] = loads.setdefault(host.zone, ZoneLoad()), [0, 0]
            if (since := self._dark_since(host, now)) > 0:
                load.unanswered_since_ns[host.name] = since
            if host.name not in used and host.ready:  # not among this proxy's few: as those that are
                missing[host.zone][0] += 1
                continue
            warmth = self._warmth(host, now)
            usual = self._kind_capacity.get(host.kind, self._mean_capacity)
            capacity = ((host.capacity if warmth >= 1 else None) or usual) * warmth * rate
            age = now - host.util_ns if host.util_ns >= 0 else math.inf
            fade = min(1.0, age / (self._unit_ns * CAPACITY_WINDOW))
            util = host.util + fade * (self._mean_util - host.util) if host.util_ns >= 0 else self._mean_util
            load.host_count += 1
            load.capacity += capacity
            load.used += util * capacity
            load.throughput += host.throughput * rate if host.util_ns >= 0 else 0.0
            load.total_weight += capacity * max(1 - util, 0.01) * host.health * host.welcome
            missing[host.zone][1] += host.pi > PI_GOAL or host.health < 0.5
        for name, load in loads.items():
            others, bad = missing[name]
            if load.host_count:
                load.is_strained = bad > STRAINED_PART * load.host_count
                scale = 1 + others / load.host_count
                load.capacity, load.used = load.capacity * scale, load.used * scale
                load.throughput, load.total_weight = load.throughput * scale, load.total_weight * scale
        return loads

    def _dark_since(self, host: Host, now: int) -> int:
        """Since when a host has left attempts unanswered for too long; 0 where it has not."""
        zone = self._zones.zones.get(host.zone)
        node = zone.nodes.get(host.name) if zone is not None else None
        heard = max(node.last_response_ns if node is not None else 0, self._zones.stalled_until_ns)
        for looked, (request, sent) in enumerate(host.out.values()):
            if looked >= OLD_LOOKED_AT:
                break
            usual = self._lat_sum[request.cls] / max(self._lat_n[request.cls], 1.0)
            patience = max(self._unit_ns * DARK_AIMS, min(SILENCE / 2 * usual, 2.0 * self._unit_ns))
            if now - max(sent, heard) > patience:
                return max(sent, heard)
        return 0

    def _give_up(self, name: str, now: int) -> None:
        """A zone is lost: what is out there is counted no more, and goes elsewhere too where that is safe."""
        stuck: list[Request] = []
        for host in self._hosts.values():
            if host.zone != name:
                continue
            for key in list(host.out):
                request, _ = host.lost[key] = host.out.pop(key)
                self._open, request.lost = self._open - 1, request.lost + 1
                stuck.append(request)
        for request in stuck:
            if not request.closed and request.out == request.lost and self._may_repeat(request, now):
                other = self._pick(request, now)
                if other is not None:
                    self._retries.withdraw()
                    self._send(request, other, now)

    def _welcome_back(self, name: str, now: int) -> None:
        """What was held against its hosts when it was lost says nothing of them now."""
        for host in self._hosts.values():
            if host.zone == name:
                host.served = host.failed = host.turned = 0.0
                host.late_n, host.late_sum = [0.0] * len(host.late_n), [0.0] * len(host.late_sum)
                host.shut_ns = 0
                host.cold_level, host.cold_seen_ns = host.rank % 1.0, now  # saved up while it was shut: void

    # --- weights and admission ------------------------------------------------------------------

    def _steer_zones(self, gap: float) -> None:
        if not self._on:
            super()._steer_zones(gap)

    def _offer(self, host: Host) -> float:
        return self._zones.offered_fraction(host.zone) if self._on else super()._offer(host)

    def _steer_admission(self, gap: float) -> None:
        """In trouble the limit is the goal's, as long as answers keep to it.

        Guards against refusing what the zones that are left could carry: the plain limit holds answers near
        what they take in quiet times, and full zones are not quiet.
        """
        super()._steer_admission(gap)
        counts = sum(self._lat_n)
        if not self._on or self._late or counts < 1 or not self._zones.is_any_in_trouble:
            return
        ring, classes = self._turn.ring, self.settings.classes
        aim = sum(n * cls.latency_target_ns for n, cls in zip(self._lat_n, classes, strict=True)) / counts
        rates = [host.throughput / max(host.util, 0.5) for host in ring if host.util_ns >= 0]
        if rates:
            share = max(self._my_share, 1 / self.settings.fleet_size)
            takes = sum(host.welcome for host in ring) / len(ring)
            rate = sum(rates) / len(rates) * self._size_rate
            due = share * rate * takes * self._ready * aim * GOAL_OF_AIM / SECOND
            self._limit = max(self._limit, due)

    def _worth_now(self, density: float) -> bool:
        """What fits nowhere is refused, the cheapest worth first."""
        if not super()._worth_now(density):
            return False
        beyond = self._zones.unplaced_fraction if self._on else 0.0
        if beyond <= 0 or not self._ranked:
            return True
        return density >= self._ranked[min(int(beyond * len(self._ranked)), len(self._ranked) - 1)]

    # --- attempts -------------------------------------------------------------------------------

    def _fits(self, request: Request, now: int) -> Callable[[Host], bool]:
        plain = super()._fits(request, now)
        if not self._on:
            return plain
        zones, unsafe = self._zones, self.settings.classes[request.cls].idempotency is Idempotency.UNSAFE
        let = {name: zones.admits(name, now, self._ahead) for name in zones.zones}
        if unsafe:
            sure = {name: each and not zones.is_doubtful(name) for name, each in let.items()}
            let = sure if any(sure.values()) else let

        def fits(host: Host) -> bool:
            return let.get(host.zone, True) and plain(host)

        return fits

    def _pick(self, request: Request, now: int) -> Host | None:
        if self._on and not request.attempts and (probe := self._probe(request, now)) is not None:
            return probe
        host = super()._pick(request, now)
        if host is None and self._on and self._zones.unplaced_fraction <= 0:
            # What comes fits as a whole, and not at this moment: chance is no reason to refuse.
            self._ahead = True
            host = super()._pick(request, now)
            self._ahead = False
        return host

    def _probe(self, request: Request, now: int) -> Host | None:
        """A host of a zone that is out, if it is due to be tried and this request may be the one.

        It may where it can be sent again in time if nobody answers.
        """
        zone = self._zones.zone_to_probe(now)
        cls = self.settings.classes[request.cls]
        if zone is None or cls.idempotency is not Idempotency.SAFE or self.settings.max_attempts < 2:
            return None
        if request.deadline_ns - now < 2 * self._patience(request):
            return None
        plain, count = super()._fits(request, now), len(zone.ready_hosts)
        for step in range(count):
            host = self._hosts.get(zone.ready_hosts[(zone.probe_turn + step) % count])
            if host is None or host.draining:
                continue
            was, host.ready = host.ready, True
            fits = plain(host)
            host.ready = was
            if fits:
                self._zones.record_probe(zone, now)
                self._probing.append(request.id)
                return host
        return None

    def _patience(self, request: Request) -> int:
        return int(self.settings.classes[request.cls].latency_target_ns * GOAL_OF_AIM)

    def _send(self, request: Request, host: Host, now: int) -> None:
        super()._send(request, host, now)
        if not self._on:
            return
        self._zones.record_sent(host.zone, now)
        if host.started_ns > 0 and self._warmth(host, now) < 1:
            # The rule's budget is more than a cold host can do: here all proxies together keep to that, each
            # by its part of the zone's traffic.
            even = self._zones.capacity_share(host.zone) * self.settings.fleet_size
            cost = COLD_SLICE * self.settings.overload_multiple / max(even, 0.25)
            host.cold_level -= 0.0 if self._zones.needs_returning_zones(now) else max(0.0, cost - 1)
        if request.id in self._probing:
            sent = self._out[-1]
            assert isinstance(sent, api.StartAttempt)
            sent.timeout_ns = self._patience(request)

    def _attempt_ended(self, event: api.AttemptEnded, now: int) -> None:
        request = self._requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            host, sent, _ = request.attempts[event.attempt]
            key = event.request, event.attempt
            if self._on and (key in host.out or key in host.lost):
                self._zones.record_end(
                    host.zone, host.name, request.cls, event.status, sent, event.latency_ns, now
                )
        super()._attempt_ended(event, now)
        if event.request in self._probing and event.attempt == 0:
            self._probing.remove(event.request)

    def _retry(self, request: Request, status: AttemptStatus, now: int, lost: bool) -> None:
        """An unanswered probe costs its request no more than the time: it goes elsewhere at once."""
        if (
            request.id in self._probing
            and status is not AttemptStatus.NOT_STARTED
            and self._may_repeat(request, now)
        ):
            self._probing.remove(request.id)
            host = self._pick(request, now)
            if host is not None:
                self._send(request, host, now)
                return
        super()._retry(request, status, now, lost)
