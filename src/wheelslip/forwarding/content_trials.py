"""Who may run a request whose content is suspected: one at a time of a service, in the whole fleet.

What is always sent together with the cause, and ended with it at the same engines, runs whole as soon
as it runs without it. The turn is a key of the store; it is taken at a revision, so one node has it.
"""

from collections.abc import Callable
from typing import NamedTuple

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.interface import KeyValueStore
from wheelslip.forwarding.registry import Registry
from wheelslip.keyvalue.model import Delete, KeyValueError, Put, Transaction

TRIALS_PREFIX = "wheelslip/trials/"

VOID_SECONDS = 6.0
"""A turn that has stood for so long is void: its node may have died. An engine that ends under a
request ends as it begins to run it, and evidence of that takes 4 s at most."""


TAKE_PAUSE_SECONDS = 0.25
"""Pause of a node between two tries to take a turn, so that a content which many ask for costs the store
four calls a second and node at most, whose view shows another's turn 0.1 to 0.3 s late."""


class Trial(NamedTuple):
    """A turn that this node has."""

    key: str
    revision: int


class ContentTrials:
    """Takes and gives back turns.

    :param node: name of this node, for readers of the store.
    """

    def __init__(
        self, node: str, store: KeyValueStore, registry: Registry, clock: Callable[[], float]
    ):
        self._node = node
        self._store = store
        self._registry = registry
        self._clock = clock
        self._void_at: dict[str, float] = {}
        self._next_try_at: dict[str, float] = {}

    def entry_changed(self, key: str) -> None:
        """Take a change of one of the system's own keys into account."""
        if not key.startswith(TRIALS_PREFIX):
            return
        if self._registry.system_entry(key) is None:
            self._void_at.pop(key, None)
        else:
            self._void_at[key] = self._clock() + VOID_SECONDS

    async def take(self, service: str) -> Trial | None:
        """Take the turn of a service, ``None`` when another has it or the store cannot tell."""
        key = TRIALS_PREFIX + service
        now = self._clock()
        if now < max(self._void_at.get(key, 0.0), self._next_try_at.get(key, 0.0)):
            return None
        self._next_try_at[key] = now + TAKE_PAUSE_SECONDS
        entry = self._registry.system_entry(key)
        expected = {key: entry[1] if entry else 0}
        try:
            put = Put(key, self._node.encode())
            result = await self._store.transact(Transaction(expected, (put,)))
        except KeyValueError as exc:
            log_event(LogEvent.LEASE_CALL_FAILED, duty=key, reason=str(exc))
            return None
        return Trial(key, result.revision) if result.succeeded else None

    async def give_back(self, trial: Trial) -> None:
        """Leave the turn to others; one that cannot be given back becomes void."""
        change = Transaction({trial.key: trial.revision}, (Delete(trial.key),))
        try:
            await self._store.transact(change)
        except KeyValueError as exc:
            log_event(LogEvent.LEASE_CALL_FAILED, duty=trial.key, reason=str(exc))
