"""The control service: a separate program that publishes load-balancing decisions to proxies over xDS."""
