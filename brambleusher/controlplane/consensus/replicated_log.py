"""The part of a replica's log that is held in memory: what follows the last snapshot."""

from __future__ import annotations

from brambleusher.wire.consensus_messages import Entry, Member


class Log:
    """Entries in order, after a snapshot at `base_index`."""

    def __init__(self, base_index: int = 0, base_term: int = 0, members: tuple[Member, ...] = ()) -> None:
        self.base_index, self.base_term = base_index, base_term
        self.base_members = members
        self.entries: list[Entry] = []
        self.members: tuple[Member, ...] = members
        self.members_index = base_index  # of the entry that `members` is from

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is unknown: before the snapshot, or not there yet."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entries_after(self, index: int, limit: int) -> list[Entry]:
        """Up to `limit` entries that follow an index, which is not before the snapshot."""
        begin = index - self.base_index
        return self.entries[begin : begin + limit]

    def append(self, entry: Entry) -> None:
        """Add the next entry; one that changes members acts at once."""
        self.entries.append(entry)
        if entry.kind == "members":
            self.members = tuple(Member.from_json(part) for part in entry.data)
            self.members_index = entry.index

    def truncate(self, first: int) -> None:
        """Drop entries from an index on, with the members that they brought."""
        del self.entries[first - self.base_index - 1 :]
        if self.members_index >= first:
            self._find_members()

    def compact(self, index: int) -> None:
        """Drop entries up to an index that a snapshot holds."""
        term = self.term_at(index)
        if term is None or index == self.base_index:
            return
        self.base_members = self.members_at(index)
        self.entries = self.entries[index - self.base_index :]
        self.base_index, self.base_term = index, term

    def members_at(self, index: int) -> tuple[Member, ...]:
        """The members as the entries up to an index have them."""
        members = self.base_members
        for entry in self.entries[: index - self.base_index]:
            if entry.kind == "members":
                members = tuple(Member.from_json(part) for part in entry.data)
        return members

    def _find_members(self) -> None:
        self.members, self.members_index = self.base_members, self.base_index
        for entry in self.entries:
            if entry.kind == "members":
                self.members = tuple(Member.from_json(part) for part in entry.data)
                self.members_index = entry.index
