"""Several processes of one sidecar, while a new version takes over from an old one."""
