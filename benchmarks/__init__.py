"""What measures: each prints a table and keeps nothing."""
