"""The admin endpoint: a second listener for requests of operators and the platform."""
