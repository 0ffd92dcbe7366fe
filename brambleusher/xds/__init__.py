"""The control service: the decisions handed out to other proxies over xDS, a program of its own."""
