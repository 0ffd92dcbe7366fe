"""What operators take out of use by hand: hosts, and the proxy itself.

A ban is laid over what discovery says of a host: listed state and ban make the effective state, which is
what the balancer and everyone else is told.  A banned host is a draining one, whatever the list says of it
meanwhile; one call back ends the ban.

Pure: times are nanoseconds (hosts) or seconds (the proxy) on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from quillpass.api import HostEntry, HostState

REMEMBERED = 4096  # hosts that have left the list and can still be named
LEAVE_SECONDS = 1.0  # after the call: so long those that rest may still ask, and are told to leave then
SILENT_SECONDS = 0.4  # that a connection which came after the call has for its first request


class Bans:
    """Hosts that operators keep out of use, over what discovery says."""

    def __init__(self) -> None:
        self.since: dict[str, int] = {}  # when each ban began
        self._listed: dict[str, HostEntry] = {}  # as discovery has it
        self._left: dict[str, None] = {}  # listed once, the last to leave at the end
        # Banned hosts are restarted, and discovery tells so seconds late: the least start to believe in.
        self._started: dict[str, int] = {}

    def knows(self, host: str) -> bool:
        """Whether discovery has ever named it, as far as is remembered."""
        return host in self._listed or host in self._left or host in self.since

    def effective(self, entry: HostEntry) -> HostEntry:
        """What is to be made of an entry."""
        started = max(entry.started_ns, self._started.get(entry.host, 0))
        state = entry.state
        if state is HostState.READY and entry.host in self.since:
            state = HostState.DRAINING
        if state is entry.state and started == entry.started_ns:
            return entry
        return replace(entry, state=state, started_ns=started)

    def listed(self, full: bool, entries: Iterable[HostEntry]) -> None:
        """News from discovery, or a whole list."""
        entries = list(entries)
        if full:
            named = {entry.host for entry in entries}
            for host in [host for host in self._listed if host not in named]:
                self._leaves(host)
        for entry in entries:
            if entry.state is HostState.GONE:
                self._leaves(entry.host)
            else:
                self._listed[entry.host] = entry
                self._left.pop(entry.host, None)

    def _leaves(self, host: str) -> None:
        if self._listed.pop(host, None) is None:
            return
        self._left[host] = None
        if len(self._left) > REMEMBERED:
            oldest = next(iter(self._left))
            del self._left[oldest]
            self._started.pop(oldest, None)

    def offline(self, host: str, now: int) -> HostEntry | None:
        """Ban it; the entry that is to be told now, None where nothing changes."""
        if host in self.since:
            return None
        self.since[host] = now
        return self._told(host)

    def online(self, host: str, now: int) -> HostEntry | None:
        """End its ban; the entry that is to be told now, None where nothing changes."""
        began = self.since.pop(host, None)
        if began is None:
            return None
        entry = self._listed.get(host)
        if entry is None or entry.started_ns < began:
            # Guards against a host pushed over: it was restarted, and discovery has not said so yet.
            self._started[host] = now
        return self._told(host)

    def _told(self, host: str) -> HostEntry | None:
        entry = self._listed.get(host)
        return None if entry is None else self.effective(entry)


class Service:
    """Whether the proxy wants clients; where it does not, what becomes of their connections."""

    def __init__(self) -> None:
        self.left_at: float | None = None  # when it was taken out of service

    @property
    def wanted(self) -> bool:
        """Whether clients may come, and may stay."""
        return self.left_at is None

    def leave(self, now: float) -> None:
        """Out of service; calling it again changes nothing."""
        if self.left_at is None:
            self.left_at = now

    def resume(self) -> None:
        """Back to work."""
        self.left_at = None

    def may_rest(self, now: float, since: float, asked: bool) -> bool:
        """Whether a connection that has waited since some moment may go on waiting."""
        if self.left_at is None:
            return True
        if not asked and since > self.left_at:
            return now < since + SILENT_SECONDS
        return now < self.left_at + LEAVE_SECONDS
