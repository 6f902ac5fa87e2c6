"""Queues of waiting requests: order, fairness, rejection and reservations."""
