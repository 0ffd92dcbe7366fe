"""The sidecar in service: assembly, configuration, and the driver of the balancer."""
