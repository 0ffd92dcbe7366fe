"""Drills with real sidecar processes, injecting faults by relays, signals, resource limits and clocks."""
