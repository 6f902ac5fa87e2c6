"""Registry at a prefix's home node of the engines that have it cached or are computing it.

Each long prefix has a home node, chosen by rendezvous hashing. A node that is about to compute
a prefix looks it up at the home node and reports the computation there, so that nodes share
cached prefixes without broadcasting. Entries are hints; a lost message only costs time.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

REGISTRY_HEAD_BLOCKS = 16
"""Depth of the block whose key selects the home node; prompts that share it share the home."""

CHECKPOINT_BLOCKS = 8
"""Blocks between the depths at which two prompts are compared."""

MAX_CHECKPOINTS = 96

HINT_TOLERANCE_CHECKPOINTS = 2
"""Checkpoints by which a hint may fall short of a prompt and still count as complete."""

OVERDUE_RECHECK_SECONDS = 0.5
"""Ready time reported for an overdue prefill, after which nodes repeat the lookup."""

OVERDUE_EXPIRY_SECONDS = 10.0
"""Time after which an overdue prefill is considered lost."""

MAX_HEADS = 4096
MAX_RECORDS_PER_HEAD = 16
_KEY_MASK = 0xFFFF


class PrefixPlan(msgspec.Struct, frozen=True, array_like=True):
    """The engine that computes a prompt, and the seconds until it is cached there.

    :param ready_in_seconds: 0 when the prompt is cached already.
    :param checkpoints: truncated prefix keys at every :data:`CHECKPOINT_BLOCKS` blocks.
    """

    engine: str
    incarnation: str
    ready_in_seconds: float
    checkpoints: tuple[int, ...]


class PrefixHint(msgspec.Struct, frozen=True, array_like=True):
    """Leading blocks of a prompt that an engine has cached or is computing.

    :param ready_in_seconds: 0 when the blocks are cached already.
    :param idle_seconds: time since the last reported use of the blocks.
    """

    engine: str
    incarnation: str
    blocks: int
    ready_in_seconds: float
    idle_seconds: float


def registry_head(keys: tuple[int, ...]) -> int | None:
    """Return the key that selects a prompt's home node; ``None`` for short prompts."""
    return keys[REGISTRY_HEAD_BLOCKS - 1] if len(keys) >= REGISTRY_HEAD_BLOCKS else None


def checkpoints(keys: tuple[int, ...]) -> tuple[int, ...]:
    """Return the truncated keys at every :data:`CHECKPOINT_BLOCKS` blocks of a prompt."""
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
    """Records by head key; the least recently updated heads are evicted first."""

    _heads: OrderedDict[int, list[tuple[str, _Record]]] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._heads)

    def lookup(self, head: int, plan: PrefixPlan, now: float) -> tuple[PrefixHint, ...]:
        """Return hints for a prompt; record the requester's plan when none is deep enough.

        The plan is recorded at once, so that only the first of several nodes computes a prefix.
        """
        hints = self._hints(head, plan.checkpoints, now)
        deepest = max((hint.blocks for hint in hints), default=0)
        if deepest < (len(plan.checkpoints) - HINT_TOLERANCE_CHECKPOINTS) * CHECKPOINT_BLOCKS:
            self.record(head, plan, now)
        return hints

    def record(self, head: int, plan: PrefixPlan, now: float) -> None:
        """Record where a prompt is being computed or was last used."""
        records = self._heads.setdefault(head, [])
        self._heads.move_to_end(head)
        ready_at = now + plan.ready_in_seconds
        others = [
            (engine, record)
            for engine, record in records
            if engine != plan.engine or record.checkpoints != plan.checkpoints
        ]
        computed = plan.ready_in_seconds == 0
        record = _Record(plan.incarnation, plan.checkpoints, ready_at, computed)
        self._heads[head] = [*others, (plan.engine, record)][-MAX_RECORDS_PER_HEAD:]
        while len(self._heads) > MAX_HEADS:
            self._heads.popitem(last=False)

    def _hints(self, head: int, wanted: tuple[int, ...], now: float) -> tuple[PrefixHint, ...]:
        hints = []
        for engine, record in self._heads.get(head, ()):
            blocks = _shared_depth(wanted, record.checkpoints)
            if blocks:
                if not record.computed and now - record.ready_at > OVERDUE_EXPIRY_SECONDS:
                    continue
                # An overdue prefill is not ready until its node reports completion.
                earliest = 0.0 if record.computed else OVERDUE_RECHECK_SECONDS
                ready_in = max(earliest, record.ready_at - now)
                idle = max(0.0, now - record.ready_at)
                hints.append(PrefixHint(engine, record.incarnation, blocks, ready_in, idle))
        return tuple(hints)


def _shared_depth(first: tuple[int, ...], second: tuple[int, ...]) -> int:
    """Return the depth in blocks up to which the checkpoints of two prompts agree."""
    depth = 0
    for first_key, second_key in zip(first, second, strict=False):
        if first_key != second_key:
            break
        depth += CHECKPOINT_BLOCKS
    return depth
