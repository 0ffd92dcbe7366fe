"""Task scheduler, streams, and the interface to the real or simulated machine."""
