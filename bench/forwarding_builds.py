"""An older build of the program beside this one, in a randomised run.

All processes begin as the older build. Then they are replaced by this one in turn, some are rolled back
halfway, and in the end all run this one; whatever else ends a process starts the build that it has
at the time.
"""

import asyncio
import pathlib
import random
import signal
import subprocess
import time

from bench.forwarding_world import ROOT, World

PAUSE_SECONDS = (0.3, 1.5)
"""Range of the pause between two replacements."""

ROLLED_BACK_SHARE = 0.6
"""Part of the nodes that are replaced before they are rolled back."""


def check_out(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Check a commit of this repository out beside it, and return where.

    :raises ValueError: when the repository does not hold the commit.
    """
    path = folder / "older"
    command = ["git", "worktree", "add", "--detach", str(path), commit]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if result.returncode:
        raise ValueError(f"older: {commit!r} cannot be checked out: {result.stderr.strip()}")
    return path


def remove(path: pathlib.Path) -> None:
    """Remove a checkout."""
    command = ["git", "worktree", "remove", "--force", str(path)]
    subprocess.run(command, cwd=ROOT, capture_output=True, check=True)


class Replacement:
    """Replaces the nodes of a world, one after the other, forward and back.

    :param older: a checkout of the older build.
    """

    def __init__(self, world: World, older: pathlib.Path, rng: random.Random):
        self._world = world
        self._older = older
        self._rng = rng
        for name in world.nodes:
            world.build_of[name] = older

    async def run(self, until: float) -> None:
        """Replace until a moment; at the end all nodes run this build."""
        names = self._rng.sample(self._world.nodes, len(self._world.nodes))
        first = names[: max(1, round(ROLLED_BACK_SHARE * len(names)))]
        series = [(name, ROOT) for name in first]
        series += [(name, self._older) for name in reversed(first)]
        series += [(name, ROOT) for name in names]
        for name, build in series:
            if time.monotonic() < until or build is ROOT:
                await self._replace(name, build)

    async def _replace(self, name: str, build: pathlib.Path) -> None:
        await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        if self._world.build_of[name] == build:
            return
        self._world.build_of[name] = build
        await self._world.end_and_restart(name, signal.SIGTERM)
