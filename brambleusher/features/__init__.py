"""What operators may switch on: a module for each feature, wired in `sidecar.py`."""
