"""Handover: several processes of one sidecar, while a new version takes over from an old one.

The processes share a folder.  `process_registry` says who is there, `shared_settings` has what operators
ordered, `state_transfer` what a new process starts with, and `limit_shares` how limits are divided.
"""
