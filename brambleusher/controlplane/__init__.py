"""The control plane: consensus, storage, configuration, instance registry and relay between controllers."""
