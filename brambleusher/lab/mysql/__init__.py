"""What the MySQL front is tried with: a server, a client, schedules and their check."""
