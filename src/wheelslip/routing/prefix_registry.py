"""What a prefix's home node knows of it: which engines hold it or are computing it.

Each long prefix has a home among the nodes, by rendezvous hashing. A node that is about to
compute one asks its home first, in one round trip, and tells it what it does; so nodes share
what they warmed without sending it to everybody. Hints only: a lost message costs time.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

REGISTRY_HEAD_BLOCKS = 16
"""Blocks (1,024 tokens) whose key names the home, so that all that is nested meets there."""

CHECKPOINT_BLOCKS = 8
"""Blocks (512 tokens) between the depths at which two prompts are compared."""

MAX_CHECKPOINTS = 96

NEARLY_WHOLE_CHECKPOINTS = 2
"""A hint this near to the end of a prompt is as good as all of it."""

RECHECK_SECONDS = 0.5
"""When to ask again for a prompt that is overdue."""

GIVE_UP_LATE_SECONDS = 10.0
"""A prompt this long overdue is taken to be lost with its sender."""

MAX_HEADS = 4096
MAX_RECORDS_OF_HEAD = 16
_KEY_MASK = 0xFFFF


class PrefixPlan(msgspec.Struct, frozen=True, array_like=True):
    """Where a prompt is computed, and in how many seconds it will be there.

    :param checkpoints: truncated prefix keys at every :data:`CHECKPOINT_BLOCKS` blocks.
    """

    engine: str
    incarnation: str
    ready_in_seconds: float
    checkpoints: tuple[int, ...]


class PrefixHint(msgspec.Struct, frozen=True, array_like=True):
    """Blocks of a prompt that an engine is believed to hold, or to hold soon.

    :param idle_seconds: since the blocks were last used, as far as the home knows.
    """

    engine: str
    incarnation: str
    blocks: int
    ready_in_seconds: float
    idle_seconds: float


def registry_head(keys: tuple[int, ...]) -> int | None:
    """Return the key that names a prompt's home node; ``None`` for short prompts."""
    return keys[REGISTRY_HEAD_BLOCKS - 1] if len(keys) >= REGISTRY_HEAD_BLOCKS else None


def checkpoints(keys: tuple[int, ...]) -> tuple[int, ...]:
    """Return a prompt's checkpoints."""
    last = CHECKPOINT_BLOCKS * MAX_CHECKPOINTS
    return tuple(key & _KEY_MASK for key in keys[CHECKPOINT_BLOCKS - 1 : last : CHECKPOINT_BLOCKS])


@dataclass
class _Record:
    incarnation: str
    checkpoints: tuple[int, ...]
    ready_at: float
    computed: bool


@dataclass
class PrefixRegistry:
    """Records of the heads whose home this node is, the least recently asked dropped first."""

    _heads: OrderedDict[int, list[tuple[str, _Record]]] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._heads)

    def lookup(self, head: int, plan: PrefixPlan, now: float) -> tuple[PrefixHint, ...]:
        """Return what is known; without anything as deep, the asker's plan is recorded.

        Recording at once means that of two nodes that ask at the same moment only the first
        computes.
        """
        hints = self._hints(head, plan.checkpoints, now)
        deepest = max((hint.blocks for hint in hints), default=0)
        if deepest < (len(plan.checkpoints) - NEARLY_WHOLE_CHECKPOINTS) * CHECKPOINT_BLOCKS:
            self.record(head, plan, now)
        return hints

    def record(self, head: int, plan: PrefixPlan, now: float) -> None:
        """Record where a prompt is computed or was just used."""
        records = self._heads.setdefault(head, [])
        self._heads.move_to_end(head)
        ready_at = now + plan.ready_in_seconds
        kept = [
            (engine, record)
            for engine, record in records
            if engine != plan.engine or record.checkpoints != plan.checkpoints
        ]
        computed = plan.ready_in_seconds == 0
        record = _Record(plan.incarnation, plan.checkpoints, ready_at, computed)
        self._heads[head] = [*kept, (plan.engine, record)][-MAX_RECORDS_OF_HEAD:]
        while len(self._heads) > MAX_HEADS:
            self._heads.popitem(last=False)

    def _hints(self, head: int, wanted: tuple[int, ...], now: float) -> tuple[PrefixHint, ...]:
        hints = []
        for engine, record in self._heads.get(head, ()):
            blocks = _shared_depth(wanted, record.checkpoints)
            if blocks:
                if not record.computed and now - record.ready_at > GIVE_UP_LATE_SECONDS:
                    continue
                # A prompt that is overdue is not there yet: only its sender's word counts.
                late = 0.0 if record.computed else RECHECK_SECONDS
                ready_in = max(late, record.ready_at - now)
                idle = max(0.0, now - record.ready_at)
                hints.append(PrefixHint(engine, record.incarnation, blocks, ready_in, idle))
        return tuple(hints)


def _shared_depth(first: tuple[int, ...], second: tuple[int, ...]) -> int:
    """Return the depth up to which two prompts agree, in blocks."""
    depth = 0
    for mine, theirs in zip(first, second, strict=False):
        if mine != theirs:
            break
        depth += CHECKPOINT_BLOCKS
    return depth
