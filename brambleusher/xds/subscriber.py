"""One stream of one subscriber: the aggregated discovery protocol in both variants, without I/O.

Decoded requests go in, and `offer` sets what there is to have.  `take` gives the next response, made
against the newest offer at that moment: nothing is queued, so a subscriber that is slow skips what
was superseded.  Kinds are served in the order CDS, EDS, LDS, RDS, and one that points to another
waits until that one is acknowledged; what is still pointed to is not taken away.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.faults import ProtocolError
from brambleusher.xds.snapshot import CDS, EDS, LDS, ORDER, RDS, WHOLE, Resource, Snapshot, sized
from brambleusher.xds.versions import Claim, Seal, digest

STAR = "*"
OUTSTANDING = 2  # responses of a kind that may wait for their acknowledgement: news overtakes a long list
MAX_REASON = 500
MAX_HEADS = 64  # of a snapshot: subscribers may ask for as many selections of names as they like


@dataclass(frozen=True, slots=True)
class Request:
    """A request of either variant, decoded; `error` is a refusal's reason (None: none)."""

    kind: str
    nonce: str = ""
    error: str | None = None
    version: str = ""  # whole state: the last version accepted
    names: tuple[str, ...] = ()  # whole state: all that is wanted
    subscribe: tuple[str, ...] = ()  # incremental
    unsubscribe: tuple[str, ...] = ()
    held: Mapping[str, str] = field(default_factory=dict)  # incremental: versions by name, when it connects


@dataclass(frozen=True, slots=True)
class Response:
    """What to send: the encoded message, and what it is made of."""

    kind: str
    nonce: str
    version: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...]
    place: ViewPosition
    made_ns: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A version that the subscriber refused, and why."""

    version: str
    reason: str


@dataclass(slots=True)
class _Sent:
    """One response that waits for its acknowledgement."""

    resources: tuple[Resource, ...]
    removed: tuple[str, ...]
    version: str
    place: ViewPosition
    made_ns: int


class _Kind:
    """The subscription to one kind, and what was sent and accepted."""

    def __init__(self) -> None:
        self.wanted: set[str] = set()
        self.star = self.named = False  # all are wanted; names, or the star, were given once
        self.sent: dict[str, Resource] = {}  # the last of each name that was sent; what it has or refused
        self.acked: dict[str, Resource] = {}  # the last of each name that it accepted
        self.assumed: dict[str, str] = {}  # digests it proved to have when it connected
        self.gone: set[str] = set()  # names that it was told don't exist
        self.rejected: dict[str, Rejection] = {}
        self.waiting: dict[str, _Sent] = {}  # by nonce, oldest first
        self.answered = False  # a response was sent
        self.again = False  # names were added: a whole-state response is due though nothing changed
        self.version = self.acked_version = ""
        self.nonces = 0
        self.settled: object = None  # the shelf of which it has all that it wants, as long as it asks nothing

    def wants(self, name: str) -> bool:
        return self.star or name in self.wanted


class Subscriber:
    """The state machine of one stream."""

    def __init__(self, seal: Seal, incremental: bool, max_names: int = 1000, max_name: int = 512) -> None:
        self.incremental = incremental
        self._seal, self._max_names, self._max_name = seal, max_names, max_name
        self._kinds: dict[str, _Kind] = {}
        self._offer: Snapshot | None = None
        self.claims: list[ViewPosition] = []  # proven by versions it came with; the owner takes them
        self.rejections: list[tuple[str, str, Rejection]] = []  # kind, names, why; the owner takes them
        self.acked_ns: list[int] = []  # the times of views acknowledged just now; the owner takes them

    # --- requests -------------------------------------------------------------------------------

    def receive(self, request: Request) -> None:
        """Take one request in; raises `ProtocolError` where it breaks a rule."""
        if request.kind not in ORDER:
            raise ProtocolError(f"resources of type {request.kind[:100]!r} are not served")
        names = (*request.names, *request.subscribe, *request.unsubscribe, *request.held)
        if len(names) > 3 * self._max_names or any(len(name) > self._max_name for name in names):
            raise ProtocolError("too many names, or one that is too long")
        kind = self._kinds.get(request.kind)
        first = kind is None
        if kind is None:
            kind = _Kind()
        if not request.nonce.isascii() or (request.nonce and not request.nonce.isdigit()):
            raise ProtocolError("a nonce that was never given")
        if request.nonce and int(request.nonce[:18]) > kind.nonces:
            raise ProtocolError("a nonce that was never given")
        self._kinds[request.kind] = kind
        for each, held in self._kinds.items():  # what is kept for a subscriber hangs on routes and clusters
            if each == request.kind or (each in (CDS, EDS) and request.kind in (CDS, RDS)):
                held.settled = None
        if request.nonce:
            self._answer(request, kind)
        if self.incremental:
            self._subscribe(request, kind, first)
        elif first or not self._stale(request, kind):
            self._want(request, kind, first)
        if len(kind.wanted) > self._max_names:
            raise ProtocolError(f"more than {self._max_names} names")

    @staticmethod
    def _stale(request: Request, kind: _Kind) -> bool:
        """Whether a whole-state request was written before the last response was read: it is passed over."""
        return kind.answered and request.nonce != str(kind.nonces)

    def _answer(self, request: Request, kind: _Kind) -> None:
        """An acknowledgement or a refusal of what was sent with that nonce; of an older one, nothing."""
        sent = kind.waiting.get(request.nonce)
        if sent is None:
            return
        for nonce in list(kind.waiting):  # what was sent before is settled with it
            if int(nonce) <= int(request.nonce):
                del kind.waiting[nonce]
        if request.error is None:
            for resource in sent.resources:
                kind.acked[resource.name] = resource
                kind.rejected.pop(resource.name, None)
            for name in sent.removed:
                kind.acked.pop(name, None)
            if not self.incremental and request.kind in WHOLE:
                kind.acked = {resource.name: resource for resource in sent.resources}
            kind.acked_version = sent.version
            self.acked_ns.append(sent.made_ns)
            return
        reason = request.error[:MAX_REASON]
        for resource in sent.resources:
            kind.rejected[resource.name] = Rejection(resource.version, reason)
        rejection = Rejection(sent.version, reason)
        self.rejections.append((request.kind, ", ".join(r.name for r in sent.resources)[:200], rejection))

    def _want(self, request: Request, kind: _Kind, first: bool) -> None:
        """Whole state: the names are all that is wanted."""
        names = set(request.names)
        star = STAR in names
        names.discard(STAR)
        if first:
            if not request.names and request.kind in WHOLE:
                star = True
            claim = self._seal.read(request.version) if request.version else None
            if claim is not None:
                self.claims.append(claim.place)
        elif not request.names and kind.star and not kind.named:
            star = True  # nothing was ever named: still all
        kind.named |= bool(request.names)
        added = names - kind.wanted or (star and not kind.star)
        for name in kind.wanted - names:
            if star:  # guards against a list that grows with every name that was ever asked for
                kind.gone.discard(name)
            else:
                self._drop(kind, name)
        kind.wanted, kind.star = names, star
        if added:
            kind.again = True
            for name in names:  # named anew: it is to be had even if it was sent before under another one
                if name not in kind.sent:
                    kind.gone.discard(name)

    def _subscribe(self, request: Request, kind: _Kind, first: bool) -> None:
        """Incremental: names come and go."""
        if first:
            if not request.subscribe and request.kind in WHOLE:
                kind.star = True
            for name, version in request.held.items():
                claim = self._seal.read(version)
                if claim is not None:
                    self.claims.append(claim.place)
                self._assume(kind, name, claim)
        for name in request.unsubscribe:
            if name == STAR:
                kind.star = False
                for held in [held for held in kind.sent if held not in kind.wanted]:
                    self._drop(kind, held)
            else:
                kind.wanted.discard(name)
                if kind.star:
                    kind.gone.discard(name)
                else:
                    self._drop(kind, name)
        for name in request.subscribe:
            if name == STAR:
                kind.star = True
                continue
            kind.wanted.add(name)
            kind.gone.discard(name)
            if not first:  # asked for again: it is sent again
                kind.sent.pop(name, None)

    def _assume(self, kind: _Kind, name: str, claim: Claim | None) -> None:
        """What it says it has.  Only proven content is believed to be there; anything else is superseded."""
        kind.assumed[name] = claim.digest if claim is not None else ""

    @staticmethod
    def _drop(kind: _Kind, name: str) -> None:
        kind.sent.pop(name, None)
        kind.acked.pop(name, None)
        kind.rejected.pop(name, None)
        kind.assumed.pop(name, None)
        kind.gone.discard(name)

    # --- responses ------------------------------------------------------------------------------

    def offer(self, snapshot: Snapshot) -> None:
        """The newest there is to have; what was offered before and not taken is forgotten."""
        self._offer = snapshot

    def refresh(self, name: str) -> None:
        """Have a kind sent once more, for those that let it go stale; not what was refused."""
        kind = self._kinds.get(name)
        if kind is not None:
            for each in [each for each in kind.sent if each not in kind.rejected]:
                del kind.sent[each]
                kind.assumed.pop(each, None)
            kind.settled = None

    @property
    def offered(self) -> Snapshot | None:
        """What was offered last."""
        return self._offer

    def take(self) -> Response | None:
        """The next response, or None as long as there is nothing to say."""
        snapshot = self._offer
        if snapshot is None:
            return None
        for name in ORDER:
            kind = self._kinds.get(name)
            if kind is None or len(kind.waiting) >= OUTSTANDING or kind.settled is snapshot.kinds[name]:
                continue
            if not self._turn(name, snapshot):
                continue
            response = (
                self._delta(name, kind, snapshot) if self.incremental else self._state(name, kind, snapshot)
            )
            if response is not None:
                return response
            kind.settled = snapshot.kinds[name]
        return None

    def _turn(self, name: str, snapshot: Snapshot) -> bool:
        """Whether what this kind points to is in place at a subscriber that takes all there is of it."""
        if name not in (LDS, RDS):
            return True
        clusters = self._kinds.get(CDS)
        if clusters is None or not clusters.star:
            return True  # it asks for what it finds named, in its own order
        endpoints = self._kinds.get(EDS)
        routes = self._kinds.get(RDS)
        for route in snapshot.kinds[RDS].values():
            if name == RDS and not (routes is not None and routes.wants(route.name)):
                continue
            if not route.refers <= clusters.acked.keys():
                return False
            if endpoints is None:
                continue
            for cluster in route.refers:
                made = clusters.acked[cluster]
                if any(endpoints.wants(each) and each not in endpoints.acked and each in snapshot.kinds[EDS]
                       for each in made.refers):  # fmt: skip
                    return False
        return True

    def _view(self, name: str, kind: _Kind, snapshot: Snapshot) -> Mapping[str, Resource]:
        """What there is of a kind: the newest, and what the subscriber still points to."""
        newest = snapshot.kinds[name]
        if name not in (CDS, EDS):
            return newest
        kept = self._pointed_to(name, snapshot)
        kept = {each: held for each, held in kept.items() if each not in newest and kind.wants(each)}
        return {**newest, **kept} if kept else newest

    def _pointed_to(self, name: str, snapshot: Snapshot) -> dict[str, Resource]:
        """Clusters, or their endpoints, that routes it accepted go to and newer routes have not replaced.

        Guards against requests that find their cluster gone while the new routes are on their way.
        """
        routes, clusters = self._kinds.get(RDS), self._kinds.get(CDS)
        if routes is None or clusters is None:
            return {}
        used: set[str] = set()
        for held in routes.acked.values():
            newest = snapshot.get(RDS, held.name)
            if newest is not None and newest is not held:  # replaced soon: until then it is in use
                used |= held.refers
        kept = {each: clusters.acked[each] for each in used if each in clusters.acked}
        if name == CDS:
            return kept
        endpoints = self._kinds.get(EDS)
        if endpoints is None:
            return {}
        return {
            each: endpoints.acked[each]
            for cluster in kept.values()
            for each in cluster.refers
            if each in endpoints.acked
        }

    @staticmethod
    def _due(kind: _Kind, view: Mapping[str, Resource]) -> tuple[list[Resource], list[str]]:
        """What it wants and has not been sent in this version, and what it has that is no more."""
        names = view.keys() if kind.star else view.keys() & kind.wanted
        due = []
        for each in sorted(names):
            resource = view[each]
            sent = kind.sent.get(each)
            if sent is not None:
                if sent.digest != resource.digest:
                    due.append(resource)
            elif kind.assumed.get(each) != resource.digest:
                due.append(resource)
        missing = [name for name in kind.wanted if name not in view and name not in kind.gone]
        had = (kind.sent.keys() | kind.assumed.keys()) - kind.wanted - kind.gone
        missing += [name for name in had if name not in view]
        return due, sorted(missing)

    def _state(self, name: str, kind: _Kind, snapshot: Snapshot) -> Response | None:
        view = self._view(name, kind, snapshot)
        due, missing = self._due(kind, view)
        if name in WHOLE:
            # A whole list says by itself what is no more.
            due_now = due or missing or kind.again or not kind.answered
            if not due_now or (not kind.star and not kind.wanted):
                kind.again = False
                return None
            names = view.keys() if kind.star else view.keys() & kind.wanted
            due = [view[each] for each in sorted(names)]
        elif not due:
            kind.gone.update(missing)
            return None
        kind.again = False
        return self._sent(name, kind, snapshot, view, due, missing)

    def _delta(self, name: str, kind: _Kind, snapshot: Snapshot) -> Response | None:
        view = self._view(name, kind, snapshot)
        due, missing = self._due(kind, view)
        for each in list(kind.assumed):
            resource = view.get(each)
            if resource is not None and kind.assumed[each] == resource.digest and each not in kind.sent:
                # It has proven to hold the present one: as good as sent and accepted.
                kind.sent[each] = kind.acked[each] = resource
        if not due and not missing and (kind.answered or not kind.star):
            return None
        return self._sent(name, kind, snapshot, view, due, missing)

    def _head(
        self, name: str, snapshot: Snapshot, view: Mapping[str, Resource],
        due: list[Resource], missing: list[str],
    ) -> tuple[str, bytes]:  # fmt: skip
        """A response's version and all of its bytes but the nonce; put together once for all subscribers."""
        key = (self.incremental, name, *(each.name for each in due), None, *missing)
        shared = view is snapshot.kinds[name]
        if shared and (held := snapshot.heads.get(key)) is not None:
            return held
        version = self._seal.version(snapshot.place, _digest_of(view.values()))
        entries = [each.delta_entry if self.incremental else each.state_entry for each in due]
        gone = [sized(6, each.encode()) for each in missing] if self.incremental else []
        made = version, b"".join([sized(1, version.encode()), *entries, sized(4, name.encode()), *gone])
        if shared and len(snapshot.heads) < MAX_HEADS:
            snapshot.heads[key] = made
        return made

    def _sent(
        self, name: str, kind: _Kind, snapshot: Snapshot, view: Mapping[str, Resource],
        due: list[Resource], missing: list[str],
    ) -> Response:  # fmt: skip
        version, head = self._head(name, snapshot, view, due, missing)
        kind.nonces += 1
        nonce = str(kind.nonces)
        for resource in due:
            kind.sent[resource.name] = resource
            kind.gone.discard(resource.name)
            if (was := kind.rejected.get(resource.name)) and was.version != resource.version:
                del kind.rejected[resource.name]
        for each in missing:
            kind.sent.pop(each, None)
            kind.rejected.pop(each, None)
            kind.assumed.pop(each, None)
            kind.gone.add(each)
        kind.answered, kind.version = True, version
        kind.waiting[nonce] = _Sent(tuple(due), tuple(missing), version, snapshot.place, snapshot.made_ns)
        return Response(
            name, nonce, version, tuple(due), tuple(missing), snapshot.place, snapshot.made_ns,
            head + sized(5, nonce.encode()),
        )  # fmt: skip

    @property
    def stuck(self) -> bool:
        """Whether it has as many responses as may wait for an answer; it gets no more of that kind."""
        return any(len(kind.waiting) >= OUTSTANDING for kind in self._kinds.values())

    # --- to look at -----------------------------------------------------------------------------

    def holds(self, kind: str) -> Mapping[str, Resource]:
        """What it accepted last, by name."""
        held = self._kinds.get(kind)
        return held.acked if held is not None else {}

    def rejects(self, kind: str) -> Mapping[str, Rejection]:
        """What it refuses, by name."""
        held = self._kinds.get(kind)
        return held.rejected if held is not None else {}

    def subscription(self, kind: str) -> list[str] | None:
        """The names wanted, `*` for all; None where it never asked."""
        held = self._kinds.get(kind)
        if held is None:
            return None
        return ([STAR] if held.star else []) + sorted(held.wanted)

    def versions(self, kind: str) -> tuple[str, str, int]:
        """The version sent last, the one accepted last, and how many responses wait for an answer."""
        held = self._kinds.get(kind)
        return (held.version, held.acked_version, len(held.waiting)) if held is not None else ("", "", 0)


def _digest_of(resources: Iterable[Resource]) -> str:
    return digest("".join(sorted(f"{each.name}={each.digest};" for each in resources)).encode())
