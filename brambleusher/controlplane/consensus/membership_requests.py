"""Requests to join a replica group and notices of shutdown that this replica got lately; pure.

All times are of the local clock, in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brambleusher.wire.consensus_messages import Member

JOIN_REQUEST_EXPIRY_S = 3.0  # after which a request to join has to be repeated
DISK_LOSS_PROOF_S = 0.4  # of repeated requests from the address of an unresponsive member: its disk is lost
SHUTDOWN_NOTICE_EXPIRY_S = 1.0  # after which a notice of shutdown has to be repeated


@dataclass(frozen=True, slots=True)
class JoinCandidate:
    """A process that asks to become a member, with the times of its first and last request."""

    member: Member
    first_at: float
    last_at: float


class MembershipRequests:
    """What other replicas asked for, and when each last sent a message."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._join_candidates: dict[str, JoinCandidate] = {}
        self._shutting_down_at: dict[str, float] = {}
        self._last_contact_s: dict[str, float] = {}

    def record_join(self, newcomer: Member, now: float) -> None:
        """Keep the latest process at an address: an earlier one there has lost its disk and is gone."""
        for identity, candidate in list(self._join_candidates.items()):
            if candidate.member.address == newcomer.address and identity != newcomer.id:
                del self._join_candidates[identity]
        known = self._join_candidates.get(newcomer.id)
        first_at = now if known is None or self._is_expired(known, now) else known.first_at
        self._join_candidates[newcomer.id] = JoinCandidate(newcomer, first_at, now)

    def record_shutdown(self, identity: str, now: float) -> None:
        """Take note that a member is shutting down."""
        self._shutting_down_at[identity] = now

    def record_contact(self, identity: str, now: float) -> None:
        """Take note that a replica sent a message, whatever it was."""
        self._last_contact_s[identity] = now

    def expire(self, members: Sequence[Member], now: float) -> None:
        """Drop what has not been repeated, and what is known of replicas that are no members."""
        for identity, candidate in list(self._join_candidates.items()):
            if self._is_expired(candidate, now):
                del self._join_candidates[identity]
        for identity, at in list(self._shutting_down_at.items()):
            if now - at > SHUTDOWN_NOTICE_EXPIRY_S:
                del self._shutting_down_at[identity]
        known = {member.id for member in members}
        self._last_contact_s = {
            identity: at for identity, at in self._last_contact_s.items() if identity in known
        }

    def members_shutting_down(self) -> set[str]:
        """Return members that announced their shutdown lately."""
        return set(self._shutting_down_at)

    def wiped_members(self, members: Sequence[Member], now: float) -> set[str]:
        """Return members whose disks are proven to be lost."""
        replaced = [
            self._replaced_by(candidate, members, now) for candidate in self._join_candidates.values()
        ]
        return {member.id for member in replaced if member is not None}

    def admissible(self, members: Sequence[Member], now: float) -> list[Member]:
        """Return processes that may become members now: at free addresses, or in place of a wiped member."""
        occupied = {member.address for member in members}
        return [
            candidate.member
            for candidate in self._join_candidates.values()
            if candidate.member.address not in occupied
            or self._replaced_by(candidate, members, now) is not None
        ]

    @staticmethod
    def _is_expired(candidate: JoinCandidate, now: float) -> bool:
        return now - candidate.last_at > JOIN_REQUEST_EXPIRY_S

    def _replaced_by(self, candidate: JoinCandidate, members: Sequence[Member], now: float) -> Member | None:
        """Return the member whose address another process has, with an empty disk; None where unproven.

        One request is no proof, since it may be old and the member newer: it has to be repeated a while
        after the last message of the member.
        """
        newcomer = candidate.member
        if self._is_expired(candidate, now):
            return None
        for member in members:
            if member.address == newcomer.address and member.id not in (newcomer.id, self._own):
                last_contact_s = self._last_contact_s.get(member.id, candidate.first_at)
                unresponsive_since_s = max(candidate.first_at, last_contact_s)
                is_proven = candidate.last_at - unresponsive_since_s >= DISK_LOSS_PROOF_S
                return member if is_proven else None
        return None
