"""The durable log and snapshots of a replica."""
