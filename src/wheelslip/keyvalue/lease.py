"""A lease on a duty, whose key's creation revision is the fencing token."""

import time

from wheelslip.keyvalue.client import KeyValueClient
from wheelslip.keyvalue.model import KeyValueError, Put, Transaction

LEASE_PREFIX = "/wheelslip/leases/"


class LeaseNotHeld(Exception):
    """The lease is another node's, lapsed, or cannot be proven held."""


class DutyLease:
    """Holds one duty's lease while it is asked for.

    The holder believes in its lease only until a deadline counted from *before* the last
    successful request, so a paused holder stops by itself. Whatever it sent before that
    carries its token, which a later holder's higher token makes engines refuse.
    """

    def __init__(self, client: KeyValueClient, duty: str, holder: str, seconds: int):
        self._client = client
        self._key = LEASE_PREFIX + duty
        self._holder = holder
        self._seconds = seconds
        self._lease = 0
        self._token = 0
        self._held_until = 0.0

    def fencing_token(self) -> int:
        """Return the token of a lease that is held now, acquiring or extending it.

        :raises LeaseNotHeld: when this node does not hold it.
        """
        began = time.monotonic()
        try:
            if self._token and began < self._held_until:
                self._extend(began)
            else:
                self._acquire(began)
        except KeyValueError as error:
            if time.monotonic() >= self._held_until:
                self._token = 0
                raise LeaseNotHeld(f"{self._key}: {error}") from error
        return self._token

    def _extend(self, began: float) -> None:
        if self._held_until - began > self._seconds / 2:
            return
        if not self._client.keep_lease(self._lease):
            self._token = 0
            raise LeaseNotHeld(f"{self._key}: lapsed")
        self._held_until = began + self._seconds

    def _acquire(self, began: float) -> None:
        self._token = 0
        lease = self._client.grant_lease(self._seconds)
        put = Put(self._key, self._holder.encode(), lease)
        result = self._client.transact(Transaction({self._key: 0}, (put,), (self._key,)))
        if not result.succeeded:
            raise LeaseNotHeld(f"{self._key}: held by another node")
        self._lease, self._token = lease, result.revision
        self._held_until = began + self._seconds
