"""Log lines, counters, and counts of requests for operators."""
