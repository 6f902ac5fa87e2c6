"""Rollout of weights versions to engines and workers by fenced orders.

Engines load weights from the rate-limited weight store of the platform. This package decides which
of them load, and limits how many do so at the same time.
"""
