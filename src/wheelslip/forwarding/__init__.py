"""Forwarding of opaque requests to workers: callers' service, routes, dispatch, answers."""
