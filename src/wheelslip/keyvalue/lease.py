"""Lease that lets one node at a time perform a duty, such as ordering the workers of a pool."""

import time

from wheelslip.keyvalue.client import KeyValueClient
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction

LEASE_PREFIX = "/wheelslip/leases/"


class LeaseNotHeld(Exception):
    """Raised when another node holds the lease, or it has expired or cannot be confirmed."""


class DutyLease:
    """Acquires the lease of one duty and renews it for as long as its token is requested.

    The fencing token is the revision at which the key of the lease was created, so each holder has
    a higher one than the holder before. Engines reject orders with a lower token than they have
    seen. The validity is counted from before the call that granted or renewed the lease, so a
    stalled holder stops using the token before another node can acquire the lease.

    :param duty: name of the duty, part of the key.
    :param holder: name of this node, stored in the key.
    :param seconds: duration of the lease without renewal.
    """

    def __init__(self, client: KeyValueClient, duty: str, holder: str, seconds: int):
        self._client = client
        self._key = LEASE_PREFIX + duty
        self._holder = holder
        self._seconds = seconds
        self._lease = 0
        self._token = 0
        self._valid_until = 0.0

    def fencing_token(self) -> int:
        """Return the fencing token, after acquiring or renewing the lease if necessary.

        :raises LeaseNotHeld: if this node does not hold the lease.
        """
        called_at = time.monotonic()
        try:
            if self._token and called_at < self._valid_until:
                self._renew(called_at)
            else:
                self._acquire(called_at)
        except KeyValueError as error:
            if time.monotonic() >= self._valid_until:
                self._token = 0
                raise LeaseNotHeld(f"{self._key}: {error}") from error
        return self._token

    def _renew(self, called_at: float) -> None:
        if self._valid_until - called_at > self._seconds / 2:
            return
        if not self._client.renew_lease(self._lease):
            self._token = 0
            raise LeaseNotHeld(f"{self._key}: expired")
        self._valid_until = called_at + self._seconds

    def _acquire(self, called_at: float) -> None:
        self._token = 0
        lease = self._client.grant_lease(self._seconds)
        put = Put(self._key, self._holder.encode(), lease)
        result = self._client.transact(Transaction({self._key: 0}, (put,), (self._key,)))
        if not result.succeeded:
            raise LeaseNotHeld(f"{self._key}: held by another node")
        self._lease, self._token = lease, result.revision
        self._valid_until = called_at + self._seconds
