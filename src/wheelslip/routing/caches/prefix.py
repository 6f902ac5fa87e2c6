"""Prefix keys: a hash chain over blocks of prompt text.

Two prompts share the first ``n`` keys only if their first ``n`` blocks and their cache salts are
equal. The salt is derived from tenant, model and weights version (:func:`cache_salt`), so keys
of another tenant or of other weights never match.
"""

import hashlib
from itertools import pairwise

import xxhash

BYTES_PER_TOKEN = 4
"""Estimated prompt bytes per token; used for costs only."""

BLOCK_TOKENS = 64
"""Tokens per cache block."""

BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def cache_salt(tenant: str, model: str, weights_version: str) -> str:
    """Return the salt that engines mix into every block hash of a request."""
    material = "\0".join((tenant, model, weights_version))
    return hashlib.sha256(material.encode()).hexdigest()[:32]


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens in ``text``."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def prefix_keys(salt: str, text: str) -> tuple[int, ...]:
    """Return one 64-bit key per complete block of ``text``."""
    data = text.encode()
    key = xxhash.xxh3_64_intdigest(salt.encode())
    keys = []
    complete_blocks_end = len(data) - len(data) % BLOCK_BYTES
    for start, end in pairwise(range(0, complete_blocks_end + 1, BLOCK_BYTES)):
        key = xxhash.xxh3_64_intdigest(data[start:end], seed=key)
        keys.append(key)
    return tuple(keys)


def render_chat(messages: list[dict]) -> str:
    """Return the prompt text of a chat, rendered like the chat template of the engines."""
    parts = []
    for message in messages:
        parts.append(f"<|{message.get('role', '')}|>{content_text(message.get('content'))}")
    return "\n".join(parts)


def content_text(content: object) -> str:
    """Return the text of a message content: a string or an OpenAI list of content parts."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    return "".join(part.get("text", "") for part in content if isinstance(part, dict))
