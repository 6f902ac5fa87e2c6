"""Connections to workers: direct ones, and tunnels through other nodes where a path is missing."""
