"""Views in the form of the protocol: named resources of four kinds, each with its version and bytes.

A resource is made once for each content and shared by all subscribers; what goes on the wire is
put together from these bytes and never built twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.xds.versions import Seal, digest

_TYPES = "type.googleapis.com/envoy.config."
CDS = _TYPES + "cluster.v3.Cluster"
EDS = _TYPES + "endpoint.v3.ClusterLoadAssignment"
LDS = _TYPES + "listener.v3.Listener"
RDS = _TYPES + "route.v3.RouteConfiguration"
# Make before break: a resource is sent before those that refer to it.
SEND_ORDER = (CDS, EDS, LDS, RDS)
# An empty subscription to these is one to all, and a state-of-the-world response lists all of them.
COMPLETE_KINDS = frozenset({CDS, LDS})
_VARINT_BITS, _VARINT_MASK, _VARINT_CONTINUES = 7, 0x7F, 0x80
_LENGTH_DELIMITED = 2  # wire type

SHORT = {CDS: "CDS", EDS: "EDS", LDS: "LDS", RDS: "RDS"}


def varint(value: int) -> bytes:
    """Encode a number as a varint of protocol buffers."""
    out = bytearray()
    while value > _VARINT_MASK:
        out.append(value & _VARINT_MASK | _VARINT_CONTINUES)
        value >>= _VARINT_BITS
    out.append(value)
    return bytes(out)


def sized(number: int, data: bytes) -> bytes:
    """Encode a field of bytes, text or a message."""
    return varint(number << 3 | _LENGTH_DELIMITED) + varint(len(data)) + data


@dataclass(frozen=True, slots=True)
class Resource:
    """One resource; `refers` names the resources of the next kind that it can't be used without."""

    kind: str
    name: str
    version: str
    digest: str
    body: bytes  # the message itself
    state_entry: bytes = field(repr=False)  # as one of `resources` in a whole-state response
    delta_entry: bytes = field(repr=False)  # the same in an incremental one
    refers: frozenset[str] = frozenset()

    @classmethod
    def make(
        cls, kind: str, name: str, body: bytes, seal: Seal, position: ViewPosition, refers: Iterable[str] = ()
    ) -> Resource:
        """Create a resource that first appears in the view at `position`."""
        content_digest = digest(body)
        version = seal.version(position, content_digest)
        any_ = sized(1, kind.encode()) + sized(2, body)
        wrapped = sized(1, version.encode()) + sized(2, any_) + sized(3, name.encode())
        return cls(
            kind, name, version, content_digest, body, sized(2, any_), sized(2, wrapped), frozenset(refers)
        )


@dataclass(frozen=True, slots=True)
class Draft:
    """A resource before it has a version."""

    name: str
    body: bytes
    refers: frozenset[str] = frozenset()


class Library:
    """Makes resources, and gives the same one again for the same content.

    A version that changes while the content does not would be sent to every subscriber.
    """

    def __init__(self, seal: Seal) -> None:
        self._seal = seal
        self._shelves: dict[tuple[str, str], dict[str, Resource]] = {}

    def shelf(
        self, scope: str, kind: str, drafts: Iterable[Draft], position: ViewPosition
    ) -> Mapping[str, Resource]:
        """Return the resources of one kind in one scope (of subscribers that get the same), by name.

        As long as nothing changes it is the same object: a subscriber need not look into it again.
        """
        before = self._shelves.get((scope, kind), {})
        resources = {}
        for draft in drafts:
            resource = before.get(draft.name)
            if resource is None or resource.body != draft.body:
                resource = Resource.make(kind, draft.name, draft.body, self._seal, position, draft.refers)
            resources[draft.name] = resource
        is_same = len(resources) == len(before) and all(
            before.get(name) is resource for name, resource in resources.items()
        )
        if is_same and (scope, kind) in self._shelves:
            return before
        self._shelves[scope, kind] = resources
        return resources


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that subscribers alike may have, as of one position."""

    position: ViewPosition
    kinds: Mapping[str, Mapping[str, Resource]]
    made_ns: int = 0  # when the change that led to it arrived
    # Responses as far as they are the same for all subscribers: their version and their bytes.
    heads: dict[tuple[object, ...], tuple[str, bytes]] = field(default_factory=dict, repr=False)

    def get(self, kind: str, name: str) -> Resource | None:
        """Return one resource; None where there is none."""
        return self.kinds[kind].get(name)

    def names(self, kind: str) -> Iterable[str]:
        """Return all names of one kind."""
        return self.kinds[kind]
