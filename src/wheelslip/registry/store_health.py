"""Detection of store outages.

The store may reject one node, or be unreachable from it, while it serves others. A failed call of
this node therefore counts as an outage only if no other node is known to have received a response
recently, which the views received from other nodes show. This module does no I/O and has no clock.
"""

SUSPECTED_OUTAGE_SECONDS = 1.5
"""Time without a response to any node before a failed call counts as a suspected outage. Within
this time other nodes probe the store after a node has reported a failed call."""

OUTAGE_SECONDS = 2.5
"""Time without a response to any node before a failed call counts as an outage. It is longer because
an outage extends the use of replaced weights, so a failure of one node alone must be ruled out."""

MIN_FAILING_SECONDS = 1.0
"""Time for which calls must have failed in an outage. The age of the view alone is no evidence, since
no node calls the store while the relay that reads it for the others is stalled."""

FAILURE_TTL_SECONDS = 3.0
"""Time after which a failed call is ignored; the node has been updated by other nodes since."""


INTERRUPTION_SECONDS = 1.5
"""Time without confirmation of the view from which it counts as interrupted."""


class StoreHealth:
    """Responses of the store to this node and to others.

    All times are in seconds of the node's steady clock.

    :ivar confirmed_at: when the view was last known to be current, from any node's call.
    :ivar suspected_outage_at: when the latest call was sent that failed, or was answered late, in
        a suspected outage.
    :ivar outage_at: when the latest call was sent that failed in an outage.
    :ivar failed_sent_at: when the latest call was sent that failed.
    :ivar interrupted_at: when the view last became current after a time without confirmation.
    """

    def __init__(self):
        self.confirmed_at: float | None = None
        self.suspected_outage_at: float | None = None
        self.outage_at: float | None = None
        self.failed_sent_at = float("-inf")
        self.interrupted_at = float("-inf")
        self._previous_suspected_outage_at: float | None = None
        self._failed_at: float | None = None
        self._first_failure_sent_at: float | None = None

    def confirm(self, current_at: float) -> None:
        """Record that the view was current at a time, since the store answered some node then."""
        if self.confirmed_at is None or current_at - self.confirmed_at > INTERRUPTION_SECONDS:
            self.interrupted_at = current_at
        self.confirmed_at = max(current_at, self.confirmed_at or current_at)
        if self._first_failure_sent_at is not None and self._first_failure_sent_at <= current_at:
            self._first_failure_sent_at = None
        suspected_outage_at = self.suspected_outage_at
        if (
            suspected_outage_at is not None
            and suspected_outage_at - SUSPECTED_OUTAGE_SECONDS < current_at <= suspected_outage_at
        ):
            # The store served another node while the call of this node failed.
            self.suspected_outage_at = self._previous_suspected_outage_at

    def record_answered(self, sent_at: float, now: float) -> None:
        """Record that the store answered a call of this node, before its changes are applied."""
        if self.failing_age(now) is not None and self._unanswered(
            sent_at, SUSPECTED_OUTAGE_SECONDS
        ):
            # The outage ended between the calls, or while this call was waiting.
            self._record_suspected_outage(sent_at)
        self._failed_at = None

    def record_failed(self, sent_at: float, now: float) -> None:
        """Record that a call of this node failed."""
        self.failed_sent_at = sent_at
        self._failed_at = now
        if self._first_failure_sent_at is None:
            self._first_failure_sent_at = sent_at
        if self._unanswered(sent_at, SUSPECTED_OUTAGE_SECONDS):
            self._record_suspected_outage(sent_at)
        is_long = sent_at - self._first_failure_sent_at >= MIN_FAILING_SECONDS
        if is_long and self._unanswered(sent_at, OUTAGE_SECONDS):
            self.outage_at = sent_at

    def record_outage(self, sent_at: float) -> None:
        """Record an outage without evidence from other nodes."""
        self._record_suspected_outage(sent_at)
        self.outage_at = sent_at

    def failing_age(self, now: float) -> float | None:
        """Return the seconds since a call failed; None if the store has answered since."""
        if self._failed_at is None or now - self._failed_at > FAILURE_TTL_SECONDS:
            return None
        return now - self._failed_at

    def _unanswered(self, sent_at: float, seconds: float) -> bool:
        """Return whether no node is known to have received a response for a time before a call."""
        return self.confirmed_at is None or sent_at - self.confirmed_at >= seconds

    def _record_suspected_outage(self, sent_at: float) -> None:
        self._previous_suspected_outage_at = self.suspected_outage_at
        self.suspected_outage_at = sent_at
