"""Services whose workers crash when they have to reject many requests."""

from collections.abc import Callable

BRITTLE_SECONDS = 3.0
"""Time since the last response that said so for which the workers of a service count as brittle."""


class BrittleServices:
    """Records which services have brittle workers.

    :param clock: steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._until: dict[str, float] = {}

    def record(self, service: str) -> bool:
        """Record a response that says that the worker is brittle; return whether it is news."""
        was_known = service in self
        self._until[service] = self._clock() + BRITTLE_SECONDS
        return not was_known

    def __contains__(self, service: str) -> bool:
        return self._clock() < self._until.get(service, float("-inf"))
