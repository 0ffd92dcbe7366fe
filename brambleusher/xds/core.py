"""Decide which response each subscriber gets next, without sockets, files or threads.

The owner records events from discovery, subscribers, load reports, other instances and the store, and
calls `tick` as time passes.  It asks `position_to_write` for the position to put on durable storage next,
and `next_response` for each stream's next response.  No call blocks.  Times are in ns of the owner's clock.
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
from brambleusher.xds.config import ControlConfig, SubscriberGroup
from brambleusher.xds.discovered_endpoints import DiscoveredEndpoints
from brambleusher.xds.errors import ProtocolError, SubscriptionDeniedError
from brambleusher.xds.loads import LoadReports
from brambleusher.xds.resources import AssignmentBuilder, build_static_resources
from brambleusher.xds.snapshot import (
    CDS,
    EDS,
    KIND_ABBREVIATIONS,
    LDS,
    RDS,
    ResourceCache,
    Snapshot,
    UnversionedResource,
)
from brambleusher.xds.subscriber import Request, Response, Subscriber
from brambleusher.xds.versions import MacSigner
from brambleusher.xds.wire import LoadSample, NodeIdentity

log = logging.getLogger(__name__)

NS_PER_MS = 1_000_000
LOCALITY_LEVELS = ("zones", "nodes")
REFRESHES_PER_STALE_TIME = 3  # Envoy drops endpoints that were not sent again within `stale_after_ms`
SEED_BITS = 32  # length of the random seed of a zone's balancer
MAX_SHOWN_CHARS = 100  # an error message quotes at most this much of a text that a subscriber sent


def locality_level_of(group: SubscriberGroup, node: NodeIdentity) -> str:
    """Return the level set for the group, or else "nodes" for gRPC clients and "zones" for others."""
    return group.locality_level or ("nodes" if node.agent.lower().startswith("grpc") else "zones")


def apply_removals_only(
    before: Mapping[str, Endpoint], newest: Mapping[str, Endpoint]
) -> dict[str, Endpoint]:
    """Apply only the removals of `newest` to `before`: no endpoint is added or becomes ready again."""
    remaining = {}
    for name, endpoint in before.items():
        current = newest.get(name)
        if current is None:
            continue
        is_ready = current.entry.state is HostState.READY
        if is_ready and _process_of(current) != _process_of(endpoint):
            continue  # the address or start time differs, so the newest list names another process
        remaining[name] = endpoint if is_ready else current
    return remaining


def _process_of(endpoint: Endpoint) -> tuple[tuple[str, int], int]:
    return endpoint.address, endpoint.entry.started_ns


class Zone:
    """The subscribers' view of one zone: its balancer, and the endpoint weights published last."""

    def __init__(
        self, name: str, settings: Settings, seed: int, change_threshold: float, now_ns: int
    ) -> None:
        self.name = name
        self.balancer = FleetBalancer(settings, seed)
        self.load_reports = LoadReports(cls.name for cls in settings.classes)
        self._damper, self._rounder = WeightDamper(), WeightRounder(change_threshold)
        self._timer_ns = self.balancer.next_timer_ns(self.balancer.start(now_ns)) or now_ns
        self.tiers: list[LocalityWeights] = []
        self._endpoints: Mapping[str, Endpoint] = {}

    def update_endpoints(self, endpoints: Mapping[str, Endpoint], now_ns: int) -> bool:
        """Pass the endpoint list to the balancer, and return whether it differs from the last one."""
        before, self._endpoints = self._endpoints, endpoints
        if before is endpoints:
            return False
        entries = [endpoint.entry for name, endpoint in endpoints.items() if before.get(name) != endpoint]
        entries += [
            replace(endpoint.entry, state=HostState.REMOVED)
            for name, endpoint in before.items()
            if name not in endpoints
        ]
        self.balancer.handle(HostListUpdated(ListKind.DELTA, entries), now_ns)
        return True

    def tick(self, now_ns: int) -> None:
        """Pass the collected load reports to the balancer, and fire its timer if it is due."""
        for outcomes in self.load_reports.drain():
            self.balancer.record_outcomes(outcomes, now_ns)
        if now_ns >= self._timer_ns:
            actions = self.balancer.handle(TimerFired(0), now_ns)
            self._timer_ns = self.balancer.next_timer_ns(actions) or now_ns

    def set_change_threshold(self, change_threshold: float) -> None:
        """Set the fraction by which a weight must change before it is published."""
        self._rounder = WeightRounder(change_threshold)

    def update_weights(self, priorities: Iterable[tuple[str, ...]], step: bool) -> bool:
        """Go a step towards the balancer's weights if `step`; return whether any has to be published."""
        before = self.tiers
        followed = self._damper.follow(host_statuses(self.balancer), step)
        self.tiers = group_by_locality(self._rounder.round(followed), list(priorities))
        return self.tiers != before


@dataclass(slots=True)
class Stream:
    """The state of one subscriber's xDS stream."""

    id: int
    identity: str
    subscriber: Subscriber
    opened_ns: int
    group: SubscriberGroup | None = None
    node: NodeIdentity = field(default_factory=NodeIdentity)
    zone: str = ""
    locality_level: str = ""
    responses: int = 0
    lag_ns: int | None = None  # time from the last acknowledged change to its acknowledgement
    refreshed_ns: int = 0


class Core:
    """The state of one instance: endpoint list, weights, views and streams."""

    def __init__(
        self,
        config: ControlConfig,
        floor: ViewPosition | None,
        now_ns: int,
        seed: int = 0,
        is_floor_certain: bool = False,
    ) -> None:
        """Start without an endpoint list.

        Args:
            config: The configuration.
            floor: The position on durable storage; None if the store is new or its content was lost.
            now_ns: The current time.
            seed: The seed for the balancers' random numbers.
            is_floor_certain: Whether to skip a new store's wait for positions that subscribers prove.
        """
        self.config, self.signer = config, MacSigner(config.secret)
        self.discovered = DiscoveredEndpoints()
        floor_wait_ns = 0 if is_floor_certain else config.new_store_ms * NS_PER_MS
        self.view_consistency = ViewConsistency(floor, now_ns, config.silence_ms * NS_PER_MS, floor_wait_ns)
        self.zones = _create_zones(config, seed, now_ns)
        self.streams: dict[int, Stream] = {}
        self._resource_cache = ResourceCache(self.signer)
        self._snapshots: dict[tuple[str, str, int], Snapshot] = {}  # cache by zone, level, index of the group
        self._assignment_builders = self._new_assignment_builders()
        self._assignments: dict[tuple[str, str], UnversionedResource] = {}  # cache by zone and locality level
        # Caches listeners, routes and clusters by index of the group and by kind.
        self._static_resources: dict[int, dict[str, list[UnversionedResource]]] = {}
        self._durable_endpoints: dict[str, Endpoint] | None = None  # the list at the position written last
        self.endpoints: dict[str, Endpoint] = {}  # the endpoint list that views are built from
        self._host_by_address: dict[tuple[str, int], str] = {}
        self._position: ViewPosition | None = None  # the position of `endpoints`
        self._changed_ns = now_ns
        self._has_write_failed = False
        self._weighed_ns = now_ns
        self._last_stream_id = 0
        self.nacks = 0
        self.on_change: Callable[[], None] = lambda: None

    def _new_assignment_builders(self) -> dict[tuple[str, str], AssignmentBuilder]:
        stale_ms = self.config.stale_after_ms
        return {
            (zone, locality_level): AssignmentBuilder(locality_level, stale_ms)
            for zone in self.config.zones
            for locality_level in LOCALITY_LEVELS
        }

    # --- discovery --------------------------------------------------------------------------------

    def record_endpoint_list(self, update: EndpointListUpdate, now_ns: int) -> None:
        """Apply an endpoint list update from discovery."""
        was_behind = self.discovered.is_behind
        changed = self.discovered.update(update)
        if self.discovered.is_behind and not was_behind:
            log.warning(
                "discovery version went back",
                extra={"fields": {"version": self.discovered.version,
                                  "reported_version": self.discovered.reported_version}},
            )  # fmt: skip
        if changed is not None:
            self._changed_ns = now_ns
        self.record_discovery_contact(now_ns)

    def record_discovery_contact(self, now_ns: int) -> None:
        """Record that discovery sent a message, even one that reports no change."""
        version = self.discovered.version
        if version is None:
            return
        self.view_consistency.record_discovery(ViewPosition(self.config.epoch, version), now_ns)
        self._update_view(now_ns)

    def record_discovery_disconnect(self) -> None:
        """Record that the watch on discovery has ended."""
        self.view_consistency.record_discovery_disconnect()

    # --- durable storage --------------------------------------------------------------------------

    def position_to_write(self) -> ViewPosition | None:
        """Return the position that must be on durable storage before the newest list may be published."""
        return self.view_consistency.position_to_write()

    def record_written(self, position: ViewPosition, now_ns: int) -> None:
        """Record that a position is on durable storage."""
        self._has_write_failed = False
        self.view_consistency.record_written(position)
        self._update_view(now_ns)

    def record_write_failure(self, now_ns: int) -> None:
        """Record that a write failed or takes too long; removals are published nevertheless."""
        self._has_write_failed = True
        self._update_view(now_ns)

    # --- other instances --------------------------------------------------------------------------

    def record_peer_status(self, peer: str, status: PeerStatus, now_ns: int) -> None:
        """Record the status of another instance."""
        self.view_consistency.record_peer_status(peer, status, now_ns)
        self.on_change()

    def peer_status(self, now_ns: int) -> PeerStatus:
        """Return the status to report to other instances."""
        return self.view_consistency.peer_status(now_ns)

    # --- the view ---------------------------------------------------------------------------------

    def _publishable_endpoints(self, position: ViewPosition) -> dict[str, Endpoint] | None:
        """Return the part of the newest list that may be published, or None to keep the current view."""
        if self.view_consistency.position_to_write() is None:
            floor = self.view_consistency.floor
            if floor is not None and position < floor:
                return None
            self._durable_endpoints = self.discovered.endpoints
            return self._durable_endpoints
        if self._has_write_failed and self._durable_endpoints is not None:
            return apply_removals_only(self._durable_endpoints, self.discovered.endpoints)
        return None

    def _update_view(self, now_ns: int) -> None:
        """Replace the view with the part of the newest list that may be published."""
        position = self.view_consistency.position
        if position is None:
            return
        endpoints = self._publishable_endpoints(position)
        if endpoints is None or (endpoints is self.endpoints and position == self._position):
            return
        has_changed = endpoints != self.endpoints
        self.endpoints, self._position = endpoints, position
        if has_changed:
            self._host_by_address = {endpoint.address: name for name, endpoint in endpoints.items()}
            served = {stream.zone for stream in self.streams.values()}
            for zone in self.zones.values():
                if zone.name in served:  # other zones are updated at their first subscriber or the next tick
                    self._update_zone_endpoints(zone, now_ns)
        self._snapshots.clear()
        self.on_change()

    def _update_zone_endpoints(self, zone: Zone, now_ns: int) -> None:
        """Pass the endpoint list to a zone; its weights change only here and in the periodic weight step."""
        if zone.update_endpoints(self.endpoints, now_ns):
            self._update_zone_weights(zone, step=False)

    def _update_zone_weights(self, zone: Zone, step: bool) -> bool:
        by_zone = self.config.spread.priorities
        priorities = () if by_zone is None else by_zone.get(zone.name, ((zone.name,),))
        has_moved = zone.update_weights(priorities, step)
        # The assignments are rebuilt even with unchanged weights, since addresses may have changed.
        for locality_level in LOCALITY_LEVELS:
            self._assignments.pop((zone.name, locality_level), None)
        return has_moved

    def tick(self, now_ns: int) -> None:
        """Pass load reports to the balancers, and update the weights when their interval has elapsed."""
        for zone in self.zones.values():
            self._update_zone_endpoints(zone, now_ns)
            zone.tick(now_ns)
        interval_ns = self.config.spread.weights_every_ms * NS_PER_MS
        if now_ns - self._weighed_ns >= interval_ns and self.endpoints:
            self._weighed_ns = now_ns
            moved = [zone for zone in self.zones.values() if self._update_zone_weights(zone, step=True)]
            if moved:
                self._changed_ns = now_ns
                self._snapshots.clear()
                self.on_change()

    def reconfigure(self, config: ControlConfig, now_ns: int) -> None:
        """Apply a new configuration to listeners, routes, clusters, groups and limits."""
        self.config = config
        self._static_resources.clear()
        self._snapshots.clear()
        self._assignments.clear()
        self._assignment_builders = self._new_assignment_builders()
        self._changed_ns = now_ns
        for zone in self.zones.values():
            zone.set_change_threshold(_change_threshold(config))
        for stream in self.streams.values():
            if stream.group is not None:
                self._assign_group(stream, config.group_of(stream.identity))
        self.on_change()

    def snapshot(self, zone: str, locality_level: str, group: SubscriberGroup, now_ns: int) -> Snapshot:
        """Return the resources for a group's subscribers in a zone; requires a published endpoint list."""
        group_index = self.config.groups.index(group)
        cached = self._snapshots.get((zone, locality_level, group_index))
        if cached is not None:
            return cached
        assert self._position is not None
        drafts = self._static_resources.get(group_index)
        if drafts is None:
            drafts = self._static_resources[group_index] = build_static_resources(self.config, group)
        assignment = self._assignment(zone, locality_level, now_ns)
        kinds = {
            kind: self._resource_cache.update_resources(
                f"group {group_index}", kind, drafts[kind], self._position
            )
            for kind in (CDS, LDS, RDS)
        }
        # All groups of a zone share one assignment: the same bytes, and the same object.
        has_clusters = bool(drafts[CDS])
        kinds[EDS] = (
            self._resource_cache.update_resources(
                f"{zone}/{locality_level}", EDS, [assignment], self._position
            )
            if has_clusters
            else {}
        )
        snapshot = Snapshot(self._position, kinds, self._changed_ns)
        self._snapshots[zone, locality_level, group_index] = snapshot
        return snapshot

    def _assignment(self, zone: str, locality_level: str, now_ns: int) -> UnversionedResource:
        assignment = self._assignments.get((zone, locality_level))
        if assignment is None:
            self._update_zone_endpoints(self.zones[zone], now_ns)
            addresses = {name: endpoint.address for name, endpoint in self.endpoints.items()}
            assignment = self._assignment_builders[zone, locality_level].build(
                self.zones[zone].tiers, addresses
            )
            self._assignments[zone, locality_level] = assignment
        return assignment

    # --- subscribers ------------------------------------------------------------------------------

    def open_stream(self, identity: str | None, incremental: bool, now_ns: int) -> Stream:
        """Open a stream; raises `ProtocolError` if its subscriber is denied or there are too many streams.

        Args:
            identity: The name in the subscriber's certificate; None if the first request names the node.
            incremental: Whether the stream uses the incremental variant of the protocol.
            now_ns: The current time.
        """
        bounds = self.config.bounds
        if len(self.streams) >= bounds.streams:
            raise ProtocolError("too many streams")
        if identity is not None:
            self._admit(identity)
        self._last_stream_id += 1
        subscriber = Subscriber(self.signer, incremental, bounds.names, bounds.name_bytes)
        stream = Stream(self._last_stream_id, identity or "", subscriber, now_ns, refreshed_ns=now_ns)
        self.streams[stream.id] = stream
        return stream

    def _admit(self, identity: str) -> SubscriberGroup:
        group = self.config.group_of(identity)
        if group is None:
            raise SubscriptionDeniedError(f"{identity[:MAX_SHOWN_CHARS]!r} may not subscribe")
        streams = sum(stream.identity == identity for stream in self.streams.values())
        if streams > self.config.bounds.streams_per_identity:
            raise ProtocolError("too many streams of one subscriber")
        return group

    def close_stream(self, stream: Stream) -> None:
        """Remove a stream that has ended."""
        self.streams.pop(stream.id, None)

    def handle_request(self, stream: Stream, request: Request, node: NodeIdentity, now_ns: int) -> None:
        """Process a subscriber's request; raises `ProtocolError` if the request has to end the stream."""
        if stream.group is None:
            self._identify(stream, node)
        subscriber = stream.subscriber
        subscriber.receive(request)
        for position in subscriber.proven_positions:
            self.view_consistency.record_subscriber_position(position)
        subscriber.proven_positions.clear()
        for kind, names, rejection in subscriber.rejections:
            self.nacks += 1
            log.warning(
                "resource rejected",
                extra={"fields": {"subscriber": stream.identity, "kind": KIND_ABBREVIATIONS[kind],
                                  "names": names, "version": rejection.version,
                                  "reason": rejection.reason}},
            )  # fmt: skip
        subscriber.rejections.clear()
        if subscriber.acked_ns:
            stream.lag_ns = now_ns - subscriber.acked_ns[-1]
            subscriber.acked_ns.clear()

    def _identify(self, stream: Stream, node: NodeIdentity) -> None:
        if not stream.identity:
            if not node.id:
                raise ProtocolError("the first request names no node")
            stream.identity = node.id
        stream.node = node
        self._assign_group(stream, self._admit(stream.identity))
        if stream.group is None:
            raise ProtocolError(f"zone {node.zone[:MAX_SHOWN_CHARS]!r} is not served")

    def _assign_group(self, stream: Stream, group: SubscriberGroup | None) -> None:
        """Set a stream's group, zone and locality level; without permission the group is None."""
        zone = (group.zone or stream.node.zone) if group is not None else ""
        stream.group = group if zone in self.zones else None
        if group is not None and stream.group is not None:
            stream.zone, stream.locality_level = zone, locality_level_of(group, stream.node)

    def withheld_reason(self, now_ns: int) -> WithheldReason | None:
        """Return why nothing may be published now, or None if publishing is allowed."""
        consistency = self.view_consistency
        if self._position is None and consistency.position is not None:
            return consistency.withheld_reason(now_ns) or WithheldReason.NOT_DURABLE
        is_unwritten = consistency.position_to_write() is not None
        has_only_removals = is_unwritten and self._has_write_failed and self._position == consistency.position
        return consistency.withheld_reason(now_ns, has_only_removals=has_only_removals)

    def next_response(self, stream: Stream, now_ns: int) -> Response | None:
        """Return a stream's next response, or None if nothing is due or publishing is withheld."""
        if stream.group is None:
            return None
        if self.withheld_reason(now_ns) is not None:
            return None
        subscriber = stream.subscriber
        snapshot = self.snapshot(stream.zone, stream.locality_level, stream.group, now_ns)
        if subscriber.current_snapshot is not snapshot:
            subscriber.set_snapshot(snapshot)
        self._refresh_stale_endpoints(stream, now_ns)
        response = subscriber.take_response()
        if response is not None:
            self.view_consistency.record_published(response.position)
            stream.responses += 1
            if response.kind == EDS:
                stream.refreshed_ns = now_ns
        return response

    def _refresh_stale_endpoints(self, stream: Stream, now_ns: int) -> None:
        stale_ns = self.config.stale_after_ms * NS_PER_MS
        is_due = now_ns - stream.refreshed_ns > stale_ns // REFRESHES_PER_STALE_TIME
        if stale_ns and stream.locality_level == "zones" and is_due:
            stream.refreshed_ns = now_ns
            stream.subscriber.refresh(EDS)

    def record_load_report(self, zone: str, samples: list[LoadSample]) -> None:
        """Add a proxy's load report to the totals of its zone."""
        self.zones[zone].load_reports.add(samples, self._host_by_address, self.endpoints)


def _create_zones(config: ControlConfig, seed: int, now_ns: int) -> dict[str, Zone]:
    rng = random.Random(seed)
    return {
        name: Zone(
            name, _settings_of(config, name), rng.getrandbits(SEED_BITS), _change_threshold(config), now_ns
        )
        for name in config.zones
    }


def _change_threshold(config: ControlConfig) -> float:
    return config.spread.change_percent / 100


def _settings_of(config: ControlConfig, zone: str) -> Settings:
    return replace(config.settings, zone=zone, subscribes_to_endpoints=False)
