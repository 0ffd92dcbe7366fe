"""What becomes of zones: how near each is, how well, and how much of this proxy's traffic it may be given.

`ZoneRouter` is told of sends, of their ends, of the list and, at each tick, of what each zone's hosts report.
It answers which zones take part, the part of its spare that each may offer, and whether one more request
may go to a zone now.  It is pure: no clock, no I/O, nothing drawn.  `docs/design/zones.md` weighs the ways.

- Tiers come from the operator's rules, or from what answers of a zone take at the least.
- Spill is limited by grants: requests a second that a zone other than one's own may be sent.  All proxies
  together raise theirs by no more than a part of the zone's spare a second, without talking: each raises
  by its part of the traffic of the zone that is in trouble, and those parts add up to one.
- A lost zone comes back by slow start: its grant grows as it answers.
- Flaps are damped as BGP damps routes (RFC 2439): a penalty for each loss, that halves with time, and
  above a limit keeps the zone out; bounded, so that the wait for trust is.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from brambleusher.loadbalancing.api import AttemptStatus, ZoneRules

SECOND = 1e9
HALVING = 0.693  # a count that halves in a time is its rate by that time over this

# Evidence.  A node is dark when what it was sent is not answered; a zone is lost when all of its nodes that
# were sent anything are, for so many shortest aims by the number of them: several at once count for more.
LOST_AIMS = (2.0, 1.0, 0.5)
SUSPECT_PART = 0.5  # of that time: suspected
MISSING = 4.0  # answers that should have come by then, at the rate of lately: silence by chance is shorter
DARK_STREAK = 2  # ends in a row without any answer: dark, whatever their age
HEARD_AIMS = 2.0  # a node that answered within these counts as heard of
GREY_PART = 0.15  # of the ends lately went wrong, at two nodes or more: suspected
GREY_ENDS = 6.0  # of these at least
GREY_AIMS = 8.0  # half-life of those counts
CLEAR_AIMS = 2.0  # nothing wrong for so long: no longer suspected
SUSPECT_OFFER = 0.5  # of its spare
SHORT_PART = 0.25  # of the shortest aim: what timed out sooner had no time, which says nothing of the node
UNANSWERED = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET, AttemptStatus.TIMEOUT})
ANSWERED = frozenset({AttemptStatus.OK, AttemptStatus.OVERLOADED, AttemptStatus.ERROR})
PROOF = 3  # connects failed in a row, over a zone: that it can't be reached is not to be doubted

# Probes: single requests that may be sent again, to a zone that is out.
PROBE_AIMS, PROBE_AIMS_MOST = 1.0, 4.0  # the pause between two, doubled while they fail
HELD_AIMS = 8.0  # the pause where a zone answers and is held: probes of many proxies are traffic too
UNTRIED_AIMS = 8.0  # without a request that may try it, a zone is taken back unseen, as gently as ever
MISSED = 2  # probes of a zone that is held, unanswered in a row: it is lost once more

# The way back.
TRUSTED = 0.5  # a penalty below this trusts the zone again; each loss adds 1
ONLY_NODE = 0.4  # what the loss of a zone adds whose only node left the list: nodes are replaced every day
NEED, NEED_AIMS = 0.1, 1.0  # of what comes fits nowhere for so long: zones held for flapping are let in
NEEDED_AIMS = 4.0  # so long after anything fitted nowhere zones on their way back are needed
NEEDED_TIMES = 2.0  # what a returning zone can do is then granted: nodes queue for a while
NEEDED_S = 0.15  # the grant of a returning zone doubles in this time where what comes fits nowhere else
START_PART = 0.1  # of what the zone can do is offered at first, by all proxies together
DOUBLING_S = 0.6  # the grant of a returning zone doubles in this time, while it answers
ANSWERED_TIMES = 2.0  # and is never over so many times what it answers
WELL_AIMS = 6.0  # so long without want or trouble: it is healthy

# Spill.
LAG_AIMS = 1.0  # half-life of what was granted and reports can't show yet
UNUSED_S = 2.0  # a grant that is not used lapses over this time
HEADROOM_S = 0.25  # of spill is granted ahead of use
BURST_S = 0.3  # of a grant may come at once, or one request
WANTED = 0.98  # of a grant is given out: more is wanted
LEAST_AN_AIM = 0.25  # request that a zone which takes part is granted at least, by each proxy
KEEP = 1.25  # times what is used stays granted
SHARE_AIMS = 16.0  # half-life of this proxy's part of a zone's traffic
USED_AIMS = 1.0  # half-life of what a zone answers
STRAIN_PULL = 0.5  # of a grant goes in a second where the zone is full, less as it is less over its strain
EVACUATION_S = 10.0  # an evacuated zone is offered less over this time, down to nothing

# Learned tiers.
COST_PART = 0.02  # of the shortest aim: what costs less more to cross to is as near
COST_QUANTILE = 0.2  # of the times of a class's answers: the low ones say more of the way than of the work
COST_STEP = 0.002  # of the shortest aim: a quantile moves so far at each answer, up and down by its odds
COST_ENDS = 40  # answers of a class before its times count
RANK_AIMS = 4.0  # between two rankings


class ZoneState(Enum):
    """What this proxy makes of a zone."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    LOST = "lost"
    RETURNING = "returning"


@dataclass(slots=True)
class ZoneLoad:
    """A zone's ready hosts at one tick; rates are requests a second."""

    hosts: int = 0
    capacity: float = 0.0  # at this moment: cold hosts count for what they can do
    used: float = 0.0  # of it
    throughput: float = 0.0
    mass: float = 0.0  # what its hosts' weights add up to before the zone's part
    strained: bool = False  # own requests are late there, or turned away
    dark: dict[str, int] = field(default_factory=dict)  # hosts with an attempt out unanswered: since when


@dataclass
class NodeHealth:
    """What is known of one host's answers."""

    heard_ns: int = 0  # its last answer of any kind
    streak: int = 0  # ends without one since
    since_ns: int = 0  # the first of these was sent
    gone_wrong: float = 0.0  # ends lately, errors included


@dataclass
class Zone:
    """One zone: state, evidence, penalty, grant."""

    name: str
    state: ZoneState = ZoneState.HEALTHY
    since_ns: int = 0
    reason: str = "nothing speaks against it"
    nodes: dict[str, NodeHealth] = field(default_factory=dict)
    ready: list[str] = field(default_factory=list)
    ended: float = 0.0  # ends lately
    wrong_ns: int = 0  # the last time anything spoke against it
    heard_ns: int = 0  # the last answer of any of its hosts
    missed: int = 0  # ends without an answer in a row, over all its hosts
    unreached: int = 0  # of these, connects that failed, in a row
    # The way back.
    penalty: float = 0.0
    losses: int = 0
    held: bool = False  # it answers, and is not trusted yet
    listed_out: bool = False  # lost because its nodes left the list, and for nothing else
    probe_ns: int = 0  # the next one is due
    tried_ns: int = 0  # the last one was made
    probe_pause_ns: int = 0
    probe_at: int = 0  # turn among its hosts
    wanted_ns: int = 0  # the last time its grant was too small
    leaving_ns: int = 0  # its evacuation began
    # Traffic.
    answered: float = 0.0  # lately, own
    own_part: float = -1.0  # this proxy's part of the zone's traffic; below 0: not known
    grant: float = 0.0  # requests a second
    grown: float = 0.0  # of it, what reports can't show yet
    limit: float = -1.0  # requests a second; below 0: none
    level: float = 0.0  # requests that may go now, under a limit
    level_ns: int = 0
    part: float = 1.0  # of its spare that it may offer
    calm: bool = True  # well and not busy: the times of its answers speak of the way there
    cost_ns: dict[int, float] = field(default_factory=dict)  # by class, a low quantile of answers' times
    cost_n: dict[int, int] = field(default_factory=dict)
    tier: int = 0

    @property
    def out(self) -> bool:
        """Whether it takes no part, unless the evidence is doubted."""
        return self.state is ZoneState.LOST or self.held

    @property
    def ramps(self) -> bool:
        """Whether its limit is on its way up, or down to nothing."""
        return self.state is ZoneState.RETURNING or bool(self.leaving_ns)

    @property
    def proven(self) -> bool:
        """Whether that it is out is beyond doubt: connects fail."""
        return self.state is ZoneState.LOST and self.unreached >= PROOF


def tiers_for(rules: ZoneRules, own: str) -> list[list[tuple[str, float]]] | None:
    """The operator's tiers after one's own zone: zones with weights; None where they are to be learned."""
    if not rules.neighbours:
        return None
    return [list(tier) for zone, tiers in rules.neighbours if zone == own for tier in tiers]


def fill(demand: float, masses: Mapping[str, float], limits: Mapping[str, float]) -> dict[str, float]:
    """Share a demand out by mass, none over its limit (below 0: none); what is over goes to the others.

    Returns requests a second by zone; their sum is less than the demand where all limits are reached.
    """
    given: dict[str, float] = {}
    left, free = demand, {name: mass for name, mass in masses.items() if mass > 0}
    while free:
        total = sum(free.values())
        full = [name for name, mass in free.items() if 0 <= limits[name] <= left * mass / total]
        if not full:
            given.update({name: left * mass / total for name, mass in free.items()})
            break
        for name in full:
            given[name] = limits[name]
            del free[name]
        left = max(demand - sum(given.values()), 0.0)
    return given


class ZoneRouter:
    """All zones as one proxy sees them; without rules nothing is judged and all take part."""

    def __init__(self, rules: ZoneRules | None, own: str, unit_ns: int, fleet_size: int) -> None:
        self.rules, self.own = rules, own
        self.unit_ns, self.fleet_size = unit_ns, fleet_size
        self.zones: dict[str, Zone] = {}
        self.panic = False
        self.beyond = 0.0  # the part of what comes that fits nowhere
        self.pressed_ns = 0  # the last time any did
        self.short_ns = 0  # since when that is too much; 0: it is not
        self.said: list[str] = []  # for the log
        self.open: dict[int, float] = {}  # by tier: the part of its spare that it offers, by use
        self.weights: dict[str, float] = {}  # within a tier, as the rules have them
        self.blind_ns = 0  # silence before this moment says nothing: this proxy itself stood still
        self._ranked_ns = self._ticked_ns = 0

    # --- rules ----------------------------------------------------------------------------------

    def set_rules(self, rules: ZoneRules | None, now: int) -> None:
        """New rules; zones that they trust are held for flapping no more."""
        before, self.rules = self.rules, rules
        if rules is None:
            self.panic, self.beyond = False, 0.0
            for zone in self.zones.values():
                zone.state, zone.held, zone.limit, zone.leaving_ns = ZoneState.HEALTHY, False, -1.0, 0
                zone.reason, zone.penalty = "the operator's rules are gone", 0.0
            return
        for zone in self.zones.values():
            if zone.name in rules.flap_exempt:
                zone.penalty, zone.probe_ns, zone.probe_pause_ns = 0.0, now, 0
                self._say(zone, "is trusted now, as the operator's rules have it")
            left = before is not None and zone.name in before.evacuated
            if zone.name in rules.evacuated and not left:
                zone.leaving_ns = now
                self._say(zone, "is being evacuated, as the operator's rules have it")
            elif left and zone.name not in rules.evacuated:
                zone.leaving_ns = 0
                if zone.state is not ZoneState.LOST:
                    self._to(zone, ZoneState.RETURNING, "the operator's rules evacuate it no more", now)
        self._rank()

    def _rank(self) -> None:
        """Each zone's tier: own 0, then the rules' or the learned ones, at last all that is not named."""
        tiers = None if self.rules is None else tiers_for(self.rules, self.own)
        if tiers is None:
            self.weights = {}
            self._rank_by_cost()
        else:
            self.weights = {name: weight for tier in tiers for name, weight in tier}
            named = {name: at for at, tier in enumerate(tiers, 1) for name, _ in tier}
            for name, zone in self.zones.items():
                zone.tier = named.get(name, len(tiers) + 1)
        if self.own in self.zones:
            self.zones[self.own].tier = 0

    def _rank_by_cost(self) -> None:
        """ZoneRouter that quick answers take as long from are as near; one not known yet is in tier 1.

        Classes are compared each with itself: the mean of what a zone's quick answers take more than those
        of the nearest.
        """
        usual: dict[int, list[float]] = {}
        far = {name: zone for name, zone in self.zones.items() if name != self.own}
        for zone in far.values():
            for cls, count in zone.cost_n.items():
                if count >= COST_ENDS:
                    usual.setdefault(cls, []).append(zone.cost_ns[cls])
        known = []
        for name, zone in far.items():
            more = [
                zone.cost_ns[cls] - min(times)
                for cls, times in usual.items()
                if len(times) > 1 and zone.cost_n.get(cls, 0) >= COST_ENDS
            ]
            if more:
                known.append((sum(more) / len(more), name))
        known.sort()
        for zone in self.zones.values():
            zone.tier = 1
        tier, first = 1, known[0][0] if known else 0.0
        for cost, name in known:
            if cost - first > COST_PART * self.unit_ns:
                tier, first = tier + 1, cost
            self.zones[name].tier = tier

    # --- what is told ---------------------------------------------------------------------------

    def listed(self, ready: Mapping[str, list[str]], draining: Mapping[str, list[str]], now: int) -> None:
        """The list as it stands: by zone, hosts that are ready and hosts that drain."""
        for name in {**ready, **draining}:  # in their order, which no hash of a name changes
            if name not in self.zones:
                zone = self.zones[name] = Zone(name, since_ns=now, heard_ns=now)
                if self.rules is not None and name in self.rules.evacuated:
                    zone.leaving_ns = max(now - int(EVACUATION_S * SECOND), 1)
        for name, zone in self.zones.items():
            before, zone.ready = zone.ready, sorted(ready.get(name, ()))
            there = {*zone.ready, *draining.get(name, ())}
            zone.nodes = {host: node for host, node in zone.nodes.items() if host in there}
            if before and not zone.ready and self.rules is not None and zone.state is not ZoneState.LOST:
                if draining.get(name):
                    zone.reason = "drained in order"
                elif len(before) > 1:
                    self._lose(zone, f"all its {len(before)} nodes left the list without a drain", now)
                    zone.listed_out = True
                else:
                    self._lose(zone, "its only node left the list without a drain", now, ONLY_NODE)
                    zone.listed_out = True
            elif zone.ready and not before and zone.out:
                zone.probe_ns, zone.probe_pause_ns, zone.unreached = now, 0, 0
                if zone.listed_out and self.rules is not None:  # as it said that it was not
                    self._back(zone, "it is listed again", now)
        self._rank()

    def sent(self, name: str, now: int) -> None:
        """One request more goes there."""
        zone = self.zones.get(name)
        if zone is not None and zone.limit >= 0:
            self._refill(zone, now)
            zone.level -= 1.0

    def ended(
        self, name: str, host: str, cls: int, status: AttemptStatus, sent_ns: int, latency_ns: int, now: int
    ) -> None:
        """How an attempt there ended."""
        zone = self.zones.get(name)
        if zone is None or host not in zone.ready or status not in ANSWERED | UNANSWERED:
            return
        if status is AttemptStatus.TIMEOUT and latency_ns < self.unit_ns * SHORT_PART:
            return
        node = zone.nodes.setdefault(host, NodeHealth())
        zone.ended += 1
        if status in ANSWERED:
            node.heard_ns, node.streak = now, 0
            zone.heard_ns, zone.missed, zone.unreached = now, 0, 0
            zone.probe_pause_ns = 0
            zone.answered += status is AttemptStatus.OK
            node.gone_wrong += status is AttemptStatus.ERROR
            if status is AttemptStatus.OK and zone.calm:
                self._time(zone, cls, float(latency_ns))
            return
        if not node.streak:
            node.since_ns = sent_ns
        node.streak += 1
        node.gone_wrong += 1
        zone.missed += 1
        if zone.held:  # soon once more: is it lost again?
            zone.probe_ns, zone.probe_pause_ns = min(zone.probe_ns, now + int(PROBE_AIMS * self.unit_ns)), 0
        zone.unreached = zone.unreached + 1 if status is AttemptStatus.CONNECT_FAILED else 0

    def _time(self, zone: Zone, cls: int, latency_ns: float) -> None:
        """Stochastic approximation of a quantile (Robbins and Monro): up and down by its odds."""
        count = zone.cost_n.get(cls, 0)
        zone.cost_n[cls] = min(count + 1, COST_ENDS)
        was, step = zone.cost_ns.get(cls, latency_ns), COST_STEP * self.unit_ns
        if count < COST_ENDS:
            step *= 4
        zone.cost_ns[cls] = was + step * (COST_QUANTILE if latency_ns > was else COST_QUANTILE - 1)

    def stood_still(self, now: int) -> None:
        """This proxy did nothing for a while: that nothing was answered meanwhile says nothing."""
        self.blind_ns = now

    # --- what is asked --------------------------------------------------------------------------

    def shut(self, name: str) -> bool:
        """Whether a zone takes no part."""
        zone = self.zones.get(name)
        if self.rules is None or zone is None or not zone.out:
            return False
        return not self.panic or (zone.proven and not all(each.proven for each in self.zones.values()))

    def doubtful(self, name: str) -> bool:
        """Whether what must not run twice had better go elsewhere."""
        zone = self.zones.get(name)
        return self.rules is not None and zone is not None and (zone.out or zone.state is ZoneState.SUSPECT)

    def part_of(self, name: str) -> float:
        """The part of their spare that a zone's hosts may offer."""
        zone = self.zones.get(name)
        return 1.0 if zone is None else zone.part

    @property
    def troubled(self) -> bool:
        """Whether any zone is out or on its way back, so that the others have more to carry."""
        return any(zone.out or zone.ramps for zone in self.zones.values())

    def share_of(self, name: str) -> float:
        """This proxy's part of what a zone can do: half by its part of the traffic before, half evenly.

        Over all proxies both halves add up, and one that had no traffic there can still come.
        """
        zone = self.zones.get(name)
        part = 1.0 / self.fleet_size if zone is None else self._part(zone)
        return (part + 1.0 / self.fleet_size) / 2

    def needed(self, now: int) -> bool:
        """Whether what comes did not fit lately, so that zones on their way back must take more."""
        return bool(self.pressed_ns) and now - self.pressed_ns <= NEEDED_AIMS * self.unit_ns

    def admits(self, name: str, now: int, ahead: bool = False) -> bool:
        """Whether one more request may go to a zone now; `ahead`: or could soon, by a burst at most."""
        zone = self.zones.get(name)
        if self.rules is None or zone is None or zone.limit < 0:
            return True
        self._refill(zone, now)
        return zone.level >= (1.0 - max(1.0, zone.limit * BURST_S) if ahead else 1.0)

    def probe(self, now: int) -> Zone | None:
        """A zone that is out and due to be tried with one request."""
        for zone in self.zones.values():
            if zone.ready and zone.probe_ns <= now and self.shut(zone.name):
                return zone
        return None

    def probed(self, zone: Zone, now: int) -> None:
        """It is being tried; the next try comes later while none is answered."""
        unit = self.unit_ns
        often = max(1.0, zone.penalty)  # one that flaps is tried the less, the more it does
        pause = min(max(2 * zone.probe_pause_ns, int(PROBE_AIMS * unit)), int(PROBE_AIMS_MOST * often * unit))
        zone.probe_pause_ns = int(HELD_AIMS * often * unit) if zone.held and not zone.missed else pause
        zone.probe_ns, zone.probe_at = now + zone.probe_pause_ns, zone.probe_at + 1
        zone.tried_ns = now

    @staticmethod
    def _refill(zone: Zone, now: int) -> None:
        most = max(1.0, zone.limit * BURST_S)
        zone.level = min(zone.level + zone.limit * max(now - zone.level_ns, 0) / SECOND, most)
        zone.level_ns = now

    # --- the tick -------------------------------------------------------------------------------

    def tick(
        self, now: int, gap: float, loads: Mapping[str, ZoneLoad], rate: float, hold: float, floor: float
    ) -> bool:
        """Judge all zones anew; `gap` is the time since the last tick in aims, `rate` what comes a second.

        `hold` is the use of nearer hosts above which further ones help, `floor` the part that those always
        offer.  Says whether a zone came to take part, or ceased to.
        """
        if self.rules is None:
            return False
        before = [self.shut(name) for name in self.zones]
        for name, zone in self.zones.items():
            self._fade(zone, gap)
            self._judge(zone, loads.get(name) or ZoneLoad(), now)
        self._doubt(loads)
        if now - self._ranked_ns > RANK_AIMS * self.unit_ns:
            self._ranked_ns = now
            self._rank()
        self._steer(gap, loads, hold, floor)
        self._grant(now, gap, loads, rate, hold)
        return before != [self.shut(name) for name in self.zones]

    def _fade(self, zone: Zone, gap: float) -> None:
        assert self.rules is not None
        kept = 0.5 ** (gap / GREY_AIMS)
        zone.ended *= kept
        for node in zone.nodes.values():
            node.gone_wrong *= kept
        zone.answered *= 0.5 ** (gap / USED_AIMS)
        zone.grown *= 0.5 ** (gap / LAG_AIMS)
        zone.penalty *= 0.5 ** (gap * self.unit_ns / self.rules.flap_penalty_half_life_ns)

    # --- states ---------------------------------------------------------------------------------

    def _judge(self, zone: Zone, load: ZoneLoad, now: int) -> None:
        """One zone's state, by what speaks for and against it now."""
        unit = self.unit_ns
        if zone.state is ZoneState.LOST:
            return self._return(zone, now)
        if zone.held:
            return self._hold(zone, now)
        dark = dict(load.dark)
        for name, node in zone.nodes.items():
            if node.streak >= DARK_STREAK:
                dark[name] = min(dark.get(name, now), node.since_ns)
        heard = sum(
            name not in dark and now - node.heard_ns <= HEARD_AIMS * unit for name, node in zone.nodes.items()
        )
        least = min(2, len(zone.ready))
        # Since when nobody there has answered what was asked before: all dark nodes, and no other's answer.
        quiet = now - max(zone.heard_ns, self.blind_ns, min(dark.values(), default=now))
        all_dark = len(dark) >= max(least, 1) and len(dark) >= heard
        need = LOST_AIMS[min(len(dark), len(LOST_AIMS)) - 1] * unit if dark else 0.0
        chance = MISSING * unit * USED_AIMS / (HALVING * max(zone.answered, 1e-9))
        need = max(need, min(chance, LOST_AIMS[0] * unit))
        wrong = sum(node.gone_wrong for node in zone.nodes.values())
        several = sum(node.gone_wrong >= 0.5 for node in zone.nodes.values()) >= least
        grey = several and zone.ended >= GREY_ENDS and wrong >= GREY_PART * zone.ended
        suspect = grey or (all_dark and quiet >= need * SUSPECT_PART)
        if suspect:
            zone.wrong_ns = now
        told = f"{len(dark)} of {len(zone.ready)} nodes dark, no answer for {quiet / SECOND:.2f} s"
        if all_dark and quiet >= need:
            self._lose(zone, told, now)
        elif zone.state is ZoneState.RETURNING:
            if now - max(zone.since_ns, zone.wanted_ns, zone.wrong_ns) > WELL_AIMS * unit:
                self._to(zone, ZoneState.HEALTHY, "it answers all that it is sent", now)
        elif suspect:
            if grey:
                told = f"{wrong / zone.ended:.0%} of what ended lately went wrong, at several nodes"
            self._to(zone, ZoneState.SUSPECT, told, now)
        elif zone.state is ZoneState.SUSPECT and now - zone.wrong_ns > CLEAR_AIMS * unit:
            self._to(zone, ZoneState.HEALTHY, "nothing speaks against it any more", now)

    def _lose(self, zone: Zone, reason: str, now: int, penalty: float = 1.0) -> None:
        rules, flapping = self.rules, zone.held
        assert rules is not None
        zone.losses += 1
        zone.listed_out = False
        if rules.max_flap_hold_ns > 0:
            most = TRUSTED * 2.0 ** (rules.max_flap_hold_ns / rules.flap_penalty_half_life_ns)
            zone.penalty = min(zone.penalty + penalty, most)
        zone.grant = zone.grown = zone.level = 0.0
        zone.held, zone.missed = False, 0
        zone.probe_pause_ns = int(PROBE_AIMS * self.unit_ns)
        zone.probe_ns = now + zone.probe_pause_ns
        for node in zone.nodes.values():
            node.streak = 0
        self._to(zone, ZoneState.LOST, reason, now, quiet=flapping)

    def _return(self, zone: Zone, now: int) -> None:
        """A lost zone that has answered since is on its way back, once its penalty trusts it."""
        if not zone.ready:
            return
        if zone.heard_ns > zone.since_ns:
            self._back(zone, "it answers again", now)
        elif now - max(zone.since_ns, zone.tried_ns) > UNTRIED_AIMS * self.unit_ns:
            self._back(zone, "no request came that may try it", now)

    def _back(self, zone: Zone, reason: str, now: int) -> None:
        flaps = zone.losses > 1
        zone.held = zone.penalty >= TRUSTED
        if zone.held:
            reason += f", and is held after {zone.losses} losses"
        self._to(zone, ZoneState.RETURNING, reason, now, quiet=zone.held and flaps)

    def _hold(self, zone: Zone, now: int) -> None:
        if zone.missed >= MISSED:
            self._lose(zone, f"{zone.missed} probes in a row were not answered", now)
        elif not zone.ready:
            self._lose(zone, "its nodes left the list", now, ONLY_NODE)
            zone.listed_out = True
        elif zone.penalty < TRUSTED:
            zone.held = False
            self._to(zone, ZoneState.RETURNING, "it answers and is trusted again", now)
        elif self.short_ns and now - self.short_ns > NEED_AIMS * self.unit_ns:
            zone.held = False
            self._to(zone, ZoneState.RETURNING, "it answers and is needed, trusted or not", now)

    def _to(self, zone: Zone, state: ZoneState, reason: str, now: int, quiet: bool = False) -> None:
        if zone.state is state and state is ZoneState.SUSPECT:
            zone.reason = reason
            return
        zone.state, zone.reason, zone.since_ns = state, reason, now
        if state is ZoneState.RETURNING:
            zone.grant = zone.level = 0.0
            zone.level_ns = zone.wanted_ns = now
        if not quiet:
            self._say(zone, f"is {state.value}: {reason}")

    def _say(self, zone: Zone, text: str) -> None:
        self.said.append(f"zone {zone.name} {text}")

    def _doubt(self, loads: Mapping[str, ZoneLoad]) -> None:
        """Panic: few nodes seem well, and those are pressed: it may be this proxy that is ill.

        A zone that connects can't reach stays out: that is no matter of doubt.
        """
        rules = self.rules
        assert rules is not None
        total = sum(len(zone.ready) for zone in self.zones.values())
        well, pressed, was = 0, True, self.panic
        strain = rules.max_utilisation - (0.1 if was else 0.0)  # once in doubt, only clear relief ends it
        for name, zone in self.zones.items():
            if zone.out or not zone.ready:
                continue
            load = loads.get(name) or ZoneLoad()
            well += len(zone.ready) - len(load.dark)
            pressed &= load.strained or load.used > strain * load.capacity
        self.panic = total > 0 and pressed and well < rules.panic_threshold * total
        if not any(zone.ready and not zone.out for zone in self.zones.values()) and total:
            self.panic = True  # whatever the rules say: nothing is left to go by
        if self.panic != was:
            text = (
                f"panic: {well} of {total} nodes seem well: all zones are used"
                if self.panic
                else "panic is over"
            )
            self.said.append(f"zones: {text}")

    # --- traffic --------------------------------------------------------------------------------

    def _steer(self, gap: float, loads: Mapping[str, ZoneLoad], hold: float, floor: float) -> None:
        """How much of its spare each tier offers, by the use of the tiers before it."""
        here, strained, counted = [0.0, 0.0], 0, 0
        for tier in sorted({zone.tier for zone in self.zones.values()}):
            names = [name for name, zone in self.zones.items() if zone.tier == tier and not self.shut(name)]
            there = [loads[name] for name in names if name in loads and loads[name].hosts]
            used, capacity = sum(load.used for load in there), sum(load.capacity for load in there)
            if not here[1]:
                self.open[tier] = 1.0
            elif capacity:
                util, away = here[0] / here[1], used / capacity
                util = 1.0 if strained * 2 > counted else util
                error = (util - hold) / (1 - hold) if util > hold else (util - hold) / hold
                if util > hold:  # tiers as busy as each other gain nothing by exchanging work
                    error = min(error, (util - away) / (1 - hold))
                was = self.open.get(tier, floor)
                self.open[tier] = min(1.0, max(floor, was + 0.5 * error * gap))
            # One on its way back, or out, is at its limit, however little it is used.
            full = [
                loads[name] for name in names
                if name in loads and loads[name].hosts and not self.zones[name].ramps
            ]  # fmt: skip
            here[0] += sum(load.used for load in full)
            here[1] += sum(load.capacity for load in full)
            strained += sum(load.strained for load in full)
            counted += len(full)

    def _share(self, loads: Mapping[str, ZoneLoad], hold: float) -> float:
        """This proxy's part of what spills: its part of the traffic of the zones in trouble.

        Over all proxies these parts add up to one, whoever they are, since each zone's traffic is all theirs.
        """
        troubled = [zone for zone in self.zones.values() if zone.out or zone.state is ZoneState.RETURNING]
        own = self.zones.get(self.own)
        if own is not None and own not in troubled:
            load = loads.get(self.own) or ZoneLoad()
            if load.strained or load.used > hold * load.capacity or own.leaving_ns:
                troubled.append(own)
        parts = [self._part(zone) for zone in troubled]
        return max(sum(parts) / len(parts) if parts else 0.0, 0.25 / self.fleet_size)

    def _part(self, zone: Zone) -> float:
        """Of a zone's traffic, this proxy's; where it is not known, as if all zones were alike."""
        if zone.own_part >= 0:
            return zone.own_part
        return min(1.0, max(len(self.zones), 1) / self.fleet_size) if zone.name == self.own else 0.0

    def _grant(self, now: int, gap: float, loads: Mapping[str, ZoneLoad], rate: float, hold: float) -> None:
        """Limits and parts of all zones: what comes is shared out by spare and tier, within the grants."""
        rules = self.rules
        assert rules is not None
        seconds = gap * self.unit_ns / SECOND
        per_s = HALVING / (USED_AIMS * self.unit_ns / SECOND)  # of a count that halves in `USED_AIMS`
        share = self._share(loads, hold)
        masses: dict[str, float] = {}
        for name, zone in self.zones.items():
            load, used = loads.get(name) or ZoneLoad(), zone.answered * per_s
            if zone.state is ZoneState.HEALTHY and load.throughput > 0 and not zone.leaving_ns:
                part = min(1.0, used / load.throughput)
                kept = 0.5 ** (gap / SHARE_AIMS) if zone.own_part >= 0 else 0.0
                zone.own_part = zone.own_part * kept + part * (1 - kept)
            zone.calm = zone.state is ZoneState.HEALTHY and load.used < hold * load.capacity
            if not load.hosts or self.shut(name):
                zone.limit = -1.0
                continue
            spare = max(rules.max_utilisation * load.capacity - load.used, 0.0) * share
            self._regrant(zone, load, used, spare, seconds, now)
            offer = self._tier_offer(zone.tier) * self.weights.get(name, 1.0)
            masses[name] = load.mass * offer * (SUSPECT_OFFER if zone.state is ZoneState.SUSPECT else 1.0)
            zone.limit = self._limit_of(zone, load, rate, now)
        self._ticked_ns = now
        if self.panic:
            for zone in self.zones.values():
                zone.part, zone.limit = 1.0, -1.0
            self.beyond = 0.0
            return
        limits = {name: self.zones[name].limit for name, mass in masses.items() if mass > 0}
        given = fill(rate, masses, limits)
        for name, limit in limits.items():
            zone = self.zones[name]
            full = zone.state is ZoneState.RETURNING and zone.grant >= self._most(zone, loads[name], now)
            if limit >= 0 and given[name] >= WANTED * limit and not full:
                zone.wanted_ns = now
        parts = {name: amount / loads[name].mass for name, amount in given.items()}
        most = max(parts.values(), default=0.0)
        for name in masses:
            zone = self.zones[name]
            zone.part = parts[name] / most if most > 0 and name in parts else self._tier_offer(zone.tier)
        # What fits nowhere: only where each zone that could take it has a limit.
        short = rate > 0 and limits and all(self.zones[name].limit >= 0 for name in masses)
        self.beyond = max(0.0, 1.0 - sum(given.values()) / rate) if short else 0.0
        self.short_ns = (self.short_ns or now) if self.beyond > NEED else 0
        if self.beyond > 0:
            self.pressed_ns = now

    def _tier_offer(self, tier: int) -> float:
        """What a tier offers once those before it do."""
        offer = 1.0
        for at, part in self.open.items():
            if at <= tier:
                offer *= part
        return offer

    def _regrant(
        self, zone: Zone, load: ZoneLoad, used: float, spare: float, seconds: float, now: int
    ) -> None:
        """Let a zone's grant grow while it is wanted, fall where the zone is strained, lapse where unused."""
        rules = self.rules
        assert rules is not None
        wanted = zone.wanted_ns == self._ticked_ns  # at the last tick
        if zone.state is ZoneState.RETURNING:
            start = START_PART * load.capacity * self.share_of(zone.name)
            start = max(start, LEAST_AN_AIM * SECOND / self.unit_ns)
            if wanted and self.needed(now):  # up to its limit; it is told that it is no more by its silence
                zone.grant *= 2 ** (seconds / NEEDED_S)
            elif wanted:
                most = max(ANSWERED_TIMES * used, start)
                zone.grant = min(zone.grant * 2 ** (seconds / DOUBLING_S), most)
            zone.grant = max(zone.grant, start)
            return
        over = load.used / load.capacity - rules.max_utilisation if load.capacity else 0.0
        over = min(over / max(1 - rules.max_utilisation, 0.01), 1.0)
        over = max(over, 0.5) if load.strained else over
        if over > 0:
            zone.grant *= max(0.0, 1.0 - STRAIN_PULL * over * seconds)
        elif wanted:
            step = max(min(rules.spill_rate * spare * seconds, spare - zone.grown), 0.0)
            zone.grant, zone.grown = zone.grant + step, zone.grown + step
        else:
            keep = KEEP * used + rules.spill_rate * spare * HEADROOM_S
            zone.grant += (keep - zone.grant) * min(seconds / UNUSED_S, 1.0)
        # One request in a few aims at least: a zone that nothing is sent to tells nothing.
        zone.grant = max(zone.grant, used if over <= 0 else 0.0, LEAST_AN_AIM * SECOND / self.unit_ns)

    def _limit_of(self, zone: Zone, load: ZoneLoad, rate: float, now: int) -> float:
        """Requests a second that a zone may be sent by this proxy; below 0: any."""
        rules = self.rules
        assert rules is not None
        if zone.leaving_ns:
            left = 1.0 - (now - zone.leaving_ns) / (EVACUATION_S * SECOND)
            return max(left, 0.0) * rate
        if zone.state is ZoneState.RETURNING:
            most = self._most(zone, load, now)
            return min(zone.grant, most) if load.capacity else zone.grant
        # Before any report there is nothing to go by.
        return -1.0 if zone.name == self.own or not load.capacity else zone.grant

    def _most(self, zone: Zone, load: ZoneLoad, now: int) -> float:
        """The most that a returning zone is granted: this proxy's part of what it can do at this moment."""
        assert self.rules is not None
        times = NEEDED_TIMES if self.needed(now) else self.rules.max_utilisation
        return self.share_of(zone.name) * times * load.capacity

    # --- to be looked at ------------------------------------------------------------------------

    def standing(self, now: int) -> list[dict[str, object]]:
        """All zones, for people: plain values."""
        return [
            {
                "zone": zone.name, "tier": zone.tier, "state": zone.state.value, "reason": zone.reason,
                "for_s": round(max(now - zone.since_ns, 0) / SECOND, 1), "ready": len(zone.ready),
                "losses": zone.losses, "held": zone.held, "part": round(zone.part, 3),
                "limit_per_s": None if zone.limit < 0 else round(zone.limit, 2),
                "evacuating": bool(zone.leaving_ns),
            }
            for zone in sorted(self.zones.values(), key=lambda zone: (zone.tier, zone.name))
        ]  # fmt: skip
