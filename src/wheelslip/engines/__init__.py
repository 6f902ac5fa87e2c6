"""Model engines: their client, with resumable streams, and the directory of engines."""
