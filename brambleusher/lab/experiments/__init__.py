"""Experiments: a matrix of worlds, demands, settings and seeds, results in SQLite, reports on them."""
