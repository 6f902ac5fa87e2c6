"""Client for the platform's list of machines, which is updated with a delay."""
