"""Client and endpoint connections, HTTP parsing, the endpoint list and the request lifecycle."""
