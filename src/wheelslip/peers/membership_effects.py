"""Effects that :class:`wheelslip.peers.membership.Membership` returns to its task."""

from dataclasses import dataclass

from wheelslip.peers.messages import MemberInfo, MembershipMessage, Record


@dataclass(frozen=True)
class Send:
    """Send a message as one datagram."""

    address: str
    message: MembershipMessage


@dataclass(frozen=True)
class RevisionSeen:
    """A peer reported a higher configuration revision than that of the local node."""

    address: str
    revision: int


@dataclass(frozen=True)
class RecordChanged:
    """A record was added or replaced, by a local write or by a peer."""

    record: Record


@dataclass(frozen=True)
class MemberChanged:
    """A member was added or its state changed in the local table."""

    member: MemberInfo


@dataclass(frozen=True)
class SyncNeeded:
    """Synchronize tables with the peer at this address, whose digest differs."""

    address: str


Effect = Send | RevisionSeen | RecordChanged | MemberChanged | SyncNeeded
