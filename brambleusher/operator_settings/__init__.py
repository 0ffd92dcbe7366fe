"""The operator file: its settings, and how it is parsed and validated."""
