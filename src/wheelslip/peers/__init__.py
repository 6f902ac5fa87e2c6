"""Communication between nodes: membership, replicated records and peer requests."""
