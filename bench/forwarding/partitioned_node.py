"""Runs a node whose connections to workers a soak can cut.

The file named by :data:`CUTS_VARIABLE` holds, as JSON, the addresses of all workers and how this node
is cut off from them; an empty text for a node that is not.
"""

import asyncio
import json
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from bench.forwarding.world import CUTS_VARIABLE  # noqa: E402
from standins.partitions import CURRENT_NODE, Cut, Partitions  # noqa: E402
from wheelslip.clocks import SteadyEventLoop  # noqa: E402
from wheelslip.forwarding.node import ForwardingNode  # noqa: E402
from wheelslip.platform.headers import PlatformHeaders  # noqa: E402
from wheelslip.platform.main import SETTINGS_VARIABLE  # noqa: E402
from wheelslip.platform.registry import PlatformRegistry  # noqa: E402
from wheelslip.platform.store import PlatformStore  # noqa: E402
from wheelslip.platform.workers import PlatformWorkers  # noqa: E402

READ_SECONDS = 0.05


class CutsFile:
    """Applies the content of the file to the connections of this process."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._workers: set[str] = set()
        self._applied = ""
        self._partitions = Partitions(lambda: self._workers)

    def apply(self) -> None:
        """Read the file and apply it if it has changed."""
        document = json.loads(self._path.read_text())
        self._workers = set(document["workers"])
        how = document["how"]
        if how == self._applied:
            return
        self._applied = how
        self._partitions.heal("self")
        if how:
            self._partitions.cut("self", Cut(how))

    async def run(self) -> None:
        """Apply changes of the file until cancelled."""
        while True:
            self.apply()
            await asyncio.sleep(READ_SECONDS)


async def main() -> None:
    """Run one node with the settings file that the environment names."""
    CURRENT_NODE.set("self")
    cuts = CutsFile(pathlib.Path(os.environ[CUTS_VARIABLE]))
    cuts.apply()
    task = asyncio.create_task(cuts.run())
    node = ForwardingNode(
        os.environ[SETTINGS_VARIABLE],
        PlatformHeaders(),
        PlatformRegistry(),
        PlatformStore,
        PlatformWorkers(),
    )
    await node.run()
    task.cancel()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        runner.run(main())
