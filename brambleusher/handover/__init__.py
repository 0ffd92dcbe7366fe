"""Handover between processes of one sidecar, when a new version takes over from an old one.

The processes share a folder.  `process_registry` tracks the running processes, `shared_settings` stores the
settings that operators changed, `state_transfer` passes state to a new process, and `limit_shares` divides
limits among the processes.
"""
