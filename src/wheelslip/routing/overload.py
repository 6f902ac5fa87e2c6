"""Admission control: the longest acceptable wait at a worker, and retry times after a refusal.

Under overload, a first-come, first-served queue makes every request miss its target. So a request
that no worker can start within its target is refused at once, with a time to retry.
"""

MIN_ADMISSION_WAIT_SECONDS = 0.05
"""Acceptable wait of a request whose target has passed: workers that are almost idle accept it. Half of
the time in which one chunk of a prompt is computed."""

MAX_PREFILL_SHARE = 0.5
"""Maximum share of the target that is reserved for the prefill. Without the limit, a prompt whose
prefill exceeds its target would be refused whenever anything else waits."""

MAX_RETRY_SECONDS = 10.0
"""Maximum retry time given to a caller. Callers wait at most a third of the time that they have left."""


class Overloaded(Exception):
    """Raised when no worker can start a request within its target.

    :ivar retry_seconds: time after which to retry.
    """

    def __init__(self, seconds: float):
        super().__init__(f"no worker can begin it in time; {seconds:.2f} s")
        self.retry_seconds = seconds


class AdmissionLimits:
    """Longest acceptable wait at the workers of one service, by priority of the request."""

    def __init__(self):
        self._longest: dict[int, float] = {}

    def longest_wait(self, priority: int, target_seconds: float, prefill_seconds: float) -> float:
        """Return the longest acceptable wait of a request at a worker.

        It is at least that of the latest requests of lower priorities, so that a request with a
        shorter target is not refused before less urgent ones.

        :param priority: 0 is the most urgent.
        :param target_seconds: time left until the target for the first token.
        :param prefill_seconds: time to fetch and compute the prompt at the worker.
        """
        longest = max(target_seconds - prefill_seconds, MAX_PREFILL_SHARE * target_seconds)
        self._longest[priority] = longest = max(longest, MIN_ADMISSION_WAIT_SECONDS)
        return max(wait for other, wait in self._longest.items() if other >= priority)


class RetrySchedule:
    """Assigns retry times to refused callers, spaced by the work that each adds."""

    def __init__(self):
        self._next_at = 0.0

    def retry_seconds(self, now: float, wait_seconds: float, work_seconds: float) -> float:
        """Return after how long a refused caller should retry.

        :param wait_seconds: time until the workers can start one more request within its target.
        :param work_seconds: delay that the request causes for callers that retry after it.
        """
        retry_at = min(max(now + wait_seconds, self._next_at), now + MAX_RETRY_SECONDS)
        self._next_at = retry_at + work_seconds
        return retry_at - now
