"""The admin endpoint: a second listener for calls that on-call staff and the platform make."""
