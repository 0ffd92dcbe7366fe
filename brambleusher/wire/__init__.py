"""Typed messages, configuration and settings, and their codecs."""
