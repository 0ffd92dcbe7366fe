"""Every decision of the balancer; its types, events and actions are in `brambleusher/loadbalancing/api.py`.

The ordinary path is the WebSphere variant of "z/OS Workload Manager Sysplex Routing Services":
reported spare capacity makes weights out of 64, a performance index (PI) and the served share
(health) cut them, and requests spend them as tokens in round robin until all are spent.
`docs/design.md` tells what was kept, what was changed and when each departure acts.

A `Balancer` is pure: events and a clock go in, actions come out.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from itertools import islice
from statistics import median
from typing import Any

from brambleusher.loadbalancing import api, capacity_estimates, slow_start
from brambleusher.loadbalancing.api import AttemptStatus, DeduplicationScope, HostState, Idempotency, ListKind
from brambleusher.loadbalancing.host_ranking import HostRanking
from brambleusher.loadbalancing.hosts import NOTHING, RESERVE, Host, Request
from brambleusher.loadbalancing.idle_timeout import IdleTimeout
from brambleusher.loadbalancing.retry_budget import RetryBudget

# The source's figures.
WEIGHT_TOTAL = 64.0
PI_GOAL, PI_ZERO = 1.0, 1.5
IMPORTANT_SHARE = 0.75  # the PI covers the most important classes up to this share of the counts
MIN_SPARE_SHARE = 0.01  # a host with less than this part of its capacity free gets no weight

# Windows, in shortest aims: the aim is the time in which a decision has to pay off.
TICK = 1 / 8  # weights are recomputed so often that news is acted on well inside one aim
UTIL_WINDOW = 1.0
LATENCY_WINDOW = 2.0
HEALTH_WINDOW = 4.0
CAPACITY_WINDOW = 10.0  # slow: capacity is a property of the host, and the quotient is noisy
PAUSE_MAX = 1 / 2  # a quiet proxy still looks twice an aim: attempts out grow old, troubles end
BEST_WINDOW = 64.0  # a crowd that has formed can last for tens of aims; also between two log lines

# The index is a mean, and answers spread about as widely as their mean: a mean at half the aim
# already makes one answer in seven late (e^-2), so half the aim is the goal of the index.
GOAL_OF_AIM = 0.5
MISSED = 2 / GOAL_OF_AIM  # the most one attempt says; a few that are never answered are no crowd
OLD_LOOKED_AT = 6  # the oldest attempts out of a host that the tick looks at: bounds its work
WRITE_OFF = 2.5  # times the usual answer's time, of its class and of its host: so old and overtaken is lost
OVER_ROOM = 0.3  # of the room above, for what is beyond a tenant's share
OVER_SHARE = 1e9  # off the worth of what is beyond a tenant's share: it comes last, and to spare room alone
TENANT_BURST = 2.0  # requests of a tenant that may come at once: one place flags half of what is in its share
RING_MIN = 4  # hosts a quiet proxy uses: choice enough to pass over a bad one, and few connections
RING_FREE = 3  # times as many where connections have no price
REST_LOOKED_AT = 1000  # hosts beyond those in use that one request may look through: bounds its work
RING_SPREAD = 2.0  # hosts in use for each own attempt at the busiest: a turn seldom finds one occupied
IDLE_DOUBT = 1 / 4  # of the aim: a connection used since is not lost for being idle
SAMPLES = 16.0  # admission rests on so many answers, as far as they come within the slow window
COLD_SLICE = 0.5  # of a cold host's budget: the rest is for chance and for unequal proxies
ROOM_FOR_ALL = 0.7  # of the limit on what is out; above, places go by worth, the last to the best
WAIT_OF_AIM = 1 / 8  # of the aim may pass in queues under overload: a crowd forms before answers are late
USUAL_OF_AIM = 0.35  # at most: a crowd's first answers come before its reports, and pass for usual ones
SPOILT = 0.01  # share of requests that may find every attempt used up on full hosts
SILENCE = 6.0  # times the usual answer's time: past it an attempt is given up where some are not answered
NEVER_RAN = frozenset({AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})
SECOND = 1e9


def aggregate_pi(index: list[float], count: list[float], order: list[int]) -> tuple[float, float]:
    """Count-weighted PI over the most important classes that cover 75% of the counts."""
    total = sum(count)
    need, seen, acc = total * IMPORTANT_SHARE, 0.0, 0.0
    for cls in order:
        if seen >= need:
            break
        seen += count[cls]
        acc += index[cls] * count[cls]
    return (acc / seen, total) if seen else (0.0, 0.0)


def final_weights(base: list[float], pi: list[float], health: list[float]) -> list[float]:
    """Weights out of 64: the spare's share, cut by the index and the health, all-zero made equal."""
    total = sum(base)
    cut = []
    for spare, index, well in zip(base, pi, health, strict=True):
        weight = WEIGHT_TOTAL * spare / total if total > 0 else 0.0
        if index > PI_ZERO:
            weight = 0.0
        elif index > PI_GOAL:
            weight *= 1 - (index - PI_GOAL)
        cut.append(weight * well)
    left = sum(cut)
    if left <= 0:
        return [WEIGHT_TOTAL / len(cut)] * len(cut) if cut else []
    return [weight * WEIGHT_TOTAL / left for weight in cut]


class TokenRoundRobin:
    """Tokens spent in round robin over the hosts that have some left."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.ring: list[Host] = []
        self._at = 0
        self.scale = 1.0

    def seat(self, hosts: list[Host]) -> None:
        """A seeded order and start: proxies that see the same reports must not march in step."""
        self.ring = hosts
        self._rng.shuffle(self.ring)
        self._at = self._rng.randrange(len(hosts)) if hosts else 0
        # Ours: a load holds one token a host on average, so newer weights are in use sooner and
        # the heaviest host gets no run of turns at the end of a long load.
        self.scale = len(hosts) / WEIGHT_TOTAL

    def cut(self) -> None:
        """Tokens left never exceed the new weight.

        A fast host needs no more open than a slow one while it only serves, and more in step with its
        weight once it queues: its part of what is out goes by the root of the weight, between the two.
        """
        roots = sum(math.sqrt(host.weight) for host in self.ring) or 1.0
        for host in self.ring:
            host.room = math.sqrt(host.weight) / roots
            host.tokens = min(host.tokens, math.ceil(host.weight * self.scale))

    def load(self) -> None:
        """Give every host its latest weight; fractions are carried over."""
        for host in self.ring:
            host.credit += host.weight * self.scale
            fresh = int(host.credit)
            host.credit -= fresh
            host.tokens = max(host.tokens, fresh)

    def spend(self, fits: Callable[[Host], bool], out: int) -> Host | None:
        """The next host in turn that has a token and fits; only if none has one, load anew.

        Ours: a host that holds more of this proxy's `out` open attempts than its weight explains is
        passed over and keeps its token.  Reports are late and the same for all; own attempts out show
        at once that a host has slowed down, hangs, warms up, or was found by everyone at the same time.
        Harm: a host that is rightly slow (heavy requests only) gets its tokens later than due.
        """
        room = out + 1
        for _ in range(2):
            for step in range(len(self.ring)):
                at = (self._at + step) % len(self.ring)
                host = self.ring[at]
                if host.tokens > 0 and len(host.out) < host.room * room and fits(host):
                    host.tokens -= 1
                    self._at = at + 1
                    return host
            self.load()
        # Those with tokens and room do not fit: borrow from the least occupied that does.
        rest = [host for host in self.ring if host.weight > 0 and fits(host)]
        return min(rest, key=lambda host: ((len(host.out) + 1) / host.weight, host.name)) if rest else None


class Balancer:
    """One client proxy's decisions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self._rng = random.Random(seed)
        self._classes = {cls.name: at for at, cls in enumerate(settings.classes)}
        count = len(settings.classes)
        self._by_worth = sorted(range(count), key=lambda at: (-settings.classes[at].value, at))
        self._unit_ns = min(cls.latency_target_ns for cls in settings.classes)
        self._tick_ns = max(settings.tick_ns, int(self._unit_ns * TICK))
        self._hosts: dict[str, Host] = {}
        self._requests: dict[str, Request] = {}
        self._turn = TokenRoundRobin(self._rng)
        # Lately: failed connections; the most attempts out; requests.
        self._unlinked = self._peak = self._rate = self._lately = 0.0
        self._silent = 0.0  # attempts that timed out lately
        self._trust = IdleTimeout(
            float(settings.connection_idle_timeout_ns or math.inf), self._unit_ns * IDLE_DOUBT
        )
        self._open = self._ready = 0  # attempts out, ready hosts
        self._part = 1.0  # of this proxy's work, while a new version of it takes over
        self._ranks: HostRanking[Host] = HostRanking()  # the ready hosts in this proxy's order of preference
        self._closing: dict[str, Host] = {}  # draining hosts whose connections are to be closed
        self._out: list[api.Action] = []
        self._ticked_ns = 0
        # Fleet figures of the last tick.
        self._mean_capacity, self._mean_util, self._remote = 0.0, 0.0, 0.5
        self._kind_capacity: dict[str, float] = {}
        # Where the list's sizes are the capacities: size seconds in use lately and requests asked for in that
        # time, and from them the requests a second of one.
        self._sized, self._size_used, self._size_asked = capacity_estimates.uses_sizes(settings), 0.0, 0.0
        self._size_rate = 0.0 if self._sized else 1.0
        # Own traffic.
        self._lat_n, self._lat_sum = [0.0] * count, [0.0] * count
        self._quiet_ns = [cls.latency_target_ns * WAIT_OF_AIM for cls in settings.classes]
        self._index_n, self._served_rate, self._span, self._retries = 0.0, 0.0, 1e-9, RetryBudget(count)
        # Admission.
        self._limit, self._offered, self._logged_ns = math.inf, 1e-9, 0
        self._full_sum = self._turned = self._best_rate = 0.0
        self._tight = self._late = False
        self._ranked: list[float] = []
        self._mean_open, self._came_ns = 0.0, 0  # of attempts out, and when a request came last
        self._densities: deque[float] = deque(maxlen=128)
        self._quota = {tenant.name: tenant for tenant in settings.tenants}
        self._tenant_level = {t.name: t.quota_per_s / settings.fleet_size for t in settings.tenants}
        self._tenant_seen: dict[str, int] = {}
        self._my_share = 1.0 / settings.fleet_size
        self._used = 0, 0  # how many hosts here and elsewhere a proxy like this one uses
        # Discovery.
        self._ask_at: int | None = None
        self._ask_wait_ns = settings.endpoint_poll_deadline_ns // 20
        self._handlers: dict[type, Callable[[Any, int], None]] = {
            api.AttemptEnded: self._attempt_ended, api.RequestArrived: self._arrived,
            api.TimerFired: self._timer, api.ClientDisconnected: self._gone,
            api.HostListUpdated: self._listed, api.HealthCheckEnded: self._probed,
            api.StreamStarted: self._gone, api.ProcessShareChanged: self._part_changed,
            api.RequestBodyProgressed: self._passing,
        }  # fmt: skip

    def start(self, now: int) -> list[api.Action]:
        """The first actions of an instance that knows nothing yet."""
        self._ticked_ns, self._out = now, [api.SetTimer(now + self._tick_ns, 0)]
        if self.settings.subscribes_to_endpoints:
            # A fleet that restarts together must not jam the register: spread the first call.
            self._ask_at = now + int(self._rng.random() * self._ask_wait_ns)
        return self._out

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """One event in, the actions it leads to out."""
        self._out = []
        self._handlers[type(event)](event, now)
        return self._out

    # --- host state and estimators ------------------------------------------------------------

    def _report(self, host: Host, report: api.LoadReport, now: int) -> None:
        """Take in a host's own figures; the same report may come with several answers."""
        util, qps = report.utilisation, report.throughput
        if self._sized and util is not None:
            qps = util * host.size
        if util is None or qps is None or not (math.isfinite(util) and math.isfinite(qps)):
            return
        util, qps = min(max(util, 0.0), 1.0), max(qps, 0.0)
        host.sum_util += util
        host.sum_qps += qps
        if host.util_ns < 0:
            host.util, host.throughput = util, qps
        else:
            gap = now - host.util_ns
            share = max(gap / (gap + self._unit_ns * UTIL_WINDOW), 0.05)
            host.util += share * (util - host.util)
            host.throughput += share * (qps - host.throughput)
        host.util_ns = now

    def _sample(self, host: Host, cls: int, index: float) -> None:
        """One latency over its goal, to the host's index and to the fleet's."""
        host.late_n[cls] += 1
        host.late_sum[cls] += min(index, MISSED)
        self._index_n += 1

    def _index_of(self, host: Host, now: int) -> float:
        """The aggregated PI, with the age of attempts still out: a hung host sends no answers."""
        mean = [s / n if n > 0.01 else 0.0 for s, n in zip(host.late_sum, host.late_n, strict=True)]
        pi, count = aggregate_pi(mean, host.late_n, self._by_worth)
        acc, seen = pi * count, count + 1.0  # one sample of prior: evidence fades, the host comes back
        for looked, (request, sent) in enumerate(host.out.values()):
            age = min(
                (now - sent) / (self.settings.classes[request.cls].latency_target_ns * GOAL_OF_AIM), MISSED
            )
            if age <= pi or looked >= OLD_LOOKED_AT:
                break
            acc += age
            seen += 1
        return acc / seen

    def _decay(self, gap: float) -> None:
        """Forget a little of everything; `gap` is the time since the last tick in aims."""
        slow, health = math.exp(-gap / CAPACITY_WINDOW), math.exp(-gap / HEALTH_WINDOW)
        late = math.exp(-gap / LATENCY_WINDOW)
        for host in self._turn.ring:
            host.sum_qps, host.sum_util = host.sum_qps * slow, host.sum_util * slow
            host.served, host.failed = host.served * health, host.failed * health
            host.turned *= health
            host.late_n = [n * late for n in host.late_n]
            host.late_sum = [s * late for s in host.late_sum]
        self._unlinked, self._silent = self._unlinked * health, self._silent * health
        self._retries.decay(health)
        self._trust.recover(gap, slow)
        # Few samples are kept for longer: two full answers in a row are no overload.
        window = min(max(LATENCY_WINDOW, SAMPLES * HEALTH_WINDOW / max(self._rate, 1.0)), CAPACITY_WINDOW)
        kept, long = math.exp(-gap / window), math.exp(-gap / BEST_WINDOW)
        self._index_n, self._full_sum = self._index_n * kept, self._full_sum * kept
        self._turned *= long  # whether hosts turn work away is a property of the deployment
        self._served_rate *= slow
        self._size_used, self._size_asked = self._size_used * slow, self._size_asked * slow
        self._span = self._span * slow + gap * self._unit_ns / SECOND
        self._lat_n = [n * slow for n in self._lat_n]
        self._lat_sum = [s * slow for s in self._lat_sum]

    # --- weights ------------------------------------------------------------------------------

    def _weigh(self, now: int, gap: float) -> None:
        """Spare capacity to weights; read beside `docs/design.md`."""
        ring = self._turn.ring
        if not ring:
            return
        warmth = [self._warmth(host, now) for host in ring]
        warm = [(h, cap) for h, part in zip(ring, warmth, strict=True) if part >= 1 and (cap := h.capacity)]
        # With no warm host left to go by, what cold ones carry is the guide, and less than the truth:
        # else a fleet that is cold as a whole would be let one request a host until it is warm.
        seen = [cap for _, cap in warm] or [cap for host in ring if (cap := host.capacity)]
        self._mean_capacity = sum(seen) / len(seen) if seen else self._mean_capacity
        for kind in {host.kind for host, _ in warm}:
            self._kind_capacity[kind] = median(cap for host, cap in warm if host.kind == kind)
        used = sum(host.util * cap * host.welcome for host, cap in warm)
        self._mean_util = used / sum(cap * host.welcome for host, cap in warm) if warm else 0.0
        lean = max(0.0, RESERVE - (1 - self._mean_util))
        spares: list[float | None] = []
        for host, part in zip(ring, warmth, strict=True):
            # One that is cold, or has not told: what others of its kind carry, as far as it is warm.
            cap = (host.capacity if part >= 1 else None) or self._kind_capacity.get(host.kind)
            # A report that is not renewed fades to the fleet's mean: silence is not spare, and a
            # host judged full long ago must be tried again.
            age = now - host.util_ns if host.util_ns >= 0 else math.inf
            fade = min(1.0, age / (self._unit_ns * CAPACITY_WINDOW))
            free = 1 - (host.util + fade * (self._mean_util - host.util))
            spares.append(cap and cap * part * ((free if free >= MIN_SPARE_SHARE else 0.0) + lean))
        usual = median(told) if (told := [spare for spare in spares if spare is not None]) else 1.0
        self._steer_zones(gap)
        base = [
            (usual * part if spare is None else spare) * self._offer(host)
            for host, spare, part in zip(ring, spares, warmth, strict=True)
        ]
        for host in ring:
            host.pi = self._index_of(host, now)
        # When most of the fleet misses its goal the goal judges no host: the usual index does, or the
        # few hosts under it would get everything and be the next to drop out.
        yard = max(1.0, median(host.pi for host in ring))
        well = [host.health * host.welcome for host in ring]
        weights = final_weights(base, [host.pi / yard for host in ring], well)
        for host, weight in zip(ring, weights, strict=True):
            host.weight = weight
        self._turn.cut()

    def _offer(self, host: Host) -> float:
        """The part of its spare that a host offers."""
        return 1.0 if host.local else self._remote

    def _use_to_hold(self) -> float | None:
        """The local use above which crossing pays; None where it has no price, or capacity is not known."""
        price, capacity = self.settings.cross_zone_price, self._mean_capacity * self._size_rate
        if price <= 0 or not capacity:
            return None
        late = math.log(1 / min(price, 0.99)) * (SECOND / capacity) / self._unit_ns
        return min(max(1 - late, 0.2), 1 - RESERVE)

    def _steer_zones(self, gap: float) -> None:
        """How much of its spare a remote host may offer: what crossing costs against what it saves.

        With exponential answers a share exp(-(1 - u) aim / service) comes late at use u; crossing pays
        where that exceeds its price, so the local use to hold is where the two are equal.
        """
        price = self.settings.cross_zone_price
        local = [host for host in self._turn.ring if host.local]
        hold = self._use_to_hold()
        if not local or hold is None:
            self._remote = 1.0 if not local or price <= 0 else self._remote
            return
        here, there = [0.0, 0.0], [0.0, 0.0]  # used and whole capacity
        for host in self._turn.ring:
            side, cap = here if host.local else there, host.capacity or 0.0
            side[0], side[1] = side[0] + host.util * cap, side[1] + cap
        util, away = here[0] / here[1] if here[1] else hold, there[0] / there[1] if there[1] else 0.0
        if sum(1 for host in local if host.pi > PI_GOAL or host.health < 0.5) * 2 > len(local):
            util = 1.0
        # Zones as busy as each other gain nothing by exchanging work.
        error = min(util - hold, util - away) / (1 - hold) if util > hold else (util - hold) / hold
        # Below one lateness in twenty nobody would notice: so cheap a crossing is always partly used.
        floor = max(0.01, 1 - price * 20)
        self._remote = min(1.0, max(floor, self._remote + 0.5 * error * gap))

    # --- admission ----------------------------------------------------------------------------

    def _worth_density(self, event: api.RequestArrived, cls: int, now: int, spent: float) -> float:
        """Worth per unit of work, as it is counted here; beyond a tenant's share little is left."""
        settings = self.settings
        kind, worth = settings.classes[cls], settings.classes[cls].value
        worth *= kind.late_value if spent >= kind.latency_target_ns else 1.0  # its client has waited before
        over, tenant = False, self._quota.get(event.tenant or "")
        if tenant is not None and tenant.quota_per_s > 0:
            rate = tenant.quota_per_s * max(self._my_share, 1 / settings.fleet_size)
            level = self._tenant_level[tenant.name]
            level += rate * (now - self._tenant_seen.get(tenant.name, now)) / SECOND
            level, self._tenant_seen[tenant.name] = min(level, max(rate, TENANT_BURST)), now
            over = level < 1
            self._tenant_level[tenant.name] = level - (level >= 1)
        if not settings.is_value_by_work:
            worth /= max(self._quiet_ns[cls], 1.0) / SECOND
        worth *= 1 + 0.01 * self._rng.random()  # breaks ties between equal requests
        return worth - OVER_SHARE if over else worth

    def _steer_admission(self, gap: float) -> None:
        """How many own attempts may be out, by Little's law: the wait is what is out over the rate served.

        Guards against queues that grow until every answer is late.  A limit on what is out acts on the
        next request, where a share to refuse acts a queue's length late: that is for small proxies.
        """
        ring, settings = self._turn.ring, self.settings
        index = sum(host.weight * host.pi for host in ring) / WEIGHT_TOTAL
        self._late = index > PI_GOAL
        # Hosts that turn work away guard themselves: full answers hold the limit down to the goal's, no more.
        full = self._full_sum / (self._index_n + 1) / SPOILT ** (1 / settings.max_attempts)
        index = max(index, min(full, PI_GOAL))
        was, busy = self._tight, self._mean_util > 1 - RESERVE
        self._tight = self._late and (busy or self._full_sum > 1)
        # What this proxy's part of the fleet serves in the time to be held: the limit stays near it.
        counts = sum(self._lat_n) + 1e-9
        aim = (
            sum(n * cls.latency_target_ns for n, cls in zip(self._lat_n, settings.classes, strict=True))
            / counts
        )
        usual = sum(n * quiet for n, quiet in zip(self._lat_n, self._quiet_ns, strict=True)) / counts
        held = min(usual, aim * USUAL_OF_AIM) + aim * WAIT_OF_AIM if counts >= 1 else float(self._unit_ns)
        # Hosts that are crowded serve less than they did, and go on so until the crowd has left: the
        # part falls with the rate they reach now and once more with what that is of their best (followed
        # upwards slowly: of a few noisy figures the highest is no measure).
        rates = [host.throughput / max(host.util, 0.5) for host in ring if host.util_ns >= 0]
        rate = sum(rates) / len(rates) if rates else self._mean_capacity
        best = self._best_rate * math.exp(-gap / BEST_WINDOW) or max(rate, 1e-9)
        self._best_rate = best + max(rate - best, 0.0) * min(gap / HEALTH_WINDOW, 1.0)
        takes = sum(host.welcome for host in ring) / max(len(ring), 1)
        part = max(self._my_share, 1 / settings.fleet_size)  # by its share alone, one cut down would stay so
        rate *= min(rate / self._best_rate, 1.0) * self._size_rate
        due = part * rate * takes * self._ready * held / SECOND
        goal = held / max(aim * GOAL_OF_AIM, 1.0) if counts >= 1 else PI_GOAL
        change = min(max(goal / max(index, 0.1) - 1, -0.5), 1.0)
        # Where little is served at all, hosts still work on what was given up: wait for them.  But an attempt
        # a host, of all proxies together, crowds nobody: a limit below that is held down by the little it
        # lets through, and by the few of it that are never answered, while hosts are idle.
        crowded = busy or self._tight
        floor = due * (sum(host.health for host in ring) / max(len(ring), 1) / 3 if crowded else 1.0)
        floor = max(floor, part * self._ready)
        # Busy hosts whose answers are far from late are no crowd yet: the limit has as much room as the goal.
        room = min(max(goal / max(index, 0.1), 1.0), 2.0)
        top = due * room if crowded else max(due * 2, 2.0 * self._open, len(ring))
        self._limit = max(min(self._limit * (1 + change * min(gap, 1.0)), top), floor)
        if not self._open and self._index_n < 1:
            # Guards against the first burst of a proxy that has been idle meeting the limit of an idle one:
            # a few attempts, as many as the hosts in use.  No answer speaks for a limit yet.
            self._limit = math.inf
        come = min(self._rate / HEALTH_WINDOW, self._lately + math.sqrt(self._lately) + 1)  # in an aim
        self._offered = max(come * held / self._unit_ns, 1e-9)
        self._ranked = sorted(self._densities)
        if self._tight and not was and self._ticked_ns - self._logged_ns > BEST_WINDOW * self._unit_ns:
            self._logged_ns = self._ticked_ns
            self._out.append(
                api.WriteLog(f"overload: fleet index {index:.2f}, at most {self._limit:.0f} out")
            )

    def _worth_now(self, density: float) -> bool:
        """Whether a request is worth its place: the fuller, the higher its rank among late arrivals."""
        # A deviation by chance is added: one place would refuse half of all.  Where less than a place is
        # due the count is no guide: the part of what comes that has none is, unless hosts turn work away.
        if math.isinf(self._limit):
            return True
        limit, chance = self._limit, math.sqrt(max(self._limit, 1.0))
        # Of many proxies each has more out at one moment and less at the next, and over the fleet that evens
        # out: they go by the mean of what is out, as their arrivals see it, unless that is left far behind.
        alone = 1 / math.sqrt(self.settings.fleet_size)
        seen = self._mean_open + alone * (self._open - self._mean_open)
        seen = max(seen, self._open - 2 * (1 - alone) * chance)
        occupied = (seen - limit * ROOM_FOR_ALL) / (limit * (1 - ROOM_FOR_ALL) + chance * alone)
        if (self._late or self._turned < 1) and (self._open or limit < 1):  # else nothing is learnt
            occupied = max(occupied, 1 - limit / self._offered)
        if occupied <= 0 or not self._ranked or density < 0:
            return occupied <= OVER_ROOM or density >= 0
        return occupied < 1 and density >= self._ranked[int(occupied * len(self._ranked))]

    def _arrived(self, event: api.RequestArrived, now: int) -> None:
        cls = self._classes[event.request_class]
        self._rate, self._lately, self._size_asked = self._rate + 1, self._lately + 1, self._size_asked + 1
        gap, self._came_ns = max(now - self._came_ns, 0) / self._unit_ns, now
        self._mean_open += (self._open - self._mean_open) * -math.expm1(-gap / LATENCY_WINDOW)
        spent, again = self._retries.detect_client_retry(cls, event.left_ns)
        density = self._worth_density(event, cls, now, spent)
        self._densities.append(density)
        request, welcome = Request(event.request, cls, now, event.left_ns), self._worth_now(density)
        welcome = welcome and event.left_ns > 0  # else its time was over before it was seen
        if not (event.is_retry or again):
            self._retries.deposit()
        elif (
            not self._retries.withdraw_for_client_retry()
        ):  # what is only taken for a repeat is held to it in a crowd
            welcome = welcome and not (event.is_retry or self._tight)
        host = self._pick(request, now) if welcome else None
        if host is None:
            self._retries.credit_unserved()
            self._out.append(api.RejectRequest(event.request, self._stay_away(not welcome)))
            return
        self._requests[request.id] = request
        self._send(request, host, now)

    # --- attempts -----------------------------------------------------------------------------

    def _fits(self, request: Request, now: int) -> Callable[[Host], bool]:
        """Which hosts this request may go to: not where it has been, within its group, cold rules kept."""
        tried = [host for host, _, _ in request.attempts]
        group = (
            self.settings.classes[request.cls].deduplication_scope
            if request.origin
            else DeduplicationScope.ALL
        )
        origin = request.origin

        def fits(host: Host) -> bool:
            if not host.ready or host.shut_ns > now or host in tried:
                return False
            if origin is not None and (
                (group is DeduplicationScope.ZONE and host.zone != origin.zone)
                or (group is DeduplicationScope.CELL and host.cell != origin.cell)
            ):
                return False
            return host.started_ns <= 0 or self._cold_room(host, now)

        return fits

    def _pick(self, request: Request, now: int) -> Host | None:
        """The host whose turn it is; where connections fail, one that is connected; else any ready one."""
        fits = self._fits(request, now)
        connected = self._unlinked > 1  # hosts take few connections, or the network is cut
        host = self._turn.spend(lambda host: host.linked and fits(host), self._open) if connected else None
        host = host or self._turn.spend(fits, self._open)
        # None of those in use: any warm one, in this proxy's own order.
        order = islice(self._ranks, REST_LOOKED_AT) if host is None else ()
        return host or next((host for host in order if self._warmth(host, now) >= 1 and fits(host)), None)

    def _send(self, request: Request, host: Host, now: int) -> None:
        """One attempt; on a connection that was idle too long to be trusted, a new one is opened for it.

        Guards against connections dropped unseen.  Where that was seen, an attempt on an idle one is given
        up early enough to be sent again.  Harm: answers that would have come.
        """
        if host.started_ns > 0:
            host.cold_level -= 1
        idle, timeout = now - host.used_ns if host.linked and not host.out else 0, 0
        cls, left = self.settings.classes[request.cls], self.settings.max_attempts - len(request.attempts)
        if idle > self._trust.timeout_ns:
            self._out.append(api.CloseIdleConnections(host.name))
            idle = 0
        doubted = idle > self._trust.min_ns and self._trust.is_reduced
        usual = self._lat_sum[request.cls] / max(self._lat_n[request.cls], 1.0)
        if doubted and cls.idempotency is not Idempotency.UNSAFE and left > 1:
            timeout = int(
                min(3 * usual or math.inf, cls.latency_target_ns / 2, (request.deadline_ns - now) / 2)
            )
        if (
            self._silent > 1
            and not self._late
            and cls.idempotency is Idempotency.SAFE
            and left > 1
            and not timeout
        ):
            # Guards against connections that fell silent under a request, while there is room elsewhere.
            patience = max(SILENCE * usual, cls.latency_target_ns * GOAL_OF_AIM)
            timeout = int(patience) if now + 2 * patience < request.deadline_ns else 0
        host.begin(len(self._classes))
        host.out[(request.id, len(request.attempts))] = (request, now)
        request.attempts.append((host, now, idle))
        request.out, self._open = request.out + 1, self._open + 1
        self._peak = max(self._peak, self._open)
        host.used_ns = now
        self._out.append(api.StartAttempt(request.id, host.name, timeout))

    def _may_repeat(self, request: Request, now: int) -> bool:
        """Whether one more attempt keeps the rule on effects; any attempt out may yet run."""
        cls = self.settings.classes[request.cls]
        if len(request.attempts) >= self.settings.max_attempts or request.deadline_ns <= now:
            return False
        if request.passing:
            return False
        if request.out and not self.settings.hedging_enabled:
            return False
        if cls.idempotency is not Idempotency.KEYED or not (request.ran or request.out):
            return cls.idempotency is Idempotency.SAFE or not (request.ran or request.out)
        # Keyed: the resend has to arrive, connection and all, while the group still remembers.
        if request.origin is None:
            request.origin, request.first_ran_ns, _ = request.attempts[-1]
        return now + 2 * self.settings.connect_timeout_ns < request.first_ran_ns + cls.deduplication_window_ns

    def _finish(self, request: Request) -> None:
        """The final answer: a refusal where trying again does no harm, a failure otherwise."""
        request.closed = True
        if not (request.ran or request.out):
            self._retries.credit_unserved()
        self._call_off(request)
        cls = self.settings.classes[request.cls]
        harmless = cls.idempotency is Idempotency.SAFE or (
            cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
        )
        refusal = api.RejectRequest(request.id, self._stay_away(self._tight))
        self._out.append(
            refusal if harmless or not (request.ran or request.out) else api.FailRequest(request.id)
        )

    def _stay_away(self, crowded: bool) -> int:
        """When a refused client should come back: for as long as can be said where there is a crowd.

        Guards against clients that ask again at once for what was just given up.
        """
        most = self.settings.max_retry_after_ns
        return most if crowded else min(self._unit_ns // 4, most)

    def _attempt_ended(self, event: api.AttemptEnded, now: int) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        host, sent, idle = request.attempts[event.attempt]
        key = event.request, event.attempt
        known = host.out.pop(key, None) is not None
        if not known and host.lost.pop(key, None) is None:
            return
        request.out, request.lost = request.out - 1, request.lost - (not known)
        self._open -= known
        host.used_ns = now
        self._silent += event.status is AttemptStatus.TIMEOUT
        request.reached |= event.status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED)
        host.linked = event.status in (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.OVERLOADED)
        self._release(host, now)
        if event.report is not None:
            self._report(host, event.report, now)
        elif event.status is AttemptStatus.OK and host.util_ns >= 0:
            # It reported before and answers without: some hosts fall silent just when they are busy.
            host.util, host.util_ns = max(host.util, 1 - RESERVE), now
        lost = idle > self._trust.min_ns and self._trust.record_attempt(event.status, idle)
        if event.status is AttemptStatus.OK and sent > host.passed[0]:
            host.passed[0] = sent
            host.passed.sort()
        if not lost and (
            known or event.status is not AttemptStatus.TIMEOUT
        ):  # of one written off all was learnt
            self._learn(host, request.cls, event.status, event.latency_ns, now)
        if event.request_ended:
            request.closed = True
            self._call_off(request)
        if event.status not in NEVER_RAN and event.status is not AttemptStatus.OK:
            if not request.ran or sent < request.first_ran_ns:
                request.origin, request.first_ran_ns = host, sent
            request.ran = True
        elif not request.out and not request.ran:
            request.origin = None  # proof that nothing ran: the request is free again
        if not request.closed and request.out == request.lost:
            self._retry(request, event.status, now, lost)
        if request.closed and not request.out:
            del self._requests[request.id]

    def _learn(self, host: Host, cls: int, status: AttemptStatus, latency_ns: int, now: int) -> None:
        """What an attempt's end says of its host: late answers of ended requests teach as well."""
        aim = self.settings.classes[cls].latency_target_ns
        if status is AttemptStatus.OK:
            host.served += 1
            self._served_rate += 1
            self._sample(host, cls, latency_ns / (aim * GOAL_OF_AIM))
            self._lat_n[cls] += 1
            self._lat_sum[cls] += latency_ns
        elif status is AttemptStatus.TIMEOUT:
            # A client that left before its aim says no more than that the answer took longer.
            host.failed += latency_ns >= aim * GOAL_OF_AIM
            self._sample(host, cls, latency_ns / (aim * GOAL_OF_AIM))
        elif status is AttemptStatus.OVERLOADED:
            # No wait, but no room either: the admission limit sees it.  The health does not: a full host
            # is well, and cutting it fills the next one.
            self._index_n += 1
            host.turned += 1
            host.shut_ns = now + int(self._unit_ns * (1 - host.welcome))
            self._full_sum, self._turned = self._full_sum + 1, self._turned + 1
        elif status not in (AttemptStatus.CANCELLED, AttemptStatus.NOT_STARTED):
            host.failed += 1
            self._sample(host, cls, 1 / GOAL_OF_AIM)  # not served: its aim is missed
            if status is AttemptStatus.CONNECT_FAILED:
                # Down, cut off or out of connections: not over at once.  A host that fails fast has little
                # out and would draw turns; one attempt an aim is the trickle that finds it well again.
                host.shut_ns = now + self._unit_ns
                self._unlinked += 1

    def _retry(self, request: Request, status: AttemptStatus, now: int, lost: bool) -> None:
        """Try elsewhere while the rules, the time and the budget allow; else answer."""
        costs = status not in NEVER_RAN and not lost
        afford = (
            self._retries.has_tokens and not self._tight
            if costs
            else not self._tight or self._retries.has_tokens
        )
        if status is not AttemptStatus.NOT_STARTED and afford and self._may_repeat(request, now):
            host = self._pick(request, now)
            if host is not None and (host.linked or not self._late_to_connect(request, now)):
                if costs or self._tight:
                    self._retries.withdraw()
                self._send(request, host, now)
                return
        self._finish(request)

    def _write_off(self, now: int) -> None:
        """Attempts overtaken on their host, and old, are lost: count them no more, and send a copy elsewhere.

        Guards against connections that fall silent: a queue answers in order.  Counted as out, a few hold
        every place and make idle hosts look late.  Where hosts are busy, heavy requests are overtaken too.
        """
        for host in self._turn.ring if self._mean_util < 1 - RESERVE else ():
            for key, (request, sent) in list(host.out.items()):
                if sent >= host.passed[0]:
                    break
                cls, goal = request.cls, self.settings.classes[request.cls].latency_target_ns * GOAL_OF_AIM
                here = host.late_sum[cls] / max(host.late_n[cls], 0.1) * goal
                if now - sent <= WRITE_OFF * max(self._lat_sum[cls] / max(self._lat_n[cls], 1.0), here):
                    continue
                host.lost[key] = host.out.pop(key)
                self._open, request.lost = self._open - 1, request.lost + 1
                host.failed, self._silent = host.failed + 1, self._silent + 1
        for request in [request for host in self._turn.ring for request, _ in host.lost.values()]:
            room = self._open < self._limit * ROOM_FOR_ALL and not self._tight and self._retries.has_tokens
            if room and not request.closed and request.out == request.lost and self._may_repeat(request, now):
                other = self._pick(request, now)
                if other is not None:
                    self._retries.withdraw()
                    self._send(request, other, now)

    def _passing(self, event: api.RequestBodyProgressed, now: int) -> None:
        """An attempt whose body is on its way counts as written off; once that is whole, its time begins."""
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        (host, _, idle), key = request.attempts[event.attempt], (event.request, event.attempt)
        request.passing = True
        if not event.is_complete and key in host.out:
            host.lost[key] = host.out.pop(key)
            self._open, request.lost = self._open - 1, request.lost + 1
        elif event.is_complete and key in host.lost:
            del host.lost[key]
            host.out[key], request.attempts[event.attempt] = (request, now), (host, now, idle)
            self._open, request.lost = self._open + 1, request.lost - 1
            request.deadline_ns, request.half_ns = now + event.left_ns, now + event.left_ns // 2

    def _call_off(self, request: Request) -> None:
        """The request is over: what is still out for it is no use to anyone."""
        if request.out and self.settings.can_cancel_attempts:
            for attempt, (host, _, _) in enumerate(request.attempts):
                if (request.id, attempt) in host.out or (request.id, attempt) in host.lost:
                    self._out.append(api.CancelAttempt(request.id, attempt))

    def _late_to_connect(self, request: Request, now: int) -> bool:
        """Whether a connect that fails would end past half of the time of a request that reached no host.

        Guards against clients kept waiting for hosts that take no connection: they could ask elsewhere.
        """
        return not request.reached and now <= request.half_ns < now + min(
            self.settings.connect_timeout_ns, int((request.deadline_ns - now) * api.CONNECT_TIMEOUT_FRACTION)
        )

    def _gone(self, event: api.ClientDisconnected | api.StreamStarted, now: int) -> None:
        """The client has left, or has its stream: no answer is owed."""
        request = self._requests.get(event.request)
        if request is not None:
            request.closed = True
            if not request.out:
                del self._requests[request.id]

    # --- membership and cold hosts --------------------------------------------------------------

    def _listed(self, event: api.HostListUpdated, now: int) -> None:
        if event.kind is ListKind.FAILED:
            # Ask again, later each time and never in step, but inside the limit on silence.
            self._ask_wait_ns = min(self._ask_wait_ns * 2, self.settings.endpoint_poll_deadline_ns // 2)
            self._ask_at = now + int(self._ask_wait_ns * (0.5 + 0.5 * self._rng.random()))
            return
        if event.kind is not ListKind.SAVED:
            self._ask_wait_ns = self.settings.endpoint_poll_deadline_ns // 20
        if event.kind is not ListKind.DELTA:
            named = {entry.host for entry in event.entries}
            for name in [name for name in self._hosts if name not in named]:
                self._remove(name)
        changed = []
        for entry in event.entries:
            host = self._hosts.get(entry.host)
            if entry.state is HostState.REMOVED:
                self._remove(entry.host)
                continue
            if host is None:
                local = entry.zone == self.settings.zone
                self._hosts[entry.host] = host = Host(entry, local, 0, self._rng.random())
                changed.append(host)
            elif entry.started_ns > host.started_ns:
                host.forget(entry.started_ns, len(host.late_n))
            if host.ready is not (ready := entry.state is HostState.READY):
                host.ready = ready
                changed.append(host)
            host.draining, host.size = not ready, capacity_estimates.size_of(self.settings, entry)
            if host.draining:
                host.weight, host.tokens, host.credit = 0.0, 0, 0.0
            self._release(host, now)
        self._ranks.update(self._hosts.values(), changed)
        self._choose()
        self._weigh(now, 0.0)

    def _ring_size(self) -> int:
        least = RING_MIN if self.settings.connection_price > 0 else RING_MIN * RING_FREE
        return max(least, math.ceil(self._peak * RING_SPREAD))

    def _choose(self) -> None:
        """The hosts in use: a seeded subset of the ready ones, sized by the traffic, half of it local.

        Guards against hundreds of small proxies holding a connection each to every host, opened for one
        request and idle until it is dropped, and against reports too rare to tell hosts apart.
        Harm: a proxy whose few hosts are all bad is slow to find better ones.
        """
        self._ready = len(self._ranks)
        near, away = self._ranks.subset(self._ring_size())
        self._used = max(len(near), len(away)), len(away)  # a zone that has few hosts uses others for them
        ring = near + away
        used = {host.name for host in ring}
        if used == {host.name for host in self._turn.ring}:
            return
        for host in [host for host in self._turn.ring if host.name not in used]:
            host.weight, host.tokens = 0.0, 0
            if host.linked:  # each open one has a price and takes of the host's capacity
                host.linked = False
                self._out.append(api.CloseIdleConnections(host.name))
        for host in ring:
            host.begin(len(self._classes))
        self._turn.seat(ring)

    def _release(self, host: Host, now: int) -> None:
        """Close what is idle to a draining host: at the notice, at each outcome and, since what was given
        up becomes idle without an outcome, at each tick until the time for it has passed."""
        if host.draining and self.settings.drain_release_ns > 0:
            if host.out is not NOTHING:  # one never used has no connections
                self._closing[host.name] = host
            host.closing_ns = now + self.settings.drain_release_ns
            self._out.append(api.CloseIdleConnections(host.name))

    def _remove(self, name: str) -> None:
        host = self._hosts.pop(name, None)
        if host is not None:
            host.ready, host.weight, host.tokens = False, 0.0, 0
            self._ranks.discard(host)
            self._turn.ring = [other for other in self._turn.ring if other is not host]

    def _warmth(self, host: Host, now: int) -> float:
        """The least part of its capacity that a host started lately can be counted on for."""
        age, settings = now - host.started_ns, self.settings
        if host.started_ns <= 0 or age >= settings.warm_up_ns:
            return 1.0
        told = 0.0 if self._sized else slow_start.reported_fraction(host, self._kind_capacity.get(host.kind))
        return slow_start.warm_fraction(age, settings.initial_capacity, settings.warm_up_ns, told)

    def _cold_room(self, host: Host, now: int) -> bool:
        """Whether one more send keeps within this proxy's slice of a cold host's budget."""
        warmth = self._warmth(host, now)
        if warmth >= 1:
            return True
        settings, (near, away) = self.settings, self._used
        # Its kind's capacity, else the least of the kinds; before any report one request an aim, which
        # a host that keeps any goal can do.
        kinds, mean = ({}, 0.0) if self._sized else (self._kind_capacity, self._mean_capacity)
        capacity = kinds.get(host.kind, min(kinds.values(), default=mean or SECOND / self._unit_ns))
        # Only the proxies that have the host among theirs send to it: as many as chance has it.
        sharers = slow_start.proxies_per_host(
            settings.fleet_size, self._ranks.ready_per_zone, host.zone, near, away, self._part
        )
        rate = COLD_SLICE * settings.overload_multiple * warmth * capacity / sharers
        return slow_start.has_credit(host, now, rate, settings.overload_window_ns)

    # --- the tick -------------------------------------------------------------------------------

    def _part_changed(self, event: api.ProcessShareChanged, now: int) -> None:
        self._part = min(max(event.share, 0.01), 1.0)

    def _probed(self, event: api.HealthCheckEnded, now: int) -> None:
        host = self._hosts.get(event.host)
        if host is not None and event.report is not None:
            self._report(host, event.report, now)

    def _timer(self, event: api.TimerFired, now: int) -> None:
        """All work that costs time per host is done here, not on requests."""
        gap = max(0, now - self._ticked_ns) / self._unit_ns
        self._ticked_ns = now
        self._decay(gap)
        self._rate, self._lately = self._rate * math.exp(-gap / HEALTH_WINDOW), self._lately * math.exp(-gap)
        self._peak = max(float(self._open), self._peak * math.exp(-gap / CAPACITY_WINDOW))
        if min(size := self._ring_size(), self._ready) > (used := len(self._turn.ring)) or size * 2 < used:
            self._choose()
        self._write_off(now)
        throughput = capacity_estimates.size_in_use(self._turn.ring, self._ready)
        if self._sized and throughput > 0:  # before the limit, which takes a rate of 0 for no capacity
            self._size_used += throughput * gap * self._unit_ns / SECOND
            self._size_rate = self._size_asked * self.settings.fleet_size / self._size_used
        self._weigh(now, gap)
        self._steer_admission(gap)
        if throughput > 0 and self._served_rate > 0 and not self._sized:
            mine = self._served_rate / self._span  # the span is short after a restart, and so unbiased
            self._my_share = min(1.0, max(mine / throughput, 0.1 / self.settings.fleet_size))
        for cls, count in enumerate(self._lat_n):
            if count >= 1 and not self._tight and self._mean_util < 1 - RESERVE:
                self._quiet_ns[cls] = self._lat_sum[cls] / count
        if self._ask_at is not None and now >= self._ask_at:
            self._ask_at = None
            self._out.append(api.SubscribeToEndpoints())
        self._out += [api.CloseIdleConnections(name) for name in self._closing]
        for host in [host for host in self._closing.values() if not host.draining or host.closing_ns <= now]:
            del self._closing[host.name]
        # About one recompute a request: no oftener than there is news, and the cost goes by traffic.
        pause = self._unit_ns * min(HEALTH_WINDOW / max(self._rate, 1.0), PAUSE_MAX)
        self._out.append(api.SetTimer(now + max(self._tick_ns, int(pause)), 0))
