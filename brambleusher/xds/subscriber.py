"""Serve one stream of one subscriber: the aggregated discovery protocol in both variants, without I/O.

Decoded requests go in, and `offer` sets the snapshot to serve.  `take` gives the next response, made
against the newest snapshot at that moment: nothing is queued, so a slow subscriber skips what was
superseded.  Kinds are served in the order CDS, EDS, LDS, RDS (make before break): a kind that refers to
another waits until that one is acknowledged, and resources still referred to are not removed.

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
    sized,
)
from brambleusher.xds.versions import ProvenVersion, Seal, digest

WILDCARD = "*"
MAX_UNACKNOWLEDGED = 2  # responses of a kind: a change can overtake a long list
MAX_REASON_CHARS = 500
MAX_NAMES_CHARS = 200  # of the names of rejected resources in a log line
MAX_SHOWN_CHARS = 100
MAX_NONCE_DIGITS = 18
MAX_CACHED_HEADS = 64  # of a snapshot: subscribers may ask for as many selections of names as they like
NAME_LISTS = 3  # of one request, each of up to the bound: subscribed, unsubscribed, initial versions
# Fields of DiscoveryResponse and DeltaDiscoveryResponse.
_VERSION_FIELD, _TYPE_URL_FIELD, _NONCE_FIELD, _REMOVED_FIELD = 1, 4, 5, 6


@dataclass(frozen=True, slots=True)
class Request:
    """A request of either variant, decoded; `error` is the reason of a rejection (None: none)."""

    kind: str
    nonce: str = ""
    error: str | None = None
    version: str = ""  # state of the world: the last version accepted
    names: tuple[str, ...] = ()  # state of the world: all names subscribed to
    subscribe: tuple[str, ...] = ()  # incremental
    unsubscribe: tuple[str, ...] = ()
    initial_versions: Mapping[str, str] = field(
        default_factory=dict
    )  # incremental: versions by name, at the start


@dataclass(frozen=True, slots=True)
class Response:
    """A response: the encoded message, and what it is made of."""

    kind: str
    nonce: str
    version: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...]
    position: ViewPosition
    made_ns: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A version that the subscriber rejected, and why."""

    version: str
    reason: str


@dataclass(slots=True)
class _SentResponse:
    """A response that waits for its acknowledgement."""

    resources: tuple[Resource, ...]
    removed: tuple[str, ...]
    version: str
    made_ns: int


class _Subscription:
    """The subscription to one kind, and what was sent and acknowledged."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.is_wildcard = False  # all resources are subscribed to
        self.has_named = False  # names, or the wildcard, were given once
        self.sent: dict[str, Resource] = {}  # by name, the last one sent; acknowledged or rejected
        self.acked: dict[str, Resource] = {}  # by name, the last one acknowledged
        self.proven_digests: dict[str, str] = {}  # by name, of what it had when it connected
        self.removed: set[str] = set()  # names of which it was sent that they don't exist
        self.rejected: dict[str, Rejection] = {}
        self.unacknowledged: dict[str, _SentResponse] = {}  # by nonce, oldest first
        self.has_responded = False
        self.is_response_due = False  # names were added: a response is due though nothing changed
        self.version = self.acked_version = ""
        self.last_nonce = 0
        self.served: object = None  # the resources of a snapshot of which it has all, until it asks again

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
        self, seal: Seal, incremental: bool, max_names: int = 1000, max_name_bytes: int = 512
    ) -> None:
        self.incremental = incremental
        self._seal, self._max_names, self._max_name_bytes = seal, max_names, max_name_bytes
        self._subscriptions: dict[str, _Subscription] = {}  # by kind
        self._snapshot: Snapshot | None = None
        # The owner takes what is in these three, and clears them.
        self.proven_positions: list[ViewPosition] = []  # of versions that it had when it connected
        self.rejections: list[tuple[str, str, Rejection]] = []  # kind, names, version and reason
        self.acked_ns: list[int] = []  # times of the views acknowledged just now

    # --- requests -------------------------------------------------------------------------------

    def receive(self, request: Request) -> None:
        """Take in one request.

        Raises:
            ProtocolError: It breaks a rule or a bound.
        """
        self._check_bounds(request)
        is_first = request.kind not in self._subscriptions
        subscription = _Subscription() if is_first else self._subscriptions[request.kind]
        subscription.check_nonce(request.nonce)
        self._subscriptions[request.kind] = subscription
        # What is kept for a subscriber depends on its routes and clusters.
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
        """Return whether a request was sent before the last response was read; it is ignored then."""
        return subscription.has_responded and request.nonce != str(subscription.last_nonce)

    def _handle_acknowledgement(self, request: Request, subscription: _Subscription) -> None:
        """Take in an acknowledgement or a rejection; one of an older response is ignored."""
        sent = subscription.unacknowledged.get(request.nonce)
        if sent is None:
            return
        for nonce in list(subscription.unacknowledged):  # it covers the responses before as well
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
        self.acked_ns.append(sent.made_ns)

    def _update_state_of_the_world(
        self, request: Request, subscription: _Subscription, is_first: bool
    ) -> None:
        """Take in the names of a request: they are all that is subscribed to."""
        names = set(request.names)
        is_wildcard = WILDCARD in names
        names.discard(WILDCARD)
        if is_first:
            if not request.names and request.kind in COMPLETE_KINDS:
                is_wildcard = True
            proven = self._seal.parse(request.version) if request.version else None
            if proven is not None:
                self.proven_positions.append(proven.position)
        elif not request.names and subscription.is_wildcard and not subscription.has_named:
            is_wildcard = True  # nothing was ever named: still all
        subscription.has_named |= bool(request.names)
        added = names - subscription.names or (is_wildcard and not subscription.is_wildcard)
        for name in subscription.names - names:
            if is_wildcard:  # else the set grows with every name that was ever asked for
                subscription.removed.discard(name)
            else:
                subscription.forget(name)
        subscription.names, subscription.is_wildcard = names, is_wildcard
        if added:
            subscription.is_response_due = True
            for name in names:  # a name added again is sent again
                if name not in subscription.sent:
                    subscription.removed.discard(name)

    def _update_incremental(self, request: Request, subscription: _Subscription, is_first: bool) -> None:
        """Take in the names that a request adds and removes."""
        if is_first:
            if not request.subscribe and request.kind in COMPLETE_KINDS:
                subscription.is_wildcard = True
            for name, version in request.initial_versions.items():
                self._record_initial_version(subscription, name, self._seal.parse(version))
        for name in request.unsubscribe:
            self._unsubscribe(subscription, name)
        for name in request.subscribe:
            if name == WILDCARD:
                subscription.is_wildcard = True
                continue
            subscription.names.add(name)
            subscription.removed.discard(name)
            if not is_first:  # a name that is asked for again is sent again
                subscription.sent.pop(name, None)

    def _record_initial_version(
        self, subscription: _Subscription, name: str, proven: ProvenVersion | None
    ) -> None:
        """Note a resource that a subscriber connects with; one that is not proven gets superseded."""
        if proven is not None:
            self.proven_positions.append(proven.position)
        subscription.proven_digests[name] = proven.digest if proven is not None else ""

    @staticmethod
    def _unsubscribe(subscription: _Subscription, name: str) -> None:
        if name == WILDCARD:
            subscription.is_wildcard = False
            for sent in [sent for sent in subscription.sent if sent not in subscription.names]:
                subscription.forget(sent)
            return
        subscription.names.discard(name)
        if subscription.is_wildcard:
            subscription.removed.discard(name)
        else:
            subscription.forget(name)

    # --- responses ------------------------------------------------------------------------------

    def offer(self, snapshot: Snapshot) -> None:
        """Set the snapshot to serve; one offered before and not taken is forgotten."""
        self._snapshot = snapshot

    def refresh(self, kind: str) -> None:
        """Have resources of a kind sent again that expire at the subscriber; not rejected ones."""
        subscription = self._subscriptions.get(kind)
        if subscription is None:
            return
        for name in [name for name in subscription.sent if name not in subscription.rejected]:
            del subscription.sent[name]
            subscription.proven_digests.pop(name, None)
        subscription.served = None

    @property
    def offered(self) -> Snapshot | None:
        """The snapshot to serve."""
        return self._snapshot

    def take(self) -> Response | None:
        """Return the next response, or None as long as there is nothing to send."""
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
        """Return whether a subscriber to all clusters has acknowledged all that this kind refers to."""
        if kind not in (LDS, RDS):
            return True
        clusters = self._subscriptions.get(CDS)
        if clusters is None or not clusters.is_wildcard:
            return True  # it asks for what it finds referred to, in its own order
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
        """Return the resources of a kind: the newest, and those that the subscriber still refers to."""
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
        """Return clusters, or their endpoints, of acknowledged routes that newer ones have not replaced.

        Without them requests would find their cluster gone while the new routes are on their way.
        """
        routes, clusters = self._subscriptions.get(RDS), self._subscriptions.get(CDS)
        if routes is None or clusters is None:
            return {}
        used: set[str] = set()
        for route in routes.acked.values():
            newest = snapshot.get(RDS, route.name)
            if newest is not None and newest is not route:  # in use until the newest replaces it
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
        """Return the resources not sent in this version, and the names that exist no more."""
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
            # Such a response lists all resources: one that it leaves out is removed.
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
                # It has proven to hold this very content: as good as sent and acknowledged.
                subscription.sent[name] = subscription.acked[name] = resource
        if not due and not missing and (subscription.has_responded or not subscription.is_wildcard):
            return None
        return self._respond(kind, subscription, snapshot, view, due, missing)

    def _head(
        self, kind: str, snapshot: Snapshot, view: Mapping[str, Resource],
        due: list[Resource], missing: list[str],
    ) -> tuple[str, bytes]:  # fmt: skip
        """Return a response's version and its bytes without the nonce; encoded once for all subscribers."""
        key = (self.incremental, kind, *(resource.name for resource in due), None, *missing)
        is_shared = view is snapshot.kinds[kind]
        if is_shared and (cached := snapshot.heads.get(key)) is not None:
            return cached
        version = self._seal.version(snapshot.position, _digest_of(view.values()))
        entries = [each.delta_entry if self.incremental else each.state_entry for each in due]
        removed = [sized(_REMOVED_FIELD, name.encode()) for name in missing] if self.incremental else []
        type_url = sized(_TYPE_URL_FIELD, kind.encode())
        head = version, b"".join([sized(_VERSION_FIELD, version.encode()), *entries, type_url, *removed])
        if is_shared and len(snapshot.heads) < MAX_CACHED_HEADS:
            snapshot.heads[key] = head
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
        subscription.unacknowledged[nonce] = _SentResponse(resources, removed, version, snapshot.made_ns)
        return Response(
            kind, nonce, version, resources, removed, snapshot.position, snapshot.made_ns,
            head + sized(_NONCE_FIELD, nonce.encode()),
        )  # fmt: skip

    @property
    def is_blocked(self) -> bool:
        """Whether a kind has as many unacknowledged responses as it may, and waits for one."""
        return any(
            len(subscription.unacknowledged) >= MAX_UNACKNOWLEDGED
            for subscription in self._subscriptions.values()
        )

    # --- status ---------------------------------------------------------------------------------

    def acknowledged(self, kind: str) -> Mapping[str, Resource]:
        """Return the resources acknowledged last, by name."""
        subscription = self._subscriptions.get(kind)
        return subscription.acked if subscription is not None else {}

    def rejected(self, kind: str) -> Mapping[str, Rejection]:
        """Return the rejections in force, by name."""
        subscription = self._subscriptions.get(kind)
        return subscription.rejected if subscription is not None else {}

    def subscribed_names(self, kind: str) -> list[str] | None:
        """Return the names subscribed to, `*` for all; None where it never asked."""
        subscription = self._subscriptions.get(kind)
        if subscription is None:
            return None
        return ([WILDCARD] if subscription.is_wildcard else []) + sorted(subscription.names)

    def versions(self, kind: str) -> tuple[str, str, int]:
        """Return the version sent last, the one acknowledged last, and how many are unacknowledged."""
        subscription = self._subscriptions.get(kind)
        if subscription is None:
            return "", "", 0
        return subscription.version, subscription.acked_version, len(subscription.unacknowledged)


def _digest_of(resources: Iterable[Resource]) -> str:
    entries = sorted(f"{resource.name}={resource.digest};" for resource in resources)
    return digest("".join(entries).encode())
