"""Stand-ins for endpoints, discovery and clients, the same on loopback sockets and in virtual time.

They stand on the project's own scheduler and streams, take settings, and are told of no world.
"""
