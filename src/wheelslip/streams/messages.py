"""Datagrams about the software versions of streams; each fits in 1,400 bytes."""

from typing import NamedTuple

from wheelslip.streams.version_records import StreamOrigin

RECORDS = "streams"
QUERY = "stream_query"
REPLY = "stream_reply"
BACKUP_QUERY = "backup_query"
BACKUP_REPLY = "backup_reply"
SAVE = "stream_save"
SAVED = "stream_saved"
UNSAVED = "stream_unsaved"

KEYS_PER_BATCH = 48
KEYS_PER_QUERY = 16
"""Streams in one query; its reply also names service and version of each."""


class RecordBatch(NamedTuple):
    """Sends records of streams to a backup.

    :ivar seconds: time for which to keep them.
    """

    origin: StreamOrigin
    seconds: int
    keys: list[str]


class OriginQuery(NamedTuple):
    """Asks for the origins of streams.

    :ivar address: where to send the reply, ``IP:PORT``.
    :ivar service: service that is about to continue them.
    :ivar forwarded: a relay has forwarded the query to its followers.
    """

    address: str
    service: str
    keys: list[str]
    forwarded: bool = False


class OriginReply(NamedTuple):
    """Reply to an :class:`OriginQuery`.

    :ivar origins: origins of the streams that the sender has recorded, by key.
    :ivar keys: the streams that were asked for.
    :ivar versions_differ: the sender has seen several software versions in the service.
    """

    origins: dict[str, StreamOrigin]
    keys: list[str]
    versions_differ: bool


class BackupQuery(NamedTuple):
    """Asks a relay for nodes that can serve as backups."""

    address: str


class BackupReply(NamedTuple):
    """Names some followers of a relay."""

    addresses: list[str]


class SaveRequest(NamedTuple):
    """Asks a relay to save records of streams in the store.

    :ivar address: where to send the confirmation, ``IP:PORT``.
    :ivar number: identifies the request at its sender.
    """

    address: str
    number: int
    origin: StreamOrigin
    keys: list[str]


class SaveConfirmation(NamedTuple):
    """Tells that the records of a :class:`SaveRequest` are in the store."""

    number: int


class SaveFailure(NamedTuple):
    """Tells that the store does not respond to the sender, which so has not saved the records of a
    :class:`SaveRequest`."""

    number: int
