"""The controller and the observer: the processes of the control plane."""
