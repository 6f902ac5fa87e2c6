"""Demo of a forwarding node with stand-in workers and a stand-in store.

It sends a plain and a streamed request, then changes the configuration and the model weights.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

from standins.platform_site import PLAIN, Site, configuration, free_port, wait_until
from standins.platform_worker import PlatformWorker

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROMPT_HEADERS = {
    "Wheelslip_Model_Id": "model",
    "Wheelslip_Token_Usage": "300,4",
    "Wheelslip_Prefix_Hash": "aa:100,bb:100,cc:100",
}


async def _start_node(site: Site) -> asyncio.subprocess.Process:
    site.addresses["node-1"] = f"127.0.0.1:{free_port()}"
    site.readiness["node-1"] = f"127.0.0.1:{free_port()}"
    env = os.environ | {"WHEELSLIP_NODE_FILE": str(site.write_settings("node-1"))}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "deploy" / "node.py"),
        env=env,
        stdout=asyncio.subprocess.DEVNULL,
    )


async def _wait_for_status(site: Site, path: str, status: int) -> None:
    """Wait until requests to a path return a status."""
    while True:
        try:
            if (await site.request(path, "probe", "node-1")).status == status:
                return
        except (OSError, AssertionError):
            pass
        await asyncio.sleep(0.05)


async def _run_steps(site: Site) -> None:
    site.configure()
    site.set_desired_version("model", 1)
    await site.add_worker(PlatformWorker("plain-1"), "plain")
    engine = await site.add_worker(PlatformWorker("engine-1", model="model"), "engines")
    await _wait_for_status(site, "/plain/", 200)
    print("== a forwarded plain request")
    response = await site.request("/plain/notice", "request-1", "node-1")
    print(f"   {response.status}: {response.body.decode()}")
    print("== a forwarded stream")
    response = await site.request("/stream/match", "request-2", "node-1", **PROMPT_HEADERS)
    print(
        f"   {response.status}: {response.body.count(b'data:')} events, whole: {response.complete}"
    )
    print("== a new configuration moves the route")
    site.configure(configuration(2, routes=[PLAIN | {"path_prefix": "/moved/"}]))
    await _wait_for_status(site, "/moved/", 200)
    print(f"   /moved/ is served, /plain/ answers {(await _request_status(site, '/plain/'))}")
    print("== new weights are named")
    site.set_desired_version("model", 2)
    await wait_until(lambda: engine.version == 2, "the engine has version 2")
    print(f"   engine-1 took version 2 by order {engine.orders[0]}")


async def _request_status(site: Site, path: str) -> int:
    return (await site.request(path, "request-3", "node-1")).status


async def _run_demo(directory: pathlib.Path) -> None:
    site = await Site(directory).start()
    process = await _start_node(site)
    try:
        async with asyncio.timeout(60):
            await _run_steps(site)
        process.send_signal(signal.SIGTERM)
        print(f"== planned stop: exit status {await process.wait()}")
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def main() -> None:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_run_demo(pathlib.Path(directory)))


if __name__ == "__main__":
    main()
