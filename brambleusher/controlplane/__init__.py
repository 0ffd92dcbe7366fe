"""The control plane: agreement, storage, configuration, instances, registry, announcements."""
