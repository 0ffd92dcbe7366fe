"""The operator file: its settings, and how it is read and checked."""
