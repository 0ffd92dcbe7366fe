"""The operators' door: a second listener for calls that on-call staff and the platform make."""
