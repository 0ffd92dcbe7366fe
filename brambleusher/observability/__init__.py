"""Log formats, counters, request counts and metrics for operators."""
