"""Serve one subscriber's stream: the aggregated discovery protocol in both variants, without I/O.

`receive` processes a decoded request, and `set_snapshot` sets the snapshot to serve.  `take_response` returns
the next response, computed from the newest snapshot at that moment.  Nothing is queued, so a slow subscriber
skips resource versions that were superseded.  Kinds are served in the order CDS, EDS, LDS, RDS ("make before
break"): a kind that refers to another waits until that other kind is acknowledged, and resources that are
still referred to are not removed.

Source: the xDS REST and gRPC protocol, in the documentation of Envoy.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.errors import ProtocolError
from brambleusher.xds.snapshot import (
    CDS,
    COMPLETE_KINDS,
    EDS,
    LDS,
    RDS,
    SEND_ORDER,
    Resource,
    Snapshot,
    length_delimited,
)
from brambleusher.xds.versions import MacSigner, ProvenVersion, digest

WILDCARD = "*"
MAX_UNACKNOWLEDGED = 2  # responses per kind; a change can follow while a long list is unacknowledged
MAX_REASON_CHARS = 500
MAX_NAMES_CHARS = 200  # the names of rejected resources are cut off after this many characters in a log line
MAX_SHOWN_CHARS = 100
MAX_NONCE_DIGITS = 18
MAX_CACHED_HEADS = 64  # limit for a snapshot, since subscribers may ask for any number of name selections
# A request has three lists of names, each with its own limit: subscribed, unsubscribed and initial versions.
NAME_LISTS = 3
# Field numbers in DiscoveryResponse and DeltaDiscoveryResponse.
_VERSION_FIELD, _TYPE_URL_FIELD, _NONCE_FIELD, _REMOVED_FIELD = 1, 4, 5, 6


@dataclass(frozen=True, slots=True)
class Request:
    """A decoded request of either variant; `error` is the reason if it rejects a response, else None."""

    kind: str
    nonce: str = ""
    error: str | None = None
    version: str = ""  # state-of-the-world variant: the last version that the subscriber accepted
    names: tuple[str, ...] = ()  # state-of-the-world variant: all names subscribed to
    subscribe: tuple[str, ...] = ()  # incremental variant: names to add to the subscription
    unsubscribe: tuple[str, ...] = ()  # incremental variant: names to remove from the subscription
    # Incremental variant: the versions, by name, of the resources that the subscriber has when it connects.
    initial_versions: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Response:
    """A response: the encoded message in `data`, and the values encoded in it."""

    kind: str
    nonce: str
    version: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...]
    position: ViewPosition
    change_received_ns: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A version that the subscriber rejected, and the reason it gave."""

    version: str
    reason: str


@dataclass(slots=True)
class _SentResponse:
    """A sent response that is not acknowledged yet."""

    resources: tuple[Resource, ...]
    removed: tuple[str, ...]
    version: str
    change_received_ns: int


class _Subscription:
    """The subscription to one kind of resource, and the resources sent and acknowledged."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.is_wildcard = False  # whether all resources are subscribed to
        self.has_named = False  # whether any request so far gave names or the wildcard
        self.sent: dict[str, Resource] = {}  # the last sent resources by name, acknowledged or not
        self.acked: dict[str, Resource] = {}  # the last acknowledged resources by name
        self.proven_digests: dict[str, str] = {}  # digests of the resources held at connecting, by name
        self.removed: set[str] = set()  # names that the subscriber was told do not exist
        self.rejected: dict[str, Rejection] = {}
        self.unacknowledged: dict[str, _SentResponse] = {}  # sent responses by nonce, oldest first
        self.has_responded = False
        self.is_response_due = False  # names were added, so a response is due even without a change
        self.version = self.acked_version = ""
        self.last_nonce = 0
        # The resources of a snapshot if all of them were sent; reset when the subscriber sends a request.
        self.served: object = None

    def includes(self, name: str) -> bool:
        return self.is_wildcard or name in self.names

    def forget(self, name: str) -> None:
        self.sent.pop(name, None)
        self.acked.pop(name, None)
        self.rejected.pop(name, None)
        self.proven_digests.pop(name, None)
        self.removed.discard(name)

    def check_nonce(self, nonce: str) -> None:
        if not nonce:
            return
        is_number = nonce.isascii() and nonce.isdigit()
        if not is_number or int(nonce[:MAX_NONCE_DIGITS]) > self.last_nonce:
            raise ProtocolError("a nonce that was never given")


class Subscriber:
    """The protocol's state machine for one stream."""

    def __init__(
        self, signer: MacSigner, incremental: bool, max_names: int = 1000, max_name_bytes: int = 512
    ) -> None:
        self.incremental = incremental
        self._signer, self._max_names, self._max_name_bytes = signer, max_names, max_name_bytes
        self._subscriptions: dict[str, _Subscription] = {}  # subscriptions by kind
        self._snapshot: Snapshot | None = None
        # The owner reads the next three lists after each request, and clears them.
        self.proven_positions: list[ViewPosition] = []  # positions in valid version strings at connecting
        self.rejections: list[tuple[str, str, Rejection]] = []  # kind, names, and version with reason
        self.acked_ns: list[int] = []  # change times of the snapshots that the request acknowledged

    # --- requests -------------------------------------------------------------------------------

    def receive(self, request: Request) -> None:
        """Process one request.

        Raises:
            ProtocolError: The request breaks a rule of the protocol or exceeds a limit.
        """
        self._check_bounds(request)
        is_first = request.kind not in self._subscriptions
        subscription = _Subscription() if is_first else self._subscriptions[request.kind]
        subscription.check_nonce(request.nonce)
        self._subscriptions[request.kind] = subscription
        # Clusters and endpoints are retained for a subscriber depending on its routes and clusters.
        for kind, other in self._subscriptions.items():
            if kind == request.kind or (kind in (CDS, EDS) and request.kind in (CDS, RDS)):
                other.served = None
        if request.nonce:
            self._handle_acknowledgement(request, subscription)
        if self.incremental:
            self._update_incremental(request, subscription, is_first)
        elif is_first or not self._is_stale(request, subscription):
            self._update_state_of_the_world(request, subscription, is_first)
        if len(subscription.names) > self._max_names:
            raise ProtocolError(f"more than {self._max_names} names")

    def _check_bounds(self, request: Request) -> None:
        if request.kind not in SEND_ORDER:
            raise ProtocolError(f"resources of type {request.kind[:MAX_SHOWN_CHARS]!r} are not served")
        names = (*request.names, *request.subscribe, *request.unsubscribe, *request.initial_versions)
        if len(names) > NAME_LISTS * self._max_names or any(
            len(name) > self._max_name_bytes for name in names
        ):
            raise ProtocolError("too many names, or one that is too long")

    @staticmethod
    def _is_stale(request: Request, subscription: _Subscription) -> bool:
        """Return whether a request predates the subscriber's reading of the last response.

        A stale request is ignored.
        """
        return subscription.has_responded and request.nonce != str(subscription.last_nonce)

    def _handle_acknowledgement(self, request: Request, subscription: _Subscription) -> None:
        """Process an acknowledgement or rejection; ignore it if its response is no longer tracked."""
        sent = subscription.unacknowledged.get(request.nonce)
        if sent is None:
            return
        for nonce in list(subscription.unacknowledged):  # an acknowledgement covers earlier responses as well
            if int(nonce) <= int(request.nonce):
                del subscription.unacknowledged[nonce]
        if request.error is None:
            self._record_acknowledged(request.kind, subscription, sent)
            return
        reason = request.error[:MAX_REASON_CHARS]
        for resource in sent.resources:
            subscription.rejected[resource.name] = Rejection(resource.version, reason)
        names = ", ".join(resource.name for resource in sent.resources)[:MAX_NAMES_CHARS]
        self.rejections.append((request.kind, names, Rejection(sent.version, reason)))

    def _record_acknowledged(self, kind: str, subscription: _Subscription, sent: _SentResponse) -> None:
        for resource in sent.resources:
            subscription.acked[resource.name] = resource
            subscription.rejected.pop(resource.name, None)
        for name in sent.removed:
            subscription.acked.pop(name, None)
        if not self.incremental and kind in COMPLETE_KINDS:
            subscription.acked = {resource.name: resource for resource in sent.resources}
        subscription.acked_version = sent.version
        self.acked_ns.append(sent.change_received_ns)

    def _update_state_of_the_world(
        self, request: Request, subscription: _Subscription, is_first: bool
    ) -> None:
        """Replace the subscription with the names in a state-of-the-world request."""
        names = set(request.names)
        is_wildcard = WILDCARD in names
        names.discard(WILDCARD)
        if is_first:
            if not request.names and request.kind in COMPLETE_KINDS:
                is_wildcard = True
            proven = self._signer.parse(request.version) if request.version else None
            if proven is not None:
                self.proven_positions.append(proven.position)
        elif not request.names and subscription.is_wildcard and not subscription.has_named:
            is_wildcard = True  # no request has named a resource, so the subscription is still to all
        subscription.has_named |= bool(request.names)
        added = names - subscription.names or (is_wildcard and not subscription.is_wildcard)
        for name in subscription.names - names:
            if is_wildcard:  # without the discard the set would grow with every name ever subscribed to
                subscription.removed.discard(name)
            else:
                subscription.forget(name)
        subscription.names, subscription.is_wildcard = names, is_wildcard
        if added:
            subscription.is_response_due = True
            for name in names:  # a resource is sent again if its name is added again
                if name not in subscription.sent:
                    subscription.removed.discard(name)

    def _update_incremental(self, request: Request, subscription: _Subscription, is_first: bool) -> None:
        """Apply the names that an incremental request adds to and removes from the subscription."""
        if is_first:
            if not request.subscribe and request.kind in COMPLETE_KINDS:
                subscription.is_wildcard = True
            for name, version in request.initial_versions.items():
                self._record_initial_version(subscription, name, self._signer.parse(version))
        for name in request.unsubscribe:
            self._unsubscribe(subscription, name)
        for name in request.subscribe:
            if name == WILDCARD:
                subscription.is_wildcard = True
                continue
            subscription.names.add(name)
            subscription.removed.discard(name)
            if not is_first:  # a resource is sent again if the subscriber asks for its name again
                subscription.sent.pop(name, None)

    def _record_initial_version(
        self, subscription: _Subscription, name: str, proven: ProvenVersion | None
    ) -> None:
        """Record a resource that the subscriber had at connecting; without proof it is sent again."""
        if proven is not None:
            self.proven_positions.append(proven.position)
        subscription.proven_digests[name] = proven.digest if proven is not None else ""

    @staticmethod
    def _unsubscribe(subscription: _Subscription, name: str) -> None:
        if name == WILDCARD:
            subscription.is_wildcard = False
            for dropped in [dropped for dropped in subscription.sent if dropped not in subscription.names]:
                subscription.forget(dropped)
            return
        subscription.names.discard(name)
        if subscription.is_wildcard:
            subscription.removed.discard(name)
        else:
            subscription.forget(name)

    # --- responses ------------------------------------------------------------------------------

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Set the snapshot to serve; it replaces the one set before."""
        self._snapshot = snapshot

    def refresh(self, kind: str) -> None:
        """Send the resources of a kind again, except rejected ones, before they expire at the subscriber."""
        subscription = self._subscriptions.get(kind)
        if subscription is None:
            return
        for name in [name for name in subscription.sent if name not in subscription.rejected]:
            del subscription.sent[name]
            subscription.proven_digests.pop(name, None)
        subscription.served = None

    @property
    def current_snapshot(self) -> Snapshot | None:
        """The snapshot to serve."""
        return self._snapshot

    def take_response(self) -> Response | None:
        """Return the next response, or None if there is nothing to send."""
        snapshot = self._snapshot
        if snapshot is None:
            return None
        for kind in SEND_ORDER:
            subscription = self._subscriptions.get(kind)
            if subscription is None or len(subscription.unacknowledged) >= MAX_UNACKNOWLEDGED:
                continue
            if subscription.served is snapshot.kinds[kind] or not self._is_in_turn(kind, snapshot):
                continue
            make_response = self._incremental_response if self.incremental else self._state_response
            response = make_response(kind, subscription, snapshot)
            if response is not None:
                return response
            subscription.served = snapshot.kinds[kind]
        return None

    def _is_in_turn(self, kind: str, snapshot: Snapshot) -> bool:
        """Return whether a kind may be sent now.

        A subscriber to all clusters must first acknowledge the resources that this kind refers to.
        """
        if kind not in (LDS, RDS):
            return True
        clusters = self._subscriptions.get(CDS)
        if clusters is None or not clusters.is_wildcard:
            return True  # without a wildcard, the subscriber itself decides the order of its requests
        routes = self._subscriptions.get(RDS)
        for route in snapshot.kinds[RDS].values():
            if kind == RDS and not (routes is not None and routes.includes(route.name)):
                continue
            if not route.refers <= clusters.acked.keys():
                return False
            if not self._has_endpoints_of(route, clusters, snapshot):
                return False
        return True

    def _has_endpoints_of(self, route: Resource, clusters: _Subscription, snapshot: Snapshot) -> bool:
        endpoints = self._subscriptions.get(EDS)
        if endpoints is None:
            return True
        return not any(
            endpoints.includes(name) and name not in endpoints.acked and name in snapshot.kinds[EDS]
            for cluster in route.refers
            for name in clusters.acked[cluster].refers
        )

    def _view(self, kind: str, subscription: _Subscription, snapshot: Snapshot) -> Mapping[str, Resource]:
        """Return the newest resources of a kind, and removed ones that the subscriber still refers to."""
        newest = snapshot.kinds[kind]
        if kind not in (CDS, EDS):
            return newest
        retained = {
            name: resource
            for name, resource in self._referred_to(kind, snapshot).items()
            if name not in newest and subscription.includes(name)
        }
        return {**newest, **retained} if retained else newest

    def _referred_to(self, kind: str, snapshot: Snapshot) -> dict[str, Resource]:
        """Return the clusters, or their endpoints, that acknowledged but outdated routes refer to.

        If these were removed, requests would find no cluster until the subscriber applies the new routes.
        """
        routes, clusters = self._subscriptions.get(RDS), self._subscriptions.get(CDS)
        if routes is None or clusters is None:
            return {}
        used: set[str] = set()
        for route in routes.acked.values():
            newest = snapshot.get(RDS, route.name)
            if newest is not None and newest is not route:  # the old route is in use until it is replaced
                used |= route.refers
        retained = {name: clusters.acked[name] for name in used if name in clusters.acked}
        if kind == CDS:
            return retained
        endpoints = self._subscriptions.get(EDS)
        if endpoints is None:
            return {}
        return {
            name: endpoints.acked[name]
            for cluster in retained.values()
            for name in cluster.refers
            if name in endpoints.acked
        }

    @staticmethod
    def _due(subscription: _Subscription, view: Mapping[str, Resource]) -> tuple[list[Resource], list[str]]:
        """Return the resources whose current version was not sent, and the names that no longer exist."""
        names = view.keys() if subscription.is_wildcard else view.keys() & subscription.names
        due = []
        for name in sorted(names):
            resource = view[name]
            sent = subscription.sent.get(name)
            if sent is not None:
                if sent.digest != resource.digest:
                    due.append(resource)
            elif subscription.proven_digests.get(name) != resource.digest:
                due.append(resource)
        removed = subscription.removed
        missing = [name for name in subscription.names if name not in view and name not in removed]
        had = (subscription.sent.keys() | subscription.proven_digests.keys()) - subscription.names - removed
        missing += [name for name in had if name not in view]
        return due, sorted(missing)

    def _state_response(self, kind: str, subscription: _Subscription, snapshot: Snapshot) -> Response | None:
        view = self._view(kind, subscription, snapshot)
        due, missing = self._due(subscription, view)
        if kind in COMPLETE_KINDS:
            # A CDS or LDS response lists all resources, and the subscriber removes those not in the list.
            is_due = due or missing or subscription.is_response_due or not subscription.has_responded
            if not is_due or (not subscription.is_wildcard and not subscription.names):
                subscription.is_response_due = False
                return None
            names = view.keys() if subscription.is_wildcard else view.keys() & subscription.names
            due = [view[name] for name in sorted(names)]
        elif not due:
            subscription.removed.update(missing)
            return None
        subscription.is_response_due = False
        return self._respond(kind, subscription, snapshot, view, due, missing)

    def _incremental_response(
        self, kind: str, subscription: _Subscription, snapshot: Snapshot
    ) -> Response | None:
        view = self._view(kind, subscription, snapshot)
        due, missing = self._due(subscription, view)
        for name, proven_digest in subscription.proven_digests.items():
            resource = view.get(name)
            if resource is not None and proven_digest == resource.digest and name not in subscription.sent:
                # The subscriber proved that it holds the same content, so count it as acknowledged.
                subscription.sent[name] = subscription.acked[name] = resource
        if not due and not missing and (subscription.has_responded or not subscription.is_wildcard):
            return None
        return self._respond(kind, subscription, snapshot, view, due, missing)

    def _head(
        self, kind: str, snapshot: Snapshot, view: Mapping[str, Resource],
        due: list[Resource], missing: list[str],
    ) -> tuple[str, bytes]:  # fmt: skip
        """Return a response's version and its bytes without the nonce, cached for other subscribers."""
        key = (self.incremental, kind, *(resource.name for resource in due), None, *missing)
        is_shared = view is snapshot.kinds[kind]
        if is_shared and (cached := snapshot.cached_heads.get(key)) is not None:
            return cached
        version = self._signer.version(snapshot.position, _digest_of(view.values()))
        entries = [each.delta_entry if self.incremental else each.state_entry for each in due]
        removed = (
            [length_delimited(_REMOVED_FIELD, name.encode()) for name in missing] if self.incremental else []
        )
        type_url = length_delimited(_TYPE_URL_FIELD, kind.encode())
        head = (
            version,
            b"".join([length_delimited(_VERSION_FIELD, version.encode()), *entries, type_url, *removed]),
        )
        if is_shared and len(snapshot.cached_heads) < MAX_CACHED_HEADS:
            snapshot.cached_heads[key] = head
        return head

    def _respond(
        self, kind: str, subscription: _Subscription, snapshot: Snapshot, view: Mapping[str, Resource],
        due: list[Resource], missing: list[str],
    ) -> Response:  # fmt: skip
        version, head = self._head(kind, snapshot, view, due, missing)
        subscription.last_nonce += 1
        nonce = str(subscription.last_nonce)
        for resource in due:
            subscription.sent[resource.name] = resource
            subscription.removed.discard(resource.name)
            rejection = subscription.rejected.get(resource.name)
            if rejection is not None and rejection.version != resource.version:
                del subscription.rejected[resource.name]
        for name in missing:
            subscription.sent.pop(name, None)
            subscription.rejected.pop(name, None)
            subscription.proven_digests.pop(name, None)
            subscription.removed.add(name)
        subscription.has_responded, subscription.version = True, version
        resources, removed = tuple(due), tuple(missing)
        subscription.unacknowledged[nonce] = _SentResponse(
            resources, removed, version, snapshot.change_received_ns
        )
        return Response(
            kind, nonce, version, resources, removed, snapshot.position, snapshot.change_received_ns,
            head + length_delimited(_NONCE_FIELD, nonce.encode()),
        )  # fmt: skip

    @property
    def is_blocked(self) -> bool:
        """Whether a kind has reached its limit of unacknowledged responses and waits for the subscriber."""
        return any(
            len(subscription.unacknowledged) >= MAX_UNACKNOWLEDGED
            for subscription in self._subscriptions.values()
        )

    # --- status ---------------------------------------------------------------------------------

    def acknowledged(self, kind: str) -> Mapping[str, Resource]:
        """Return the resources of a kind that the subscriber acknowledged last, by name."""
        subscription = self._subscriptions.get(kind)
        return subscription.acked if subscription is not None else {}

    def rejected(self, kind: str) -> Mapping[str, Rejection]:
        """Return the current rejections of a kind, by resource name."""
        subscription = self._subscriptions.get(kind)
        return subscription.rejected if subscription is not None else {}

    def subscribed_names(self, kind: str) -> list[str] | None:
        """Return the names subscribed to, with `*` for all, or None without a subscription to the kind."""
        subscription = self._subscriptions.get(kind)
        if subscription is None:
            return None
        return ([WILDCARD] if subscription.is_wildcard else []) + sorted(subscription.names)

    def versions(self, kind: str) -> tuple[str, str, int]:
        """Return the versions sent and acknowledged last, and the number of unacknowledged responses."""
        subscription = self._subscriptions.get(kind)
        if subscription is None:
            return "", "", 0
        return subscription.version, subscription.acked_version, len(subscription.unacknowledged)


def _digest_of(resources: Iterable[Resource]) -> str:
    entries = sorted(f"{resource.name}={resource.digest};" for resource in resources)
    return digest("".join(entries).encode())
