"""MySQL clients served through the sidecar's decisions: codec, session state, connections."""
