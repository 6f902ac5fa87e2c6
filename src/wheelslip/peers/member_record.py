"""Members as records of the replicated table."""

import msgspec

from wheelslip.peers.messages import MemberInfo, MemberState, Record

MEMBER_PREFIX = "m/"

_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)


def member_record(member: MemberInfo, incarnation: int) -> Record:
    """Return a member's record: at one incarnation death outranks suspicion outranks life."""
    version = incarnation * len(_STATES) + _STATES.index(member.state)
    return Record(MEMBER_PREFIX + member.name, version, msgspec.Raw(msgspec.json.encode(member)))


def incarnation_of(record: Record) -> int:
    """Return the incarnation of the member that a record tells about."""
    return record.version // len(_STATES)
