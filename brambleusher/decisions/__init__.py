"""Drives the pure balancer: passes events and the time in and routes its actions to their receivers.

`requests` defines requests and attempts, `balancer_driver` is the only caller of the balancer, `observers`
has the interfaces for following its decisions, and `clock` the time it uses.
"""
