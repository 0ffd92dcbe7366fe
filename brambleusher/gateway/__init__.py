"""The gateway: the data plane of one edge machine."""
