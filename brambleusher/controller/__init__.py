"""The controller and the observer: the control plane of one machine."""
