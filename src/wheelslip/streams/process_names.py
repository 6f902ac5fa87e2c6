"""Names of worker processes in place of their software version, while that is not known.

A worker may restart under its id with another version, and answer requests before its entry is
seen. A stream that such a process begins may go on only there until the version is known. The
names are stored and sent where a software version stands; builds that do not know them find no
worker of such a version, and refuse to continue the stream.
"""

from typing import NamedTuple

from wheelslip.deployment import Incarnation, Worker

_PREFIX = "\0"
"""No worker names a version that begins with this character."""

_UNVERIFIED_SUFFIX = "?"


class ProcessName(NamedTuple):
    """Process that began a stream.

    :ivar verified: the stream was begun by this incarnation; otherwise by it or by a later one that
        has the same id and address.
    """

    incarnation: Incarnation
    verified: bool = True


def encode_process_name(name: ProcessName) -> str:
    """Return the text that stands in place of a software version."""
    return f"{_PREFIX}{name.incarnation}{'' if name.verified else _UNVERIFIED_SUFFIX}"


def decode_process_name(version: str) -> ProcessName | None:
    """Return the process that a text names, ``None`` for a software version."""
    if not version.startswith(_PREFIX):
        return None
    text = version.removeprefix(_PREFIX)
    incarnation = Incarnation(text.removesuffix(_UNVERIFIED_SUFFIX))
    return ProcessName(incarnation, not text.endswith(_UNVERIFIED_SUFFIX))


def describe_version(version: str) -> str:
    """Return a text for log lines: a software version, or the name of a process."""
    name = decode_process_name(version)
    if name is None:
        return version
    return f"process {name.incarnation}{'' if name.verified else ' or later'}"


def is_process_name(version: str) -> bool:
    """Return whether a text names a process and not a software version."""
    return version.startswith(_PREFIX)


def is_unverified(version: str) -> bool:
    """Return whether it is not known which process a text names."""
    name = decode_process_name(version)
    return name is not None and not name.verified


def worker_version(worker: Worker) -> str:
    """Return the software version of a worker, or the name of its process if it has restarted."""
    if not worker.restarted_as:
        return worker.info.software_version
    return encode_process_name(ProcessName(worker.process))
