"""Calls of observers to controllers."""
