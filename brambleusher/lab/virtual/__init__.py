"""A world in virtual time: its clock, its network, and what is explored in it."""
