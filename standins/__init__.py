"""Simulated engines and platform services for tests, the demo and the benchmarks."""
