"""Periods and limits of a replica group, in seconds where nothing else is said."""

from __future__ import annotations

HEARTBEAT_S = 0.12  # three of them fit into the shortest election timeout, with a round trip between regions
ELECTION_MIN_S, ELECTION_MAX_S = 0.7, 1.2
# Waits after a start, at least and at most: a leader that is there shows itself sooner, or votes are denied.
FIRST_ELECTION_MIN_S, FIRST_ELECTION_S = 0.05, 0.35
# How much longer than others a replica without a vote, or one that shuts down, waits before its election.
UNLIKELY_LEADER_DELAY_S = 0.6
TRANSFER_S = 1.0  # for a planned successor to become leader, then proposals are accepted again
REJOIN_AFTER_S = 1.5  # without a leader for so long, a replica asks whether it still is a member
STABLE_S = 3.0  # of leading, before votes move for the sake of zones alone
SNAPSHOT_EVERY_S = 1.0  # to one replica: a snapshot on a slow link takes a while
# Entries of its own that a leader's disk has not synced: then it transfers leadership; at twice that it
# accepts no proposals.
UNSYNCED_MAX = 256
