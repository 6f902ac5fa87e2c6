"""How long the workers of a service need for requests, as measured by this node."""

from collections import defaultdict

from wheelslip.routing.queue.waiting_request import WorkTimes

SMOOTHING = 0.05
"""Least weight of one request in a mean, which thus follows a change within some 20 requests."""

DEVIATIONS = 2.0
"""Mean deviations added to the mean time. With the mean alone, half of the requests that start at the
last moment would end after their callers have left."""


FEW_REQUESTS = 20
"""A dispatcher that has measured fewer requests uses what its node has measured for its own."""


class _Mean:
    """Mean and mean absolute deviation, of all values at first, then exponentially weighted.

    :ivar count: number of values.
    """

    def __init__(self):
        self.count = 0
        self.mean = 0.0
        self._deviation = 0.0

    def record(self, value: float) -> None:
        self.count += 1
        weight = max(SMOOTHING, 1.0 / self.count)
        error = value - self.mean
        self.mean += weight * error
        if self.count > 1:
            self._deviation += weight * (abs(error) - self._deviation)

    def high(self) -> float:
        return self.mean + DEVIATIONS * self._deviation


class ServiceTimes:
    """Times of one service, in seconds since the request was sent.

    :param initial: times to use while few requests were measured.
    """

    def __init__(self, initial: "ServiceTimes | None" = None):
        self._initial = initial
        self._all = _Mean()
        self._responses: dict[int, _Mean] = {}
        self._requests: dict[int, _Mean] = {}

    @property
    def mean_request_seconds(self) -> float:
        """Mean time until a response is complete; 0 while it is unknown."""
        return self._measured()._all.mean

    def record_response(self, priority: int, seconds: float) -> None:
        """Record the time until a response began."""
        self._responses.setdefault(priority, _Mean()).record(seconds)

    def record_request(self, priority: int, seconds: float, began_before: bool) -> None:
        """Record the time until a response was complete.

        :param began_before: its beginning was recorded; otherwise it came as a whole.
        """
        self._all.record(seconds)
        self._requests.setdefault(priority, _Mean()).record(seconds)
        if not began_before:
            self.record_response(priority, seconds)

    def expected(self, priority: int) -> WorkTimes:
        """Return the times that a request is expected to need; 0 while they are unknown."""
        measured = self._measured()
        response = measured._responses.get(priority)
        request = measured._requests.get(priority)
        return WorkTimes(response.high() if response else 0.0, request.high() if request else 0.0)

    def _measured(self) -> "ServiceTimes":
        is_initial = self._initial is not None and self._all.count < FEW_REQUESTS
        return self._initial if is_initial else self


class TimesByService(defaultdict[str, ServiceTimes]):
    """The times of each service.

    :param initial: times to use while few requests were measured.
    """

    def __init__(self, initial: "TimesByService | None" = None):
        super().__init__()
        self._initial = initial

    def __missing__(self, service: str) -> ServiceTimes:
        initial = None if self._initial is None else self._initial[service]
        times = self[service] = ServiceTimes(initial)
        return times
