"""The gateway process: runs the data plane on one edge machine."""
