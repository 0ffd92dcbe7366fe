"""The list of instances, their load reports, and the resolver that clients ask."""
