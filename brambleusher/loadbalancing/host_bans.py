"""Host bans: hosts that operators take out of use, independent of their listed state.

The listed state of a host and its ban are combined into the effective state, which the balancer and all
others get. A banned host is draining, whatever the list says, until one call ends the ban. A ban of a host
that discovery has not listed is rejected but remembered: this proxy may just not have received the entry yet,
and the ban applies as soon as it does.

Pure: times are in nanoseconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from brambleusher.loadbalancing.api import HostEntry, HostState

MAX_REMEMBERED = 4096  # maximum number of delisted hosts that can still be banned by name
MAX_PENDING_BANS = 256  # maximum number of bans of hosts that were never listed; the oldest is dropped first


@dataclass(frozen=True, slots=True)
class Ban:
    """Start and end of a host's ban; an end of 0 means that the ban is active."""

    since_ns: int
    ended_ns: int = 0

    @property
    def is_active(self) -> bool:
        """Whether the ban is active."""
        return not self.ended_ns

    @property
    def changed_ns(self) -> int:
        """Time of the last change of the ban."""
        return max(self.since_ns, self.ended_ns)


class HostBans:
    """Keeps the host bans of one proxy."""

    def __init__(self) -> None:
        self.bans: dict[str, Ban] = {}  # active bans and the most recently ended ones
        self._listed: dict[str, HostEntry] = {}  # entries as listed by discovery
        self._delisted: dict[str, None] = {}  # hosts that were listed once, in the order of leaving
        self._pending: dict[str, int] = {}  # start of bans of hosts that were not listed at that time

    def is_known(self, host: str) -> bool:
        """Return whether a host is listed, or remembered as listed or banned before."""
        return host in self._listed or host in self._delisted or host in self.bans

    def listed_entry(self, host: str) -> HostEntry | None:
        """Return a host's entry as listed by discovery, or None."""
        return self._listed.get(host)

    def effective_entry(self, entry: HostEntry) -> HostEntry:
        """Return a listed entry with the host's ban applied."""
        ban = self.bans.get(entry.host)
        if ban is None or entry.state is HostState.REMOVED:
            return entry
        if ban.is_active:
            return replace(entry, state=HostState.DRAINING)
        if entry.started_ns < ban.since_ns:
            # The host may have been restarted during the ban without discovery listing the new start time
            # yet. Treating it as started at the end of the ban avoids overloading it.
            return replace(entry, started_ns=ban.ended_ns)
        return entry

    def record_list(self, full: bool, entries: Iterable[HostEntry]) -> None:
        """Record an incremental update from discovery, or a `full` list."""
        entries = list(entries)
        if full:
            named = {entry.host for entry in entries}
            for host in [host for host in self._listed if host not in named]:
                self._delist(host)
        for entry in entries:
            if entry.state is HostState.REMOVED:
                self._delist(entry.host)
            else:
                self._list(entry)

    def _list(self, entry: HostEntry) -> None:
        self._listed[entry.host] = entry
        self._delisted.pop(entry.host, None)
        since_ns = self._pending.pop(entry.host, None)
        if since_ns is not None:
            self._set(entry.host, Ban(since_ns))

    def _delist(self, host: str) -> None:
        if self._listed.pop(host, None) is not None:
            self._delisted[host] = None
            if len(self._delisted) > MAX_REMEMBERED:
                del self._delisted[next(iter(self._delisted))]

    def ban_when_listed(self, host: str, now: int) -> None:
        """Ban a host as soon as it is listed."""
        self._pending.setdefault(host, now)
        if len(self._pending) > MAX_PENDING_BANS:
            del self._pending[next(iter(self._pending))]

    def cancel_ban_when_listed(self, host: str) -> None:
        """Cancel the ban of a host that has not been listed yet."""
        self._pending.pop(host, None)

    def ban(self, host: str, now: int) -> HostEntry | None:
        """Ban a host; return its effective entry, or None if nothing changes."""
        ban = self.bans.get(host)
        if ban is not None and ban.is_active:
            return None
        return self._set(host, Ban(now))

    def unban(self, host: str, now: int) -> HostEntry | None:
        """End a ban; return the host's effective entry, or None if nothing changes."""
        ban = self.bans.get(host)
        if ban is None or not ban.is_active:
            return None
        return self._set(host, Ban(ban.since_ns, max(now, ban.since_ns + 1)))

    def merge(self, bans: Mapping[str, Ban]) -> list[HostEntry]:
        """Merge bans from other proxies, the latest change of each host wins; return the changed entries."""
        newer = {
            host: ban
            for host, ban in bans.items()
            if host not in self.bans or ban.changed_ns > self.bans[host].changed_ns
        }
        changed = [self._set(host, ban) for host, ban in newer.items()]
        return [entry for entry in changed if entry is not None]

    def to_json(self) -> dict[str, list[int]]:
        """Return all bans as JSON values."""
        return {host: [ban.since_ns, ban.ended_ns] for host, ban in self.bans.items()}

    @staticmethod
    def from_json(raw: object) -> dict[str, Ban]:
        """Return the bans from the output of `to_json`.

        Raises:
            ValueError: The value is not an object, or a ban is not a pair of times.
        """
        match raw:
            case dict():
                return {host: _ban_from_json(host, times) for host, times in raw.items()}
            case _:
                raise ValueError("bans must be an object")

    def _set(self, host: str, ban: Ban) -> HostEntry | None:
        self.bans.pop(host, None)
        self.bans[host] = ban
        if len(self.bans) > MAX_REMEMBERED:
            # Active bans are never forgotten; their number is bounded by the number of hosts ever listed.
            ended = next((name for name, each in self.bans.items() if not each.is_active), None)
            if ended is not None:
                del self.bans[ended]
        entry = self._listed.get(host)
        return None if entry is None else self.effective_entry(entry)


def _ban_from_json(host: str, times: object) -> Ban:
    match times:
        case [since_ns, ended_ns] if type(since_ns) is int and type(ended_ns) is int:
            return Ban(since_ns, ended_ns)
        case _:
            raise ValueError(f"the ban of {host} must be a pair of integer times")
