"""Snapshots of xDS resources: named resources of four kinds, each with a version and its encoded bytes.

A resource is encoded once for each content and shared by all subscribers.  Responses are joined from
these bytes, so no resource is encoded twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.versions import MacSigner, digest

_TYPES = "type.googleapis.com/envoy.config."
CDS = _TYPES + "cluster.v3.Cluster"
EDS = _TYPES + "endpoint.v3.ClusterLoadAssignment"
LDS = _TYPES + "listener.v3.Listener"
RDS = _TYPES + "route.v3.RouteConfiguration"
# The order in which kinds are sent ("make before break"): a resource precedes those that refer to it.
SEND_ORDER = (CDS, EDS, LDS, RDS)
# Kinds for which an empty subscription means all resources, and for which a state-of-the-world response
# lists all resources subscribed to.
COMPLETE_KINDS = frozenset({CDS, LDS})
_VARINT_BITS, _VARINT_MASK, _VARINT_CONTINUES = 7, 0x7F, 0x80
_LENGTH_DELIMITED = 2  # protobuf wire type

KIND_ABBREVIATIONS = {CDS: "CDS", EDS: "EDS", LDS: "LDS", RDS: "RDS"}


def varint(value: int) -> bytes:
    """Encode a number as a protobuf varint."""
    out = bytearray()
    while value > _VARINT_MASK:
        out.append(value & _VARINT_MASK | _VARINT_CONTINUES)
        value >>= _VARINT_BITS
    out.append(value)
    return bytes(out)


def length_delimited(number: int, data: bytes) -> bytes:
    """Encode a length-delimited protobuf field (bytes, a string or a message) with the given number."""
    return varint(number << 3 | _LENGTH_DELIMITED) + varint(len(data)) + data


@dataclass(frozen=True, slots=True)
class Resource:
    """One versioned resource; `refers` names resources of the next kind without which it can't be used."""

    kind: str
    name: str
    version: str
    digest: str
    body: bytes  # the encoded protobuf message of the resource
    state_entry: bytes = field(repr=False)  # the encoded `resources` entry for a state-of-the-world response
    delta_entry: bytes = field(repr=False)  # the encoded `resources` entry for an incremental response
    refers: frozenset[str] = frozenset()

    @classmethod
    def make(
        cls,
        kind: str,
        name: str,
        body: bytes,
        signer: MacSigner,
        position: ViewPosition,
        refers: Iterable[str] = (),
    ) -> Resource:
        """Create a resource whose content first appears in the view at `position`."""
        content_digest = digest(body)
        version = signer.version(position, content_digest)
        any_ = length_delimited(1, kind.encode()) + length_delimited(2, body)
        wrapped = (
            length_delimited(1, version.encode())
            + length_delimited(2, any_)
            + length_delimited(3, name.encode())
        )
        return cls(
            kind,
            name,
            version,
            content_digest,
            body,
            length_delimited(2, any_),
            length_delimited(2, wrapped),
            frozenset(refers),
        )


@dataclass(frozen=True, slots=True)
class UnversionedResource:
    """A resource without a version: its name, its encoded message and the names it refers to."""

    name: str
    body: bytes
    refers: frozenset[str] = frozenset()


class ResourceCache:
    """Creates versioned resources, and reuses the existing resource while the content is unchanged.

    If the version changed without the content, the resource would be sent to every subscriber again.
    """

    def __init__(self, signer: MacSigner) -> None:
        self._signer = signer
        self._resources: dict[tuple[str, str], dict[str, Resource]] = {}

    def update_resources(
        self, scope: str, kind: str, drafts: Iterable[UnversionedResource], position: ViewPosition
    ) -> Mapping[str, Resource]:
        """Return the resources of one kind by name, for the subscribers of one scope.

        All subscribers of a scope get the same resources.  The mapping is the same object until a resource
        changes, so that a subscriber can skip an unchanged mapping by identity.
        """
        before = self._resources.get((scope, kind), {})
        resources = {}
        for draft in drafts:
            resource = before.get(draft.name)
            if resource is None or resource.body != draft.body:
                resource = Resource.make(kind, draft.name, draft.body, self._signer, position, draft.refers)
            resources[draft.name] = resource
        is_same = len(resources) == len(before) and all(
            before.get(name) is resource for name, resource in resources.items()
        )
        if is_same and (scope, kind) in self._resources:
            return before
        self._resources[scope, kind] = resources
        return resources


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources that subscribers of one zone, locality level and group may get, at one view position."""

    position: ViewPosition
    kinds: Mapping[str, Mapping[str, Resource]]
    change_received_ns: int = 0  # arrival time of the change that led to this snapshot, in nanoseconds
    # Cache of the part of each response that is the same for all subscribers: its version and its bytes.
    cached_heads: dict[tuple[object, ...], tuple[str, bytes]] = field(default_factory=dict, repr=False)

    def get(self, kind: str, name: str) -> Resource | None:
        """Return the resource with that kind and name, or None if it does not exist."""
        return self.kinds[kind].get(name)

    def names(self, kind: str) -> Iterable[str]:
        """Return the names of all resources of one kind."""
        return self.kinds[kind]
