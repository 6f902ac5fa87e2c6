"""Rate limits of tenants and workers."""
