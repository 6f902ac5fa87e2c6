"""Runs a node whose connections a soak can cut.

The file named by :data:`CUTS_VARIABLE` holds, as JSON, the addresses of all workers, how this node is
cut off from them, and the same for other peers; an empty text where it is not.
"""

import asyncio
import json
import os
import pathlib
import sys
from typing import Any

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
    """Applies the content of the file to the connections and datagrams of this process."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._addresses: set[str] = set()
        self._applied: list[Any] = []
        self._partitions = Partitions(lambda: self._addresses)

    def apply(self) -> None:
        """Read the file and apply it if it has changed."""
        document = json.loads(self._path.read_text())
        workers = set(document["workers"])
        self._addresses = workers | set(document["peers"])
        cuts = [document["how"], document["peers_how"], document["cut_peers"]]
        if cuts == self._applied:
            return
        self._applied = cuts
        self._partitions.heal("self")
        for how, addresses in ((cuts[0], workers), (cuts[1], set(cuts[2]))):
            if how and addresses:
                self._partitions.cut("self", Cut(how), addresses)

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
