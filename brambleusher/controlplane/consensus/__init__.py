"""Agreement of a replica group: Raft without I/O."""
