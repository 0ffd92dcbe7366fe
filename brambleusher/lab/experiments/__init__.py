"""Experiments: a matrix of worlds, demands, settings and seeds is run, stored in SQLite and reported on."""
