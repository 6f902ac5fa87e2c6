"""HTTP connections of a node to workers, the store and other nodes."""
