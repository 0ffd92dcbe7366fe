"""The lab: stand-ins for everything round the sidecar, virtual worlds, fault plans and experiments."""
