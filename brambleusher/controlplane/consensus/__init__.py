"""Consensus of a replica group: Raft as a state machine without I/O.

`raft.Consensus` takes events (messages, ticks, completed syncs) and returns outputs. It consists of:

- `replica_state`: term, vote, role and log of a replica; `leader_state`: volatile state of a leader.
- `election`: pre-votes, votes and election timeouts.
- `replication`: appends, sends and commits entries as leader; `progress`: replication state of each follower.
- `follower`: checks and appends the entries that a leader sends.
- `snapshots`: makes snapshots, and sends them in place of entries that were compacted.
- `reads`: linearizable reads, confirmed by a quorum; `pending_reads`: reads that wait for confirmation.
- `leadership_transfer`: transfers leadership to a chosen successor.
- `membership_change`: changes the members one at a time; `membership_plan`: decides on the next change;
  `membership_requests`: join requests and shutdown notices of other replicas.
- `quorum`: quorum sizes; `durability`: which entries are on disk; `replicated_log`: the log in memory;
  `timing`: intervals and timeouts; `outputs`: messages and records for the driver; `errors`: exceptions.
"""
