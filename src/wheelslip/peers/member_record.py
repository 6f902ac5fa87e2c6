"""Encoding of members as records of the replicated table."""

import msgspec

from wheelslip.peers.messages import MemberInfo, MemberState, Record

MEMBER_PREFIX = "m/"
"""Key prefix of member records."""

_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)


def member_record(member: MemberInfo, incarnation: int) -> Record:
    """Return the record of a member.

    The version orders records by incarnation first, then by state as listed in ``_STATES``.
    """
    version = incarnation * len(_STATES) + _STATES.index(member.state)
    return Record(MEMBER_PREFIX + member.name, version, msgspec.Raw(msgspec.json.encode(member)))


def incarnation_of(record: Record) -> int:
    """Return the incarnation encoded in the version of a member record."""
    return record.version // len(_STATES)
