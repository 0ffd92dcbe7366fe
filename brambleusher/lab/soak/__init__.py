"""Soak of the whole serving system: real processes under overlapping series of signals and changes."""
