"""Stand-ins for nodes, discovery and clients, usable both on loopback sockets and in virtual time.

The stand-ins use the project's own scheduler and streams, and depend on settings but not on a world.
"""
