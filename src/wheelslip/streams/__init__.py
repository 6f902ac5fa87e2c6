"""Software versions of interrupted streams, shared between nodes so that streams keep them."""
