"""The settings of a forwarding node, read again when their file changes."""

import asyncio
import contextlib
import os

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding.settings import ForwardingSettings, load_forwarding_settings
from wheelslip.settings import SettingsError

POLL_SECONDS = 1.0
"""Pause between two looks at the file, which may change without a signal."""


class SettingsFile:
    """A TOML file of settings.

    :ivar settings: those in force.
    :raises SettingsError: when the first ones are bad.
    """

    def __init__(self, path: str):
        self._path = path
        self.settings: ForwardingSettings = load_forwarding_settings(path)
        self._stamp = _stamp(path)

    def reload(self) -> None:
        """Read the settings again; bad ones leave the old ones in force."""
        self._stamp = _stamp(self._path)
        try:
            self.settings = load_forwarding_settings(self._path)
        except SettingsError as error:
            log_event(LogEvent.SETTINGS_REFUSED, reason=str(error))
            return
        log_event(LogEvent.SETTINGS_RELOADED)

    async def watch(self) -> None:
        """Reload whenever the file has changed, for ever."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if _stamp(self._path) != self._stamp:
                self.reload()


def _stamp(path: str) -> tuple[int, int] | None:
    """Return what changes when the file does: time in ns and size in bytes."""
    with contextlib.suppress(OSError):
        status = os.stat(path)
        return status.st_mtime_ns, status.st_size
    return None
