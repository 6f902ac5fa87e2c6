"""Messages between nodes.

Datagrams are encoded as arrays to keep control traffic small.
"""

import enum

import msgspec

from wheelslip.operators.configuration import ConfigurationChange, ConfigurationState
from wheelslip.routing.caches.prefix_registry import PrefixHint, PrefixPlan


class MemberState(enum.StrEnum):
    """State of a member in the replicated table."""

    ALIVE = "a"
    SUSPECT = "s"
    DEAD = "d"
    LEFT = "l"


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """A node as replicated among the members.

    :ivar address: advertised address for datagrams and peer requests.
    :ivar operators: address of the operator API.
    """

    name: str
    zone: str
    region: str
    address: str
    operators: str
    state: MemberState = MemberState.ALIVE


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A replicated record; the higher version wins, and the greater value among equal versions."""

    key: str
    version: int
    value: msgspec.Raw

    def newer_than(self, other: "Record | None") -> bool:
        """Return whether this record replaces ``other``."""
        if other is None:
            return True
        return (self.version, bytes(self.value)) > (other.version, bytes(other.value))


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Information about the sender, included in every membership datagram.

    :ivar revision: configuration revision of the sender.
    :ivar digest: digest of the sender's table, used to detect missing records.
    """

    name: str
    address: str
    revision: int
    digest: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Requests an acknowledgement from the receiver."""

    header: Header
    sequence: int
    records: tuple[Record, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Acknowledges a ping."""

    header: Header
    sequence: int
    records: tuple[Record, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Requests the receiver to ping the address ``target`` and to forward the acknowledgement."""

    header: Header
    sequence: int
    target: str


class Announce(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Announces records or a new revision; not acknowledged."""

    header: Header
    records: tuple[Record, ...] = ()


class PrefixLookup(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Requests hints from the home node of a prefix and reports the sender's plan.

    :ivar address: address of the sender, to which the reply is sent.
    :ivar head: key that identifies the prefix and selects its home node.
    """

    address: str
    head: int
    plan: PrefixPlan


class PrefixReply(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Reply to :class:`PrefixLookup`."""

    head: int
    hints: tuple[PrefixHint, ...]


class PrefixUpdate(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Reports to the home node of a prefix where it is being computed or was used."""

    head: int
    plan: PrefixPlan


MembershipMessage = Ping | Ack | IndirectPing | Announce
PrefixMessage = PrefixLookup | PrefixReply | PrefixUpdate
Datagram = Ping | Ack | IndirectPing | Announce | PrefixLookup | PrefixReply | PrefixUpdate


class SyncRequest(msgspec.Struct, frozen=True, tag="sync"):
    """Sends all records of a table and requests the newer ones of the receiver."""

    records: tuple[Record, ...]


class SyncReply(msgspec.Struct, frozen=True, tag="synced"):
    """Records that are newer at the replying node."""

    records: tuple[Record, ...]


class ConfigurationPull(msgspec.Struct, frozen=True, tag="pull"):
    """Requests the configuration changes after revision ``since``."""

    since: int


class ConfigurationReply(msgspec.Struct, frozen=True, tag="configuration"):
    """Reply to :class:`ConfigurationPull`.

    Contains the changes that follow ``since``, or the complete state if they are not retained.
    """

    revision: int
    changes: tuple[ConfigurationChange, ...] = ()
    state: ConfigurationState | None = None


class ConfigurationPush(msgspec.Struct, frozen=True, tag="push"):
    """Replicates a complete accepted state before its sender puts it in force."""

    state: ConfigurationState


class RevisionQuery(msgspec.Struct, frozen=True, tag="revision?"):
    """Requests the revision in force."""


class RevisionReply(msgspec.Struct, frozen=True, tag="revision"):
    """The revision in force at the replying node."""

    name: str
    zone: str
    revision: int


PeerRequest = SyncRequest | ConfigurationPull | ConfigurationPush | RevisionQuery
PeerReply = SyncReply | ConfigurationReply | RevisionReply
