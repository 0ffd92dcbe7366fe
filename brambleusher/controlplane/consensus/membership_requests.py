"""Requests to join and to leave a replica group that this replica heard lately, and what they prove; pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brambleusher.wire.consensus_messages import Member

JOIN_FORGET_S = 3.0  # after which a request to join has to be repeated
JOIN_PROOF_S = 0.4  # of repeated requests from the address of a silent member: its disk is lost
LEAVE_FORGET_S = 1.0  # after which a request to leave has to be repeated


@dataclass(frozen=True, slots=True)
class JoinCandidate:
    """A process that asks to become a member, since and until when (seconds of the local clock)."""

    member: Member
    first_at: float
    last_at: float


class MembershipRequests:
    """What other replicas asked for; all times are of the local clock, in seconds."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._joining: dict[str, JoinCandidate] = {}
        self._leaving: dict[str, float] = {}
        self._last_contact_s: dict[str, float] = {}

    def record_join(self, newcomer: Member, now: float) -> None:
        """Keep the latest process at an address: an earlier one there has lost its disk and is gone."""
        for identity, joining in list(self._joining.items()):
            if joining.member.address == newcomer.address and identity != newcomer.id:
                del self._joining[identity]
        known = self._joining.get(newcomer.id)
        first_at = now if known is None or self._stale(known, now) else known.first_at
        self._joining[newcomer.id] = JoinCandidate(newcomer, first_at, now)

    def record_leave(self, identity: str, now: float) -> None:
        """A member is about to end."""
        self._leaving[identity] = now

    def record_contact(self, identity: str, now: float) -> None:
        """A replica said something, whatever it was."""
        self._last_contact_s[identity] = now

    def expire(self, members: Sequence[Member], now: float) -> None:
        """Drop what has not been repeated, and what is known of replicas that are no members."""
        for identity, joining in list(self._joining.items()):
            if self._stale(joining, now):
                del self._joining[identity]
        for identity, at in list(self._leaving.items()):
            if now - at > LEAVE_FORGET_S:
                del self._leaving[identity]
        known = {member.id for member in members}
        self._last_contact_s = {
            identity: at for identity, at in self._last_contact_s.items() if identity in known
        }

    def leaving_members(self) -> set[str]:
        """Members that asked to leave lately."""
        return set(self._leaving)

    def lost_disks(self, members: Sequence[Member], now: float) -> set[str]:
        """Members whose disks are proven to be lost."""
        replaced = [self._replaced(joining, members, now) for joining in self._joining.values()]
        return {member.id for member in replaced if member is not None}

    def admissible(self, members: Sequence[Member], now: float) -> list[Member]:
        """Processes that may become members now: at free addresses, or in place of a member that is lost."""
        occupied = {member.address for member in members}
        return [
            joining.member
            for joining in self._joining.values()
            if joining.member.address not in occupied or self._replaced(joining, members, now) is not None
        ]

    @staticmethod
    def _stale(joining: JoinCandidate, now: float) -> bool:
        return now - joining.last_at > JOIN_FORGET_S

    def _replaced(self, joining: JoinCandidate, members: Sequence[Member], now: float) -> Member | None:
        """The member that another process at its address has taken the place of, with an empty disk.

        One request is no proof, since it may be old and the member newer: it has to be repeated a while
        after the last word of the member.
        """
        newcomer = joining.member
        if self._stale(joining, now):
            return None
        for member in members:
            if member.address == newcomer.address and member.id not in (newcomer.id, self._own):
                silent_since = max(joining.first_at, self._last_contact_s.get(member.id, joining.first_at))
                return member if joining.last_at - silent_since >= JOIN_PROOF_S else None
        return None
