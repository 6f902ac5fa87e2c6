"""What :class:`wheelslip.peers.membership.Membership` asks its task to carry out."""

from dataclasses import dataclass

from wheelslip.peers.messages import MemberInfo, MembershipMessage, Record


@dataclass(frozen=True)
class Send:
    """Send a datagram."""

    address: str
    message: MembershipMessage


@dataclass(frozen=True)
class RevisionSeen:
    """A peer holds a higher configuration revision than this node."""

    address: str
    revision: int


@dataclass(frozen=True)
class RecordChanged:
    """A record was replaced by a newer one, written here or by a peer."""

    record: Record


@dataclass(frozen=True)
class MemberChanged:
    """A member's state changed, as this node believes it."""

    member: MemberInfo


@dataclass(frozen=True)
class SyncWanted:
    """Tables differ: exchange them with the peer at this address."""

    address: str


Effect = Send | RevisionSeen | RecordChanged | MemberChanged | SyncWanted
