"""Hosts that operators ban: kept out of use by hand, over what discovery lists.

A ban is laid over the listed state of a host: listed state and ban make the effective state, which is what
the balancer and everyone else is given.  A banned host is a draining one, whatever the list says of it
meanwhile; one call back ends the ban.  A call about a host that discovery has not listed is answered with
no, and kept: this proxy may only not have received it yet, and the ban holds from the moment that it has.

Pure: times are nanoseconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from brambleusher.loadbalancing.api import HostEntry, HostState

MAX_REMEMBERED = 4096  # hosts that have left the list and can still be named
MAX_PENDING_BANS = 256  # of hosts that were never listed; the oldest goes first


@dataclass(frozen=True, slots=True)
class Ban:
    """When operators took a host out of use, and when they took it back; 0: not yet."""

    since_ns: int
    ended_ns: int = 0

    @property
    def is_active(self) -> bool:
        """Whether it holds."""
        return not self.ended_ns

    @property
    def changed_ns(self) -> int:
        """When the last call about it was."""
        return max(self.since_ns, self.ended_ns)


class HostBans:
    """Bans of one proxy."""

    def __init__(self) -> None:
        self.bans: dict[str, Ban] = {}  # those that hold, and the last to have ended
        self._listed: dict[str, HostEntry] = {}  # as discovery has them
        self._delisted: dict[str, None] = {}  # listed once, the last to leave at the end
        self._pending: dict[str, int] = {}  # bans of hosts that were not listed by then, and since when

    def is_known(self, host: str) -> bool:
        """Return whether discovery has ever listed a host, as far as is remembered."""
        return host in self._listed or host in self._delisted or host in self.bans

    def listed_entry(self, host: str) -> HostEntry | None:
        """Return what discovery says of a host; None where it is not listed."""
        return self._listed.get(host)

    def effective_entry(self, entry: HostEntry) -> HostEntry:
        """Return a listed entry with the host's ban laid over it."""
        ban = self.bans.get(entry.host)
        if ban is None or entry.state is HostState.REMOVED:
            return entry
        if ban.is_active:
            return replace(entry, state=HostState.DRAINING)
        if entry.started_ns < ban.since_ns:
            # Guards against a host that is overloaded: it was restarted meanwhile, and discovery is late.
            return replace(entry, started_ns=ban.ended_ns)
        return entry

    def record_list(self, full: bool, entries: Iterable[HostEntry]) -> None:
        """Take in an update from discovery, or a `full` list."""
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
        """Let a host be used once it is listed."""
        self._pending.pop(host, None)

    def ban(self, host: str, now: int) -> HostEntry | None:
        """Ban a host; returns its effective entry, None where nothing changes."""
        ban = self.bans.get(host)
        if ban is not None and ban.is_active:
            return None
        return self._set(host, Ban(now))

    def unban(self, host: str, now: int) -> HostEntry | None:
        """End a ban; returns the host's effective entry, None where nothing changes."""
        ban = self.bans.get(host)
        if ban is None or not ban.is_active:
            return None
        return self._set(host, Ban(ban.since_ns, max(now, ban.since_ns + 1)))

    def merge(self, bans: Mapping[str, Ban]) -> list[HostEntry]:
        """Take in bans of elsewhere, the last call about a host counts; returns the entries that change."""
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
        """Return bans as `to_json` gave them.

        Raises:
            ValueError: They are not an object, or a ban is not two times.
        """
        match raw:
            case dict():
                return {host: _ban_from_json(host, times) for host, times in raw.items()}
            case _:
                raise ValueError("bans are not an object")

    def _set(self, host: str, ban: Ban) -> HostEntry | None:
        self.bans.pop(host, None)
        self.bans[host] = ban
        if len(self.bans) > MAX_REMEMBERED:
            # Those that hold are never forgotten: there are no more than were ever listed.
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
            raise ValueError(f"the ban of {host} is not two times")
