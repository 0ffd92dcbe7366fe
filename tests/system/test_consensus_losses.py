"""Agreement with snapshots, lost disks and members that go: days of faults, and each crossing forced."""

from __future__ import annotations

import pytest

from brambleusher.controlplane import membership_requests
from brambleusher.controlplane.consensus import Consensus
from brambleusher.wire import consensus_messages as wire
from tests.system.cluster import Broken
from tests.system.exploration import explore


@pytest.mark.parametrize("block", range(6))
@pytest.mark.parametrize("names", ["abc", "abcde"])
def test_days_with_lost_disks_and_members_that_go(names: str, block: int) -> None:
    for seed in range(block * 30, block * 30 + 30):
        explore(Consensus, seed, names, losses=True)


# --- faults put into the program on purpose: each has to be found --------------------------------


class SnapshotReplacesEverything(Consensus):
    """As it was: a snapshot drops what follows it, confirmed or not."""

    def _install(self, message: wire.InstallSnapshot) -> None:
        self._heard_leader(message.sender)
        if message.index > self.commit:
            self._restore(message)
        self._reply_append(True, min(message.index, self.log.last_index), message.round)


class SnapshotIsIgnored(Consensus):
    def _install(self, message: wire.InstallSnapshot) -> None:
        self._heard_leader(message.sender)
        self._reply_append(True, min(message.index, self.log.last_index), message.round)


class OnlyMembersVote(Consensus):
    """As it was: a replica that does not know yet of its own vote denies it."""

    def _vote_asked(self, request: wire.VoteRequest) -> None:
        if self._is_voter() or request.pre:
            super()._vote_asked(request)


class WithoutAVoteNobodyStands(Consensus):
    """As it was: what only a replica without a vote holds keeps the others from leading."""

    def _stand(self, pre: bool, transfer: bool = False) -> None:
        if self._is_voter():
            super()._stand(pre, transfer)


class OneRequestProvesALostDisk(Consensus):
    """A request to join that was held back counts against the process that is there now."""

    def handle(self, message: wire.Message, now: float) -> None:
        super().handle(message, now)
        if isinstance(message, wire.JoinRequest):
            super().handle(message, now + membership_requests.JOIN_PROOF_S)


class TwoChangesAtOnce(Consensus):
    """Members change again before a quorum has the last change."""

    def _change_members(self) -> None:
        index, self.log.members_index = self.log.members_index, 0
        super()._change_members()
        self.log.members_index = self.log.members_index or index


FAULTS = [
    SnapshotReplacesEverything,
    SnapshotIsIgnored,
    OnlyMembersVote,
    WithoutAVoteNobodyStands,
    OneRequestProvesALostDisk,
    TwoChangesAtOnce,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_fault_put_in_on_purpose_is_found(fault: type[Consensus]) -> None:
    for seed in range(1500):
        try:
            explore(fault, seed, "abc", losses=True)
        except (Broken, AssertionError, KeyError, IndexError):
            return
    pytest.fail("no day of faults found it")
