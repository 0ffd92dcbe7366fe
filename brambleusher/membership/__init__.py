"""Membership: peer sampling, known controllers, connections between processes, and settings reload."""
