"""Rolling upgrade from an older build during a randomised run.

All node processes start from a checkout of the older build. They are upgraded to this checkout one
after the other, some are rolled back and upgraded again. A node that is restarted for any other
reason starts from the build that is assigned to it at that time.
"""

import asyncio
import pathlib
import random
import signal
import subprocess
import time

from bench.forwarding.world import ROOT, World

PAUSE_SECONDS = (0.3, 1.5)
"""Range of the pause between two replacements."""

ROLLED_BACK_SHARE = 0.6
"""Share of the nodes that are upgraded, rolled back and upgraded again."""


def check_out(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Check out a commit of this repository in a git worktree.

    :param folder: directory in which the worktree is created.
    :return: path of the worktree.
    :raises ValueError: when the commit cannot be checked out.
    """
    path = folder / "older"
    command = ["git", "worktree", "add", "--detach", str(path), commit]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if result.returncode:
        raise ValueError(f"older: {commit!r} cannot be checked out: {result.stderr.strip()}")
    return path


def remove_checkout(path: pathlib.Path) -> None:
    """Remove a worktree that ``check_out`` created."""
    command = ["git", "worktree", "remove", "--force", str(path)]
    subprocess.run(command, cwd=ROOT, capture_output=True, check=True)


class RollingUpgrade:
    """Upgrades and rolls back the nodes of a world, one at a time.

    :param older_checkout: path of a checkout of the older build.
    """

    def __init__(self, world: World, older_checkout: pathlib.Path, rng: random.Random):
        self._world = world
        self._older_checkout = older_checkout
        self._rng = rng
        for name in world.nodes:
            world.checkout_of[name] = older_checkout

    async def run(self, until: float) -> None:
        """Replace nodes until all run this build.

        :param until: monotonic time after which no further node is rolled back.
        """
        names = self._rng.sample(self._world.nodes, len(self._world.nodes))
        rolled_back = names[: max(1, round(ROLLED_BACK_SHARE * len(names)))]
        replacements = [(name, ROOT) for name in rolled_back]
        replacements += [(name, self._older_checkout) for name in reversed(rolled_back)]
        replacements += [(name, ROOT) for name in names]
        for name, build in replacements:
            if time.monotonic() < until or build is ROOT:
                await self._replace(name, build)

    async def _replace(self, name: str, build: pathlib.Path) -> None:
        await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        if self._world.checkout_of[name] == build:
            return
        self._world.checkout_of[name] = build
        await self._world.end_and_restart(name, signal.SIGTERM)
