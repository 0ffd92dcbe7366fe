"""Simulated world in virtual time: its clock, its network, and scenario runs that explore the program."""
