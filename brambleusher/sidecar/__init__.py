"""The sidecar in service: assembly, configuration and lifecycle."""
