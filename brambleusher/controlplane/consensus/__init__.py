"""Consensus of a replica group: Raft as a state machine without I/O.

`raft.Consensus` takes events (messages, ticks, finished syncs) and returns outputs; these are its parts:

- `replica_state`: term, vote, role and log, the one function that changes a role; `leader_state` of a leader.
- `election`: pre-votes, votes, timeouts.
- `replication`: what a leader appends, sends and commits; `progress` of each follower.
- `follower`: which entries of a leader a follower takes.
- `snapshots`: sent in place of entries that are gone from the log.
- `reads`: linearizable reads, confirmed by a quorum; `pending_reads` that wait for it.
- `leadership_transfer`: a planned successor.
- `membership_change`: one change of members at a time; `membership_plan` says which one,
  `membership_requests` has what other replicas asked for.
- `quorum`, `durability` (what is on the disk), `replicated_log`, `timing` (periods), `outputs`, `errors`.
"""
