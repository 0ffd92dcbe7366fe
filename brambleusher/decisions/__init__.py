"""Drives the pure balancer by a clock and by what happens; the vocabulary of requests and attempts."""
