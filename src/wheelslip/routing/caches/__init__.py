"""Records of cached prompts, and transfers of KV cache."""
