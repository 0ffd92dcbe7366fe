"""Test tools for the MySQL front: a server, a client, a protocol fuzzer, and checked fault schedules."""
