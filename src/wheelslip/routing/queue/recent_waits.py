"""Services to which requests of a node have waited recently."""

from collections.abc import Callable

PRESSURE_SECONDS = 1.0
"""Time after a request was enqueued for which its service counts as short of workers. A node of a
large fleet sends only a few requests per second."""


class RecentWaits:
    """Remembers when a request to each service was last enqueued."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._enqueued_at: dict[str, float] = {}

    def __contains__(self, service: str) -> bool:
        enqueued_at = self._enqueued_at.get(service, float("-inf"))
        return self._clock() - enqueued_at < PRESSURE_SECONDS

    def record(self, service: str) -> None:
        """Record that a request to a service was enqueued."""
        self._enqueued_at[service] = self._clock()

    def services(self) -> set[str]:
        """Return the services to which requests have waited recently."""
        return {service for service in self._enqueued_at if service in self}
