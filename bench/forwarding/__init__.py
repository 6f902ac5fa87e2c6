"""Randomised fault-injection runs of forwarding nodes."""
