"""Entry point of the process that the platform starts (DEPLOY, "Settings of a process")."""

import asyncio
import os
import sys

from wheelslip.clocks import SteadyEventLoop
from wheelslip.forwarding.node import ForwardingNode
from wheelslip.platform.headers import PlatformHeaders
from wheelslip.platform.registry import PlatformRegistry
from wheelslip.platform.store import PlatformStore
from wheelslip.platform.workers import PlatformWorkers
from wheelslip.settings import SettingsError

SETTINGS_VARIABLE = "WHEELSLIP_NODE_FILE"


async def _serve(path: str) -> None:
    node = ForwardingNode(
        path, PlatformHeaders(), PlatformRegistry(), PlatformStore, PlatformWorkers()
    )
    await node.run()


def main() -> int:
    """Run one node with the settings file that the environment names and return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
            runner.run(_serve(path))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
