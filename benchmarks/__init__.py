"""Benchmarks; each module prints a table and stores nothing."""
