"""Memory of a node before callers that stop reading: ``python -m bench.slow_readers``.

Starts a node with 128 MB, whose account has 32 MB, as a process. Prints how much its memory grows
while callers that never read hold streams, and the times to the first event of other callers. Only
the listed figures are measured; nothing is asserted.
"""

import argparse
import asyncio
import os
import pathlib
import re
import socket
import statistics
import sys
import tempfile
import time

import h11

from bench.process_usage import cpu_seconds
from standins.bulk_worker import BulkWorker
from standins.platform_site import HOST, Caller, Site, configuration, free_port
from standins.platform_worker import worker_entry

ROOT = pathlib.Path(__file__).resolve().parent.parent
STREAM = {"host": HOST, "path_prefix": "/stream/", "kind": "streaming", "service": "plain"}
SETTLE_SECONDS = 2.0


class NodeProcess:
    """A node as a process, with a stand-in store and worker in this one."""

    def __init__(self, site: Site, megabytes: int, checkout: pathlib.Path):
        self.site = site
        self._megabytes = megabytes
        self._checkout = checkout
        self._metrics = f"127.0.0.1:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the node and wait until it serves."""
        site = self.site
        site.addresses["n1"] = f"127.0.0.1:{free_port()}"
        site.readiness["n1"] = f"127.0.0.1:{free_port()}"
        path = site.write_settings("n1")
        text = path.read_text().replace("[store]", f'metrics = "{self._metrics}"\n[store]')
        path.write_text(f"{text}\n[limits]\nmemory_megabytes = {self._megabytes}\n")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self._checkout / "deploy" / "node.py"),
            env=os.environ | {"WHEELSLIP_NODE_FILE": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        while await self._status() != 200:
            await asyncio.sleep(0.1)

    async def _status(self) -> int:
        try:
            return (await self.site.request("/stream/x", "probe")).status
        except (OSError, AssertionError):
            return 0

    def megabytes(self, field: str = "VmRSS") -> float:
        """Return a memory figure of the process in MB."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(rf"{field}:\s+(\d+)", text).group(1)) * 1024 / 1e6

    async def gauges(self) -> dict[str, float]:
        """Return the gauges of the account."""
        host, _, port = self._metrics.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        found = re.findall(
            r"^wheelslip_(memory_\w+|slow_\w+|requests_over_memory) (\S+)", text, re.M
        )
        return {name: float(value) for name, value in found}


async def first_event_seconds(site: Site, number: int) -> float:
    """Return the time from sending a request for a stream to its first event."""
    caller = await site.connect()
    began = time.perf_counter()
    caller.send("/stream/x", f"other-{number}")
    while True:
        event = caller.parser.next_event()
        if event is h11.NEED_DATA:
            caller.parser.receive_data(await caller.reader.read(65536))
        elif isinstance(event, h11.Data):
            break
    caller.abort()
    return time.perf_counter() - began


async def other_callers(site: Site, count: int) -> str:
    """Run streams of other callers one after the other and describe their first events."""
    times = sorted([await first_event_seconds(site, number) for number in range(count)])
    milliseconds = [1000 * seconds for seconds in times]
    return (
        f"first event of {count} others: median {statistics.median(milliseconds):.1f} ms, "
        f"90% {milliseconds[int(0.9 * count)]:.1f}, longest {milliseconds[-1]:.1f}"
    )


async def connect_unread(site: Site) -> socket.socket:
    """Open a connection that is never read."""
    host, _, port = site.addresses["n1"].partition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    return connection


async def send_bulk(site: Site, connection: socket.socket, number: int) -> None:
    """Request a long stream."""
    request = Caller(None, _Collector())
    request.send("/stream/x", f"bulk-{number}")
    await asyncio.get_running_loop().sock_sendall(connection, request.writer.data)


class _Collector:
    def __init__(self):
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data


async def run(arguments: argparse.Namespace, folder: pathlib.Path) -> None:
    """Run the measurement and print its figures."""
    site = await Site(folder).start()
    site.configure(configuration(routes=[STREAM | {"timeout_ms": 120_000}]))
    worker = BulkWorker(256, arguments.event_seconds)
    await worker.start()
    site.model.put("servers/i-1", worker_entry("plain", worker.address, "z1", capacity=1000))
    node = NodeProcess(site, arguments.megabytes, arguments.checkout)
    await node.start()
    try:
        await other_callers(site, 20)
        before = node.megabytes()
        print(f"before: {before:.1f} MB; {await other_callers(site, 40)}")
        connections = [await connect_unread(site) for _ in range(arguments.callers)]
        for number, connection in enumerate(connections):
            await send_bulk(site, connection, number)
        print(f"while the buffers fill: {await other_callers(site, arguments.others)}")
        await asyncio.sleep(SETTLE_SECONDS)
        cpu = cpu_seconds(node.process.pid)
        await asyncio.sleep(SETTLE_SECONDS)
        cpu = (cpu_seconds(node.process.pid) - cpu) / SETTLE_SECONDS
        print(f"afterwards: {await other_callers(site, 40)}; {100 * cpu:.1f}% of a core at rest")
        peak = node.megabytes("VmHWM")
        print(f"now {node.megabytes():.1f} MB; highest {peak:.1f} MB, grown by {peak - before:.1f}")
        print(await node.gauges())
    finally:
        node.process.kill()
        await node.process.wait()


def main() -> None:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, default=200)
    parser.add_argument("--megabytes", type=int, default=128, help="memory of the node")
    parser.add_argument("--others", type=int, default=400, help="requests of other callers")
    parser.add_argument("--event-seconds", type=float, default=0.1, help="pause of 32 KB events")
    parser.add_argument("--checkout", type=pathlib.Path, default=ROOT, help="build to measure")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(arguments, pathlib.Path(folder)))


if __name__ == "__main__":
    main()
