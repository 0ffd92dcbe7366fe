"""The network side: tasks, parsers, connections and the life of a request."""
