"""The processes of the control plane: controllers and observers."""
