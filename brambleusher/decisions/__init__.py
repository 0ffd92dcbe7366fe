"""Drives the pure balancer: requests and time go in as events, its actions come out to whom they concern.

`requests` has the vocabulary of requests and attempts, `balancer_driver` the one caller of the balancer,
`observers` those that follow its decisions, `clock` the time that it decides by.
"""
