"""The service without its sockets, files and threads: events in, what to write and to send out.

The owner tells it of discovery, subscribers, reports, other instances, the disk and the time; asks
`to_write` for the place that must be on durable storage next; and asks each stream for its next
response.  Nothing here waits.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from brambleusher.loadbalancing.api import HostListUpdated, HostState, ListKind, Settings, TimerFired
from brambleusher.loadbalancing.fleet_balancer import FleetBalancer, host_statuses
from brambleusher.loadbalancing.locality_weights import (
    LocalityWeights,
    WeightDamper,
    WeightRounder,
    group_by_locality,
)
from brambleusher.loadbalancing.view_consistency import (
    PeerStatus,
    ViewConsistency,
    ViewPosition,
    WithheldReason,
)
from brambleusher.net.endpoint_list import Endpoint, EndpointListUpdate
from brambleusher.xds.config import ControlConfig, Group
from brambleusher.xds.faults import ProtocolError
from brambleusher.xds.loads import Loads
from brambleusher.xds.resources import Endpoints, fixed
from brambleusher.xds.roster import Roster
from brambleusher.xds.snapshot import CDS, EDS, LDS, RDS, SHORT, Draft, Library, Snapshot
from brambleusher.xds.subscriber import Request, Response, Subscriber
from brambleusher.xds.versions import Seal
from brambleusher.xds.wire import Sum, Who

log = logging.getLogger(__name__)

MS = 1_000_000
FORMS = ("zones", "nodes")


def form_of(group: Group, who: Who) -> str:
    """How a subscriber has its endpoints: as its group says, else by what it is."""
    return group.form or ("nodes" if who.agent.lower().startswith("grpc") else "zones")


def restrained(before: Mapping[str, Endpoint], newest: Mapping[str, Endpoint]) -> dict[str, Endpoint]:
    """The nodes of `before` less what `newest` takes away: none is added and none comes back into use."""
    out = {}
    for name, endpoint in before.items():
        now = newest.get(name)
        if now is None:
            continue
        ready = now.entry.state is HostState.READY
        if ready and (now.address, now.entry.started_ns) != (endpoint.address, endpoint.entry.started_ns):
            continue  # what is listed there now is another process
        out[name] = endpoint if ready else now
    return out


class Zone:
    """One zone of subscribers: its balancer, and the weights as they went out last."""

    def __init__(self, name: str, settings: Settings, seed: int, change: float, now: int) -> None:
        self.name = name
        self.balancer = FleetBalancer(settings, seed)
        self.loads = Loads(cls.name for cls in settings.classes)
        self._damper, self._rounder = WeightDamper(), WeightRounder(change)
        self._due_at = self.balancer.next_timer_ns(self.balancer.start(now)) or now
        self.tiers: list[LocalityWeights] = []
        self._endpoints: Mapping[str, Endpoint] = {}

    def listed(self, endpoints: Mapping[str, Endpoint], now: int) -> bool:
        """Take the list in; False where it is the one held."""
        before, self._endpoints = self._endpoints, endpoints
        if before is endpoints:
            return False
        entries = [each.entry for name, each in endpoints.items() if before.get(name) != each]
        entries += [
            replace(each.entry, state=HostState.REMOVED)
            for name, each in before.items()
            if name not in endpoints
        ]
        self.balancer.handle(HostListUpdated(ListKind.DELTA, entries), now)
        return True

    def tick(self, now: int) -> None:
        """Tell the balancer what was gathered, and the time where it wants it."""
        for told in self.loads.tell():
            self.balancer.record_outcomes(told, now)
        if now >= self._due_at:
            self._due_at = self.balancer.next_timer_ns(self.balancer.handle(TimerFired(0), now)) or now

    def round_anew(self, change: float) -> None:
        """Another share by which weights must have moved to go out."""
        self._rounder = WeightRounder(change)

    def weigh(self, order: Iterable[tuple[str, ...]], step: bool) -> bool:
        """Read the weights, and go a step towards them; says whether any has moved enough to go out."""
        before = self.tiers
        followed = self._damper.follow(host_statuses(self.balancer), step)
        self.tiers = group_by_locality(self._rounder.round(followed), list(order))
        return self.tiers != before


@dataclass(slots=True)
class Stream:
    """One subscriber on one stream."""

    id: int
    identity: str
    subscriber: Subscriber
    opened_ns: int
    group: Group | None = None
    who: Who = field(default_factory=Who)
    zone: str = ""
    form: str = ""
    responses: int = 0
    lag_ns: int | None = None  # from the news to the acknowledgement of the view that it led to
    refreshed_ns: int = 0


class Core:
    """All that one instance knows and decides."""

    def __init__(
        self, config: ControlConfig, floor: ViewPosition | None, now: int, seed: int = 0, sure: bool = False
    ) -> None:
        """`floor`: the place on durable storage; None where the store is new or was lost."""
        self.config, self.seal = config, Seal(config.secret)
        self.roster = Roster()
        unsure = 0 if sure else config.new_store_ms * MS
        self.handout = ViewConsistency(floor, now, config.silence_ms * MS, unsure)
        rng = random.Random(seed)
        self.zones = {
            name: Zone(
                name, _settings_of(config, name), rng.getrandbits(32), config.spread.change_percent / 100, now
            )
            for name in config.zones
        }
        self.streams: dict[int, Stream] = {}
        self._library = Library(self.seal)
        self._snapshots: dict[tuple[str, str, int], Snapshot] = {}
        self._endpoints = self._builders()
        self._drafts: dict[tuple[str, str], Draft] = {}
        self._fixed: dict[int, dict[str, list[Draft]]] = {}
        self._written_endpoints: dict[str, Endpoint] | None = None  # the list held when it was last written
        self.endpoints: dict[str, Endpoint] = {}  # the list that views are made of
        self._node_at: dict[tuple[str, int], str] = {}
        self._place: ViewPosition | None = None  # of that list
        self._news_ns = now
        self._store_fails = False
        self._weighed_ns = now
        self._next_stream = 0
        self.nacks = 0
        self.on_change: Callable[[], None] = lambda: None

    def _builders(self) -> dict[tuple[str, str], Endpoints]:
        stale = self.config.stale_after_ms
        return {(zone, form): Endpoints(form, stale) for zone in self.config.zones for form in FORMS}

    # --- discovery --------------------------------------------------------------------------------

    def listed(self, update: EndpointListUpdate, now: int) -> None:
        """An update from discovery."""
        was_behind = self.roster.behind
        changed = self.roster.take(update)
        if self.roster.behind and not was_behind:
            log.warning(
                "discovery is back with an older list, the newer one stays",
                extra={"fields": {"version": self.roster.version, "told": self.roster.told_version}},
            )
        if changed is not None:
            self._news_ns = now
        self.heard(now)

    def heard(self, now: int) -> None:
        """Discovery has said something, if only that nothing has changed."""
        version = self.roster.version
        if version is None:
            return
        self.handout.record_discovery(ViewPosition(self.config.epoch, version), now)
        self._settle(now)

    def lost(self, now: int) -> None:
        """The watch has ended."""
        self.handout.record_discovery_lost()

    # --- durable storage --------------------------------------------------------------------------

    def to_write(self) -> ViewPosition | None:
        """What must be on durable storage before the newest list may go out."""
        return self.handout.position_to_write()

    def written(self, place: ViewPosition, now: int) -> None:
        """It is there."""
        self._store_fails = False
        self.handout.record_written(place)
        self._settle(now)

    def write_failed(self, now: int) -> None:
        """It could not be written, or takes too long: what only takes nodes away goes out all the same."""
        self._store_fails = True
        self._settle(now)

    # --- other instances --------------------------------------------------------------------------

    def said(self, peer: str, word: PeerStatus, now: int) -> None:
        """Another instance has spoken."""
        self.handout.record_peer_status(peer, word, now)
        self.on_change()

    def word(self, now: int) -> PeerStatus:
        """What to tell the others."""
        return self.handout.peer_status(now)

    # --- the view ---------------------------------------------------------------------------------

    def _settle(self, now: int) -> None:
        """Make views of the newest list as far as it may go out."""
        place = self.handout.position
        if place is None:
            return
        if self.handout.position_to_write() is None:
            if self.handout.floor is not None and place < self.handout.floor:
                return
            endpoints = self.roster.endpoints
            self._written_endpoints = endpoints
        elif self._store_fails and self._written_endpoints is not None:
            endpoints = restrained(self._written_endpoints, self.roster.endpoints)
        else:
            return
        if endpoints is self.endpoints and place == self._place:
            return
        changed = endpoints != self.endpoints
        self.endpoints, self._place = endpoints, place
        if changed:
            self._node_at = {endpoint.address: name for name, endpoint in endpoints.items()}
            served = {stream.zone for stream in self.streams.values()}
            for zone in self.zones.values():
                if zone.name in served:  # the others when somebody asks, or at the next tick
                    self._listed(zone, now)
        self._snapshots.clear()
        self.on_change()

    def _listed(self, zone: Zone, now: int) -> None:
        """Have a zone know the list; between two steps of the weights only this changes them."""
        if zone.listed(self.endpoints, now):
            self._weigh(zone, step=False)

    def _weigh(self, zone: Zone, step: bool) -> bool:
        priorities = self.config.spread.priorities
        order = () if priorities is None else priorities.get(zone.name, ((zone.name,),))
        moved = zone.weigh(order, step)
        # The nodes' addresses may have changed where their weights have not.
        for form in FORMS:
            self._drafts.pop((zone.name, form), None)
        return moved

    def tick(self, now: int) -> None:
        """Let time pass: reports are told, weights move."""
        for zone in self.zones.values():
            self._listed(zone, now)
            zone.tick(now)
        if now - self._weighed_ns >= self.config.spread.weights_every_ms * MS and self.endpoints:
            self._weighed_ns = now
            moved = [zone for zone in self.zones.values() if self._weigh(zone, step=True)]
            if moved:
                self._news_ns = now
                self._snapshots.clear()
                self.on_change()

    def reconfigure(self, config: ControlConfig, now: int) -> None:
        """Another configuration; listeners, routes, clusters, groups and bounds follow it."""
        self.config = config
        self._fixed.clear()
        self._snapshots.clear()
        self._drafts.clear()
        self._endpoints = self._builders()
        self._news_ns = now
        for zone in self.zones.values():
            zone.round_anew(config.spread.change_percent / 100)
        for stream in self.streams.values():
            if stream.group is not None:
                self._place_in(stream, config.group_of(stream.identity))
        self.on_change()

    def snapshot(self, zone: str, form: str, group: Group, now: int) -> Snapshot:
        """What a group's subscribers in a zone may have now."""
        at = self.config.groups.index(group)
        held = self._snapshots.get((zone, form, at))
        if held is not None:
            return held
        assert self._place is not None
        drafts = self._fixed.get(at)
        if drafts is None:
            drafts = self._fixed[at] = fixed(self.config, group)
        moving = self._drafts.get((zone, form))
        if moving is None:
            self._listed(self.zones[zone], now)
            addresses = {name: endpoint.address for name, endpoint in self.endpoints.items()}
            moving = self._endpoints[zone, form].draft(self.zones[zone].tiers, addresses)
            self._drafts[zone, form] = moving
        shelves = {
            kind: self._library.shelf(f"group {at}", kind, drafts[kind], self._place)
            for kind in (CDS, LDS, RDS)
        }
        endpoints = [moving] if drafts[CDS] else []
        # One assignment for all groups of a zone: the same bytes, and the same object.
        shelves[EDS] = self._library.shelf(f"{zone}/{form}", EDS, [moving], self._place) if endpoints else {}
        made = Snapshot(self._place, shelves, self._news_ns)
        self._snapshots[zone, form, at] = made
        return made

    # --- subscribers ------------------------------------------------------------------------------

    def open(self, identity: str | None, incremental: bool, now: int) -> Stream:
        """A stream has begun; `identity` is None where the first request is to tell."""
        bounds = self.config.bounds
        if len(self.streams) >= bounds.streams:
            raise ProtocolError("too many streams")
        if identity is not None:
            self._admit(identity)
        self._next_stream += 1
        subscriber = Subscriber(self.seal, incremental, bounds.names, bounds.name_bytes)
        stream = Stream(self._next_stream, identity or "", subscriber, now, refreshed_ns=now)
        self.streams[stream.id] = stream
        return stream

    def _admit(self, identity: str) -> Group:
        group = self.config.group_of(identity)
        if group is None:
            raise ProtocolError(f"{identity[:100]!r} may not subscribe")
        same = sum(stream.identity == identity for stream in self.streams.values())
        if same > self.config.bounds.streams_per_identity:
            raise ProtocolError("too many streams of one subscriber")
        return group

    def close(self, stream: Stream) -> None:
        """A stream has ended."""
        self.streams.pop(stream.id, None)

    def request(self, stream: Stream, request: Request, who: Who, now: int) -> None:
        """A subscriber's request; raises `ProtocolError` where the stream is to end."""
        if stream.group is None:
            self._introduce(stream, who)
        subscriber = stream.subscriber
        subscriber.receive(request)
        for place in subscriber.claims:
            self.handout.record_subscriber_position(place)
        subscriber.claims.clear()
        for kind, names, rejection in subscriber.rejections:
            self.nacks += 1
            log.warning(
                "resource rejected",
                extra={"fields": {"subscriber": stream.identity, "kind": SHORT[kind], "names": names,
                                  "version": rejection.version, "reason": rejection.reason}},
            )  # fmt: skip
        subscriber.rejections.clear()
        if subscriber.acked_ns:
            stream.lag_ns = now - subscriber.acked_ns[-1]
            subscriber.acked_ns.clear()

    def _introduce(self, stream: Stream, who: Who) -> None:
        if not stream.identity:
            if not who.id:
                raise ProtocolError("the first request names no node")
            stream.identity = who.id
        stream.who = who
        self._place_in(stream, self._admit(stream.identity))
        if stream.group is None:
            raise ProtocolError(f"zone {who.zone[:100]!r} is not served")

    def _place_in(self, stream: Stream, group: Group | None) -> None:
        """Give a stream its group, and with it zone and form; none where it may not subscribe any more."""
        zone = (group.zone or stream.who.zone) if group is not None else ""
        stream.group = group if zone in self.zones else None
        if group is not None and stream.group is not None:
            stream.zone, stream.form = zone, form_of(group, stream.who)

    def why_not(self, now: int) -> WithheldReason | None:
        """Why nothing goes out now."""
        if self._place is None and self.handout.position is not None:
            return self.handout.withheld_reason(now) or WithheldReason.NOT_DURABLE
        unwritten = self.handout.position_to_write() is not None
        return self.handout.withheld_reason(
            now, harmless=unwritten and self._store_fails and self._place == self.handout.position
        )

    def next(self, stream: Stream, now: int) -> Response | None:
        """A stream's next response, None as long as there is none or it is withheld."""
        if stream.group is None:
            return None
        if self.why_not(now) is not None:
            return None
        subscriber = stream.subscriber
        snapshot = self.snapshot(stream.zone, stream.form, stream.group, now)
        if subscriber.offered is not snapshot:
            subscriber.offer(snapshot)
        stale_after = self.config.stale_after_ms * MS
        if stale_after and stream.form == "zones" and now - stream.refreshed_ns > stale_after // 3:
            stream.refreshed_ns = now
            subscriber.refresh(EDS)
        response = subscriber.take()
        if response is not None:
            self.handout.record_published(response.place)
            stream.responses += 1
            if response.kind == EDS:
                stream.refreshed_ns = now
        return response

    def load(self, zone: str, sums: list[Sum]) -> None:
        """A proxy's report."""
        self.zones[zone].loads.take(sums, self._node_at, self.endpoints)


def _settings_of(config: ControlConfig, zone: str) -> Settings:
    return replace(config.settings, zone=zone, subscribes_to_endpoints=False)
