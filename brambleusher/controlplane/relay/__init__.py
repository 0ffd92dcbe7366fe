"""Requests of observers to controllers."""
