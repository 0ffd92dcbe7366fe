"""What operators take out of use by hand: hosts, and the proxy itself.

A ban is laid over what discovery says of a host: listed state and ban make the effective state, which is
what the balancer and everyone else is told.  A banned host is a draining one, whatever the list says of it
meanwhile; one call back ends the ban.  A call about a host that discovery has not named is answered with no,
and kept: the proxy may only not have heard of it yet, and the ban holds from the moment that it has.

Pure: times are nanoseconds (hosts) or seconds (the proxy) on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from brambleusher.loadbalancing.api import HostEntry, HostState

REMEMBERED = 4096  # hosts that have left the list and can still be named
WISHES = 256  # bans of hosts that were never listed; the oldest goes first
HAND_OVER_SECONDS = 0.65  # as long where another process takes over: a later request may be cut off
LEAVE_SECONDS = 1.0  # after the call: so long those that rest may still ask, and are told to leave then
SILENT_SECONDS = 0.4  # that a connection which came after the call has for its first request


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
    """Hosts that operators keep out of use, over what discovery says."""

    def __init__(self) -> None:
        self.bans: dict[str, Ban] = {}  # those that hold, and the last to have ended
        self._listed: dict[str, HostEntry] = {}  # as discovery has it
        self._left: dict[str, None] = {}  # listed once, the last to leave at the end
        self._wishes: dict[str, int] = {}  # when a ban of a host was asked for that was not listed by then

    def is_known(self, host: str) -> bool:
        """Whether discovery has ever named it, as far as is remembered."""
        return host in self._listed or host in self._left or host in self.bans

    def listed_entry(self, host: str) -> HostEntry | None:
        """What discovery says of a host; None where it is not listed."""
        return self._listed.get(host)

    def effective_entry(self, entry: HostEntry) -> HostEntry:
        """What is to be made of an entry."""
        ban = self.bans.get(entry.host)
        if ban is None or entry.state is HostState.REMOVED:
            return entry
        if ban.is_active:
            return replace(entry, state=HostState.DRAINING)
        if entry.started_ns < ban.since_ns:
            # Guards against a host pushed over: it was restarted meanwhile, and discovery tells so late.
            return replace(entry, started_ns=ban.ended_ns)
        return entry

    def record_list(self, full: bool, entries: Iterable[HostEntry]) -> None:
        """News from discovery, or a whole list."""
        entries = list(entries)
        if full:
            named = {entry.host for entry in entries}
            for host in [host for host in self._listed if host not in named]:
                self._leaves(host)
        for entry in entries:
            if entry.state is HostState.REMOVED:
                self._leaves(entry.host)
            else:
                self._listed[entry.host] = entry
                self._left.pop(entry.host, None)
                if (since := self._wishes.pop(entry.host, None)) is not None:
                    self._say(entry.host, Ban(since))

    def _leaves(self, host: str) -> None:
        if self._listed.pop(host, None) is not None:
            self._left[host] = None
            if len(self._left) > REMEMBERED:
                del self._left[next(iter(self._left))]

    def ban_when_listed(self, host: str, now: int) -> None:
        """Ban a host as soon as it is listed."""
        self._wishes.setdefault(host, now)
        if len(self._wishes) > WISHES:
            del self._wishes[next(iter(self._wishes))]

    def cancel_ban_when_listed(self, host: str) -> None:
        """It is to be used again, once it is listed."""
        self._wishes.pop(host, None)

    def ban(self, host: str, now: int) -> HostEntry | None:
        """Ban it; the entry that is to be told now, None where nothing changes."""
        ban = self.bans.get(host)
        return None if ban is not None and ban.is_active else self._say(host, Ban(now))

    def unban(self, host: str, now: int) -> HostEntry | None:
        """End its ban; the entry that is to be told now, None where nothing changes."""
        ban = self.bans.get(host)
        return (
            None
            if ban is None or not ban.is_active
            else self._say(host, Ban(ban.since_ns, max(now, ban.since_ns + 1)))
        )

    def merge(self, bans: Mapping[str, Ban]) -> list[HostEntry]:
        """Take in what was said elsewhere, the last call about a host counts; the entries to be told now."""
        newer = {
            host: ban for host, ban in bans.items()
            if host not in self.bans or ban.changed_ns > self.bans[host].changed_ns
        }  # fmt: skip
        told = [self._say(host, ban) for host, ban in newer.items()]
        return [entry for entry in told if entry is not None]

    def to_json(self) -> dict[str, list[int]]:
        """All bans as JSON has them."""
        return {host: [ban.since_ns, ban.ended_ns] for host, ban in self.bans.items()}

    @staticmethod
    def from_json(raw: Any) -> dict[str, Ban]:
        """HostBans as `to_json` gave them; raises `ValueError` where they make no sense."""
        if not isinstance(raw, dict):
            raise ValueError("bans are not an object")
        read = {}
        for host, times in raw.items():
            if not isinstance(times, list) or len(times) != 2 or any(type(time) is not int for time in times):
                raise ValueError(f"the ban of {host} is not two times")
            read[host] = Ban(*times)
        return read

    def _say(self, host: str, ban: Ban) -> HostEntry | None:
        self.bans.pop(host, None)
        self.bans[host] = ban
        if len(self.bans) > REMEMBERED:
            # Those that hold are never forgotten: there are no more than were ever listed.
            ended = next((name for name, each in self.bans.items() if not each.is_active), None)
            if ended is not None:
                del self.bans[ended]
        entry = self._listed.get(host)
        return None if entry is None else self.effective_entry(entry)


class ClientDraining:
    """Whether the proxy wants clients; where it does not, what becomes of their connections."""

    def __init__(self) -> None:
        self.draining_since_s: float | None = None  # since when clients are to leave
        self.is_retired = False  # for good: another process takes over
        self.is_ready = True  # what the front is told: a successor is as good
        self._patience = LEAVE_SECONDS

    @property
    def accepts_clients(self) -> bool:
        """Whether clients may stay."""
        return self.draining_since_s is None

    def start(self, now: float) -> None:
        """Out of service; calling it again changes nothing."""
        self.is_ready = False
        if self.draining_since_s is None:
            self.draining_since_s, self._patience = now, LEAVE_SECONDS

    def resume(self) -> None:
        """Back to work."""
        self.is_ready = True
        if not self.is_retired:
            self.draining_since_s = None

    def retire(self, now: float) -> None:
        """Another process takes over: clients are to come to it in good time."""
        if not self.is_retired:
            self.is_retired, self.draining_since_s, self._patience = True, now, HAND_OVER_SECONDS

    def may_stay_idle(self, now: float, since: float, asked: bool) -> bool:
        """Whether a connection that has waited since some moment may go on waiting."""
        if self.draining_since_s is None:
            return True
        if not asked and since > self.draining_since_s:
            return now < since + SILENT_SECONDS
        return now < self.draining_since_s + self._patience
