"""Test lab: simulated services around the sidecar, virtual-time worlds, fault plans and experiments."""
