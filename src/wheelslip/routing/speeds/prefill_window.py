"""Measures the prefill work of one worker from the first tokens of its requests. No I/O.

The time during which a worker has prompts to compute is divided into windows that do not overlap.
A window begins when a request is sent to a worker without a waiting request, or at a first token
while others wait. It ends at the next first token, whose request is the work done in it. Tokens
and seconds of many windows add up correctly even when prompts are computed in another order than
sent, and a worker that freezes lengthens a single window.
"""

from typing import NamedTuple


class PrefillSample(NamedTuple):
    """The work that one first token proves.

    :ivar tokens: prompt tokens that the worker computed.
    :ivar seconds: time that it took.
    :ivar has_overhead: whether the time includes the overhead of a first token. Between two first
        tokens of a busy worker the overheads cancel.
    """

    tokens: int
    seconds: float
    has_overhead: bool


class PrefillWindow:
    """The current window of one worker."""

    def __init__(self):
        self._waiting = 0
        self._began_at = 0.0
        self._unseen_tokens = 0
        self._is_idle_start = True
        self._is_measurable = True

    def begin(self, now: float, unseen_tokens: int) -> None:
        """Record that a request is sent.

        :param unseen_tokens: tokens that the worker still has to compute for requests whose first
            tokens are not recorded here.
        """
        self._waiting += 1
        if self._waiting == 1:
            self._start(now, is_idle_start=True, unseen_tokens=unseen_tokens)

    def first_token(
        self,
        tokens: int,
        sent_at: float,
        now: float,
        overhead_seconds: float,
        is_measured: bool,
    ) -> PrefillSample | None:
        """Record a first token; return the work of the window that ends.

        A request that was sent within the overhead of the previous first token met a worker that
        had computed all prompts, so its time counts from when it was sent.

        :param overhead_seconds: expected overhead of a first token.
        :param is_measured: whether the tokens are the work that the worker did for the request
            since it was sent.
        :return: ``None`` when the work of the window is unknown.
        """
        if not self._waiting:
            return None
        sample = None
        if self._is_measurable and is_measured:
            if sent_at > self._began_at - overhead_seconds:
                self._began_at, self._is_idle_start = sent_at, True
            seconds = now - self._began_at
            sample = PrefillSample(tokens + self._unseen_tokens, seconds, self._is_idle_start)
        self._waiting -= 1
        self._start(now, is_idle_start=False, unseen_tokens=0)
        return sample

    def abandon(self) -> None:
        """Record that a request ended without a first token: how much was computed is unknown."""
        self._waiting = max(0, self._waiting - 1)
        self._is_measurable = False

    def _start(self, now: float, is_idle_start: bool, unseen_tokens: int) -> None:
        self._began_at = now
        self._is_idle_start = is_idle_start
        self._unseen_tokens = unseen_tokens
        self._is_measurable = True
