"""The data plane: routes, forwards and retries the requests that a gateway receives."""
