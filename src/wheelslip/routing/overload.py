"""Whether a worker can begin a request in time, and when a refused caller is to come back.

In overload a queue in order of arrival makes all requests late: what is sent to a worker waits
behind what is late already. So a request that no worker can begin within what is left of its
target is not sent: its caller is told at once when its turn comes.
"""

LEAST_WAIT_SECONDS = 0.05
"""A request whose target has passed may still wait this long at a worker: half the time of
reading one piece of a prompt, so that a worker with next to nothing to do takes it."""

READING_SHARE = 0.5
"""At most this part of a target is kept for reading the prompt. A prompt that takes longer to
read is late in any case; without a bound it would be refused as soon as anything waits."""

MOST_RETRY_SECONDS = 10.0
"""Latest turn that a caller is told. Callers wait a third of their time at most."""


class Overloaded(Exception):
    """No worker can begin a request within its target.

    :ivar retry_seconds: after how long it may be worth asking again.
    """

    def __init__(self, seconds: float):
        super().__init__(f"no worker can begin it in time; {seconds:.2f} s")
        self.retry_seconds = seconds


class AdmissionLimits:
    """The longest wait at the workers of one service, by priority, learned from its requests."""

    def __init__(self):
        self._longest: dict[int, float] = {}

    def longest_wait(self, priority: int, target_seconds: float, read_seconds: float) -> float:
        """Return how long a request may wait for its turn at a worker.

        It may wait as long as those that are less urgent may, so that it is not refused first
        although its target may be shorter.

        :param priority: 0 is the most urgent.
        :param target_seconds: what is left of the time within which it is to begin.
        :param read_seconds: how long its prompt is read at the worker.
        """
        in_time = max(target_seconds - read_seconds, READING_SHARE * target_seconds)
        self._longest[priority] = in_time = max(in_time, LEAST_WAIT_SECONDS)
        return max(wait for other, wait in self._longest.items() if other >= priority)


class Turns:
    """When refused callers are to come back: one after the other, as the workers get free."""

    def __init__(self):
        self._next_at = 0.0

    def retry_seconds(self, now: float, wait_seconds: float, work_seconds: float) -> float:
        """Return after how long a refused caller's turn comes.

        :param wait_seconds: until the workers can take one more request in time.
        :param work_seconds: by how much the request delays those whose turn is after it.
        """
        turn_at = min(max(now + wait_seconds, self._next_at), now + MOST_RETRY_SECONDS)
        self._next_at = turn_at + work_seconds
        return turn_at - now
