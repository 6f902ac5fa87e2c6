"""Client for the platform's machine list."""

import enum

import msgspec
import urllib3

from wheelslip.documents import DocumentError, decode_document

_NOT_MODIFIED = 304


class MachineState(enum.StrEnum):
    """State of a machine in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class MachineRole(enum.StrEnum):
    """Kind of process that runs on a machine."""

    ENGINE = "engine"
    NODE = "node"


class Machine(msgspec.Struct, frozen=True):
    """One entry of the machine list."""

    name: str
    address: str
    zone: str
    role: MachineRole
    state: MachineState = MachineState.LIVE


class _MachineList(msgspec.Struct):
    """Body of the machine list's response."""

    machines: tuple[Machine, ...]


class MachineListUnavailable(Exception):
    """Raised when the machine list cannot be read."""


class MachineListClient:
    """Reads ``GET /machines``, and caches the list for ``304 Not Modified`` responses."""

    def __init__(self, address: str, timeout_seconds: float):
        self._url = f"http://{address}/machines"
        self._pool = urllib3.PoolManager(maxsize=1, retries=False, timeout=timeout_seconds)
        self._etag = ""
        self._machines: tuple[Machine, ...] = ()

    def read(self) -> tuple[Machine, ...]:
        """Return the currently listed machines.

        :raises MachineListUnavailable: when there is no valid response.
        """
        try:
            response = self._pool.request("GET", self._url, headers={"If-None-Match": self._etag})
            if response.status == _NOT_MODIFIED:
                return self._machines
            if response.status != 200:
                raise MachineListUnavailable(f"status {response.status}")
            self._machines = decode_document(response.data, _MachineList).machines
        except (urllib3.exceptions.HTTPError, OSError, DocumentError) as error:
            raise MachineListUnavailable(str(error)) from error
        self._etag = response.headers.get("ETag", "")
        return self._machines
