"""Test tools for the control service: xDS clients, random schedules and protobuf validation rules."""
