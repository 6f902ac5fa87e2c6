"""View of the store that all parts of a forwarding node share: configuration and workers."""
