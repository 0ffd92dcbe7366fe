"""The configuration of the operator: commands, state machine, admin API and long poll."""
