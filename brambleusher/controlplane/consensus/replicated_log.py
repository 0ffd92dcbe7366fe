"""The in-memory part of a replica's log: the entries after the last snapshot."""

from __future__ import annotations

from brambleusher.wire.consensus_messages import Entry, EntryKind, Member


class Log:
    """Log entries in order, after a snapshot at `base_index`.

    `members` are the members according to the last membership change in the log, committed or not;
    `members_index` is the index of that change.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0, members: tuple[Member, ...] = ()) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.base_members = members
        self.entries: list[Entry] = []
        self.members: tuple[Member, ...] = members
        self.members_index = base_index

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if it is before the snapshot or after the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entries_after(self, index: int, limit: int) -> list[Entry]:
        """Return at most `limit` entries after an index, which must not be before the snapshot."""
        begin = index - self.base_index
        return self.entries[begin : begin + limit]

    def append(self, entry: Entry) -> None:
        """Append the next entry; a membership change takes effect immediately."""
        self.entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self.members, self.members_index = entry.members(), entry.index

    def truncate(self, first: int) -> None:
        """Delete the entries from index `first` on, and revert their membership changes."""
        del self.entries[first - self.base_index - 1 :]
        if self.members_index >= first:
            self.members, self.members_index = self._members_up_to(self.last_index)

    def compact(self, index: int) -> None:
        """Delete the entries up to an index that a snapshot covers."""
        term = self.term_at(index)
        if term is None or index == self.base_index:
            return
        self.base_members = self.members_at(index)
        self.entries = self.entries[index - self.base_index :]
        self.base_index, self.base_term = index, term

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Return the members according to the entries up to an index."""
        members, _ = self._members_up_to(index)
        return members

    def _members_up_to(self, index: int) -> tuple[tuple[Member, ...], int]:
        """Return the members after the last membership change up to an index, and that change's index."""
        for entry in reversed(self.entries[: index - self.base_index]):
            if entry.kind is EntryKind.MEMBERS:
                return entry.members(), entry.index
        return self.base_members, self.base_index
