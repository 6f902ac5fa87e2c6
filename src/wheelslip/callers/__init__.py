"""The OpenAI-compatible caller API: admission, claims, attempts and streaming."""
