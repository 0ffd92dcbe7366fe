"""Optional features that operators can enable, one module each; the sidecar package wires them together."""
