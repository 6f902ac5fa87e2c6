"""Benchmarks and randomised fault runs."""
