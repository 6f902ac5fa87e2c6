"""Measured speeds of workers and durations of requests."""
