"""Views as the protocol knows them: named resources of four kinds, each with its version and its bytes.

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
# Make before break: what is pointed to goes before what points there.
ORDER = (CDS, EDS, LDS, RDS)
# An empty subscription to these means all there are, and a response in the state of the world is whole.
WHOLE = frozenset({CDS, LDS})
SHORT = {CDS: "CDS", EDS: "EDS", LDS: "LDS", RDS: "RDS"}


def varint(value: int) -> bytes:
    """A whole number as protocol buffers have it."""
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def sized(number: int, data: bytes) -> bytes:
    """A field of bytes, text or a message."""
    return varint(number << 3 | 2) + varint(len(data)) + data


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
        cls, kind: str, name: str, body: bytes, seal: Seal, place: ViewPosition, refers: Iterable[str] = ()
    ) -> Resource:
        """A resource as it first appears in the view at `place`."""
        content = digest(body)
        version = seal.version(place, content)
        any_ = sized(1, kind.encode()) + sized(2, body)
        wrapped = sized(1, version.encode()) + sized(2, any_) + sized(3, name.encode())
        return cls(kind, name, version, content, body, sized(2, any_), sized(2, wrapped), frozenset(refers))


@dataclass(frozen=True, slots=True)
class Draft:
    """A resource before it has a version."""

    name: str
    body: bytes
    refers: frozenset[str] = frozenset()


class Library:
    """Makes resources, and gives the same one again for the same content.

    Guards against a version that changes while the content does not, which would be sent to everyone.
    """

    def __init__(self, seal: Seal) -> None:
        self._seal = seal
        self._shelves: dict[tuple[str, str], dict[str, Resource]] = {}

    def shelf(
        self, scope: str, kind: str, drafts: Iterable[Draft], place: ViewPosition
    ) -> Mapping[str, Resource]:
        """The resources of one kind in one scope (those of one kind of subscriber), by name.

        As long as nothing changes it is the same object: a subscriber need not look into it again.
        """
        before, out = self._shelves.get((scope, kind), {}), {}
        for draft in drafts:
            held = before.get(draft.name)
            if held is None or held.body != draft.body:
                held = Resource.make(kind, draft.name, draft.body, self._seal, place, draft.refers)
            out[draft.name] = held
        same = len(out) == len(before) and all(before.get(name) is held for name, held in out.items())
        if same and (scope, kind) in self._shelves:
            return before
        self._shelves[scope, kind] = out
        return out


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that one kind of subscriber may have, as of one place."""

    place: ViewPosition
    kinds: Mapping[str, Mapping[str, Resource]]
    made_ns: int = 0  # when what led to it was heard
    # Responses as far as they are the same for all subscribers: their version and their bytes.
    heads: dict[tuple[object, ...], tuple[str, bytes]] = field(default_factory=dict, repr=False)

    def get(self, kind: str, name: str) -> Resource | None:
        """One resource."""
        return self.kinds[kind].get(name)

    def names(self, kind: str) -> Iterable[str]:
        """All names of one kind."""
        return self.kinds[kind]
