"""When the workers of a randomised run were able to serve."""

from collections import Counter, defaultdict

from bench.forwarding.judge import CONTACT_SECONDS
from bench.forwarding.record import Component, Record
from standins.platform_worker import BackoffRequest

STREAM_PATHS = ("/stream", "/resumed")
_WORKER_COMPONENTS = (Component.WORKER, Component.LINK)

_Period = tuple[float, float]


class WorkerAvailability:
    """Availability of workers by service, from a complete record.

    A worker is available if it has been started, is not withdrawn, disrupted or cut off, and has not
    requested a backoff.

    :param counts: number of workers that each service has without faults.
    """

    def __init__(self, record: Record, counts: Counter[str]):
        self._counts = counts
        self._desired_versions = record.desired_versions
        self._started_at = record.worker_started_at
        self._services = {
            incarnation: "engines" if worker.model else "plain"
            for incarnation, worker in record.workers.items()
        }
        self._unavailable: dict[str, list[_Period]] = defaultdict(list)
        for disruption in record.disruptions:
            if disruption.component in _WORKER_COMPONENTS:
                period = (disruption.began_at, disruption.ended_at)
                self._unavailable[disruption.name].append(period)
        for departure in record.departures:
            period = (departure.acknowledged_at, departure.returned_at)
            self._unavailable[departure.worker].append(period)
        for incarnation, worker in record.workers.items():
            periods = map(_backoff_period, worker.backoff_requests)
            self._unavailable[incarnation] += filter(None, periods)

    def has_majority(self, path: str, since: float, until: float) -> bool:
        """Return whether at least half of the workers for a path were available in a time range.

        The range is extended by the time in which nodes must take note of a change. Engines are not
        available while they load other weights.
        """
        service = "engines" if path.startswith(STREAM_PATHS) else "plain"
        since -= CONTACT_SECONDS
        if service == "engines" and self._weights_changed(since, until):
            return False
        available = sum(
            self._services[incarnation] == service
            and started_at <= since
            and not self._was_unavailable(incarnation, since, until)
            for incarnation, started_at in self._started_at.items()
        )
        return 2 * available >= self._counts[service]

    def _weights_changed(self, since: float, until: float) -> bool:
        return any(since <= desired.acknowledged_at <= until for desired in self._desired_versions)

    def _was_unavailable(self, incarnation: str, since: float, until: float) -> bool:
        return any(
            began_at <= until and ended_at >= since
            for began_at, ended_at in self._unavailable[incarnation]
        )


def _backoff_period(backoff: BackoffRequest) -> _Period | None:
    """Return the period of a requested backoff; ``None`` if its value is invalid."""
    if not backoff.retry_after.replace(".", "").isdigit():
        return None
    return backoff.sent_at, backoff.sent_at + float(backoff.retry_after)
