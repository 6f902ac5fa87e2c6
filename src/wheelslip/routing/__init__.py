"""Routing decisions, without I/O; clock and random source are injected."""
