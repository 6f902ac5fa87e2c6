"""Declarative configuration and the HTTP API through which operators change it."""
