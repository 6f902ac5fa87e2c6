"""Bytes that a node holds for callers, and what happens when they become too many."""
