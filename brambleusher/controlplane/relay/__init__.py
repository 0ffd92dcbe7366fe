"""Relay of requests from observers to controllers."""
