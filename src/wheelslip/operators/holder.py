"""Local replica of the configuration, without I/O or threads.

Revisions only increase. A state is *held* as soon as it is stored here and *in force* when
requests are served under it. The two steps are separate so that a new state can be replicated
to peers first: if one received it, a crash of this node during an outage of the key-value
service does not revert it.
"""

from collections import deque

from wheelslip.operators.configuration import (
    NO_REVISION,
    Configuration,
    ConfigurationChange,
    ConfigurationState,
)

MAX_RECENT_CHANGES = 64
"""Recent changes retained, so that peers can be sent changes instead of the full state."""


class ConfigurationReplica:
    """Holds the latest state and the most recent changes.

    :ivar in_force: configuration that requests are served under, or ``None`` before the first.
    """

    def __init__(self):
        self._state = ConfigurationState()
        self._changes: deque[ConfigurationChange] = deque(maxlen=MAX_RECENT_CHANGES)
        self.in_force: Configuration | None = None

    @property
    def state(self) -> ConfigurationState:
        """The state held, which may be ahead of the one in force."""
        return self._state

    def apply_change(self, change: ConfigurationChange) -> bool:
        """Apply a change based on the held revision.

        :return: ``False`` if the change is based on another revision; nothing changes then.
        """
        if change.previous != self._state.revision or change.revision <= change.previous:
            return False
        self._state = self._state.apply(change)
        self._changes.append(change)
        return True

    def replace_state(self, state: ConfigurationState) -> bool:
        """Replace the held state by one with a higher revision.

        :return: ``False`` if the revision is not higher; nothing changes then.
        """
        if state.revision <= self._state.revision:
            return False
        self._state = state
        self._changes.clear()
        return True

    def activate(self, allow_empty: bool = False) -> bool:
        """Put the held state in force; return whether the configuration in force changed.

        :param allow_empty: whether the empty state may be put in force; set when the key-value
            service reported that nothing is declared.
        """
        if self._state.revision == NO_REVISION and not allow_empty:
            return False
        if self.in_force is not None and self.in_force.revision >= self._state.revision:
            return False
        self.in_force = Configuration(self._state)
        return True

    def changes_after(self, revision: int) -> tuple[ConfigurationChange, ...] | None:
        """Return the changes after ``revision``, or ``None`` if some are no longer retained."""
        if revision == self._state.revision:
            return ()
        following = [change for change in self._changes if change.previous >= revision]
        if not following or following[0].previous != revision:
            return None
        return tuple(following)
