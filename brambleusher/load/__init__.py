"""Build demand files from HAR files, access logs, JSON lines and captures, and replay them as load.

The package does not depend on the sidecar.  Only the player uses `runtime`, so that a demand file can be
replayed both on sockets and in virtual time.
"""
