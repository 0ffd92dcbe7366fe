"""Typed messages and their codecs, without I/O."""
