"""The replicated configuration: its commands, state machine, admin API and long poll."""
