"""Demand: from HAR files, access logs, JSON lines and captures to a demand file, and from there to load.

It knows nothing of the sidecar; the player alone stands on `runtime`, so that it plays on sockets and
in virtual time.
"""
