"""Forwarding of opaque requests to workers: servers, routing, dispatch and responses."""
