"""The data plane: what a gateway does with a request."""
