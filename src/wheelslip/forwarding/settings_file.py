"""Settings file of a forwarding node, reloaded when it changes."""

import asyncio
import contextlib
import os

from wheelslip.events import LogEvent, log_event
from wheelslip.forwarding_settings import ForwardingSettings, load_forwarding_settings
from wheelslip.settings import SettingsError

POLL_SECONDS = 1.0
"""Interval at which the file is checked for changes."""


class SettingsFile:
    """TOML file with the settings of a node.

    :ivar settings: settings in force.
    :raises SettingsError: if the file is invalid when it is first loaded.
    """

    def __init__(self, path: str):
        self._path = path
        self.settings: ForwardingSettings = load_forwarding_settings(path)
        self._file_state = _file_state(path)

    def reload(self) -> None:
        """Reload the settings; invalid ones are logged and not applied."""
        self._file_state = _file_state(self._path)
        try:
            self.settings = load_forwarding_settings(self._path)
        except SettingsError as error:
            log_event(LogEvent.SETTINGS_REFUSED, reason=str(error))
            return
        log_event(LogEvent.SETTINGS_RELOADED)

    async def watch(self) -> None:
        """Reload the settings whenever the file changes, until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if _file_state(self._path) != self._file_state:
                self.reload()


def _file_state(path: str) -> tuple[int, int] | None:
    """Return the modification time in ns and the size in bytes; None if there is no file."""
    with contextlib.suppress(OSError):
        status = os.stat(path)
        return status.st_mtime_ns, status.st_size
    return None
