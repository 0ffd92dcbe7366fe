"""The instance list, the gateways' load reports, and the resolver of gateway addresses for clients."""
