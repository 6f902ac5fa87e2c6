"""Request fingerprint: the same for equal requests at every node and on every retry."""

import hashlib

FINGERPRINT_BYTES = 12
"""Digest size, large enough to make accidental collisions negligible. A caller cannot cause a collision
with another tenant, whose name is part of what is hashed."""


def request_fingerprint(method: str, target: bytes, tenant: str, body: bytes) -> str:
    """Return the fingerprint of a request as hexadecimal digits.

    :param target: path and query as received.
    :param tenant: name of the caller's tenant; empty on routes without an API key.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), target, tenant.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
