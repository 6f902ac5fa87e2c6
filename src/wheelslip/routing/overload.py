"""Refusal of requests whose callers would not receive a response, with a time to retry."""

MIN_RETRY_SECONDS = 0.05
"""Least retry time given to a caller. An earlier return finds the same requests ahead."""

MAX_RETRY_SECONDS = 10.0
"""Maximum retry time given to a caller: workers come and go, so later starts cannot be predicted."""

RETRY_SHARE = 1.0 / 3.0
"""Callers honour a retry time up to this share of the time that they have left."""


class Overloaded(Exception):
    """Raised when no worker can respond to a request while its caller waits.

    :ivar retry_seconds: time after which to retry.
    """

    def __init__(self, seconds: float):
        super().__init__(f"no worker can begin it in time; {seconds:.2f} s")
        self.retry_seconds = seconds


class RetrySchedule:
    """Assigns retry times to refused callers, spaced by the work that each adds."""

    def __init__(self):
        self._next_at = 0.0

    def retry_seconds(
        self, now: float, wait_seconds: float, work_seconds: float, seconds_left: float
    ) -> float:
        """Return after how long a refused caller should retry.

        A caller that does not honour the time delays no later one.

        :param wait_seconds: time until a request like the refused one is accepted.
        :param work_seconds: delay that the request causes for callers that retry after it.
        :param seconds_left: time that the caller has left.
        """
        retry_at = max(now + wait_seconds, self._next_at)
        if retry_at - now <= RETRY_SHARE * seconds_left:
            self._next_at = retry_at + work_seconds
        return min(max(MIN_RETRY_SECONDS, retry_at - now), MAX_RETRY_SECONDS)
