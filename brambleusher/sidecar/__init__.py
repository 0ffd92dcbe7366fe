"""Assembly, configuration and lifecycle of the sidecar process."""
