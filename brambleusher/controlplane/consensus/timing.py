"""Intervals, timeouts and limits of a replica group; times are in seconds."""

from __future__ import annotations

# Interval between heartbeats: three heartbeats and a round trip between regions fit into the shortest
# election timeout.
HEARTBEAT_S = 0.12
ELECTION_MIN_S, ELECTION_MAX_S = 0.7, 1.2  # bounds of the random election timeout
# Bounds of the random election timeout after startup. It can be short: a running leader sends a heartbeat
# before it expires, or the other voters deny their votes.
FIRST_ELECTION_MIN_S, FIRST_ELECTION_MAX_S = 0.05, 0.35
# Seconds added to the election timeout of learners and of replicas that are shutting down.
DEFERRED_ELECTION_DELAY_S = 0.6
TRANSFER_S = 1.0  # time for a chosen successor to become leader before proposals are accepted again
REJOIN_AFTER_S = 1.5  # a replica without a leader for this time requests membership again
STABLE_S = 3.0  # how long a leader must have led before voters are moved only to balance zones
# Minimum interval between snapshots to one replica, since sending a snapshot over a slow link takes time.
SNAPSHOT_EVERY_S = 1.0
# A leader whose disk has more unsynced entries than this transfers leadership; above twice this number it
# rejects proposals.
UNSYNCED_MAX = 256
