"""Whether the store has an outage, as far as one node can judge it.

A store may turn one node away, or not be reached from it, while it serves the others. So a call
of this node that fails tells of an outage only if no other node is known to have been answered
for a while. Others' answers are known by the views that they pass on. Pure state: no clock.
"""

UNANSWERED_SECONDS = 1.5
"""For so long before a call that fails nobody was answered in an outage. Others look at the store
within 0.5 s of the first failed call that a node tells of, or when their view is 1.8 s old."""

LONG_UNANSWERED_SECONDS = 2.5
"""The same for an outage that puts off what is due: where it is taken for longer than it was, work
is done on replaced weights, so a node that is alone in its trouble must have heard of others."""

FAILING_FOR_SECONDS = 1.0
"""Calls have failed for so long in such an outage. While the node that reads for all stands still,
nobody is answered since nobody calls: a view 2.1 s old and two resets 0.45 s apart are no outage."""

FAILING_SECONDS = 3.0
"""A node that called in vain so long ago does not call any more; it was current by others since."""


class StoreHealth:
    """What this node knows of the store's answers, to itself and to others.

    All moments are of the node's steady clock, in seconds.

    :ivar confirmed_at: the view was complete at this moment, whoever was answered.
    :ivar trouble_at: when the last call was sent that failed, or was answered late, in an outage.
    :ivar outage_at: the same for outages of :data:`LONG_UNANSWERED_SECONDS` and more in which
        calls have failed for :data:`FAILING_FOR_SECONDS`.
    """

    def __init__(self):
        self.confirmed_at: float | None = None
        self.trouble_at: float | None = None
        self.outage_at: float | None = None
        self._trouble_before: float | None = None
        self._failed_at: float | None = None
        self._failing_since: float | None = None

    def confirm(self, at: float) -> None:
        """The view was complete at a moment: some node was answered then."""
        self.confirmed_at = max(at, self.confirmed_at or at)
        if self._failing_since is not None and self._failing_since <= at:
            self._failing_since = None
        trouble_at = self.trouble_at
        if trouble_at is not None and trouble_at - UNANSWERED_SECONDS < at <= trouble_at:
            # Somebody was served while this node's call failed.
            self.trouble_at = self._trouble_before

    def note_answered(self, sent_at: float, now: float) -> None:
        """The store answered a call of this node; its changes are not in the view yet."""
        if self.failing_age(now) is not None and self._unanswered(sent_at, UNANSWERED_SECONDS):
            # The outage ended between the calls, or while this one waited.
            self._note_trouble(sent_at)
        self._failed_at = None

    def note_failed(self, sent_at: float, now: float) -> None:
        """The store did not answer a call of this node."""
        self._failed_at = now
        if self._failing_since is None:
            self._failing_since = sent_at
        if self._unanswered(sent_at, UNANSWERED_SECONDS):
            self._note_trouble(sent_at)
        is_long = sent_at - self._failing_since >= FAILING_FOR_SECONDS
        if is_long and self._unanswered(sent_at, LONG_UNANSWERED_SECONDS):
            self.outage_at = sent_at

    def note_outage(self, sent_at: float) -> None:
        """Calls fail at a node that no other can tell whether the store answers."""
        self._note_trouble(sent_at)
        self.outage_at = sent_at

    def failing_age(self, now: float) -> float | None:
        """Return how long ago a call failed; ``None`` when none has failed since the last answer."""
        if self._failed_at is None or now - self._failed_at > FAILING_SECONDS:
            return None
        return now - self._failed_at

    def _unanswered(self, moment: float, seconds: float) -> bool:
        """Whether nobody is known to have been answered for so long before a moment."""
        return self.confirmed_at is None or moment - self.confirmed_at >= seconds

    def _note_trouble(self, at: float) -> None:
        self._trouble_before = self.trouble_at
        self.trouble_at = at
