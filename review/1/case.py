"""All nodes are killed while a service's workers are released to another software version.

Streams that workers of the old version began are taken up again by their clients and go on at
workers of the new one, as no restarted node remembers that there was an old one.
"""

import asyncio
import pathlib
import sys

from world import Record, World, engine_worker, engines, main, route, stream_client

STREAMS = 24
DEADLINE = 6.0
FOLDER = pathlib.Path(__file__).resolve().parent


async def scenario(record: Record, trouble: bool) -> bool:
    """Play the case, and return whether the rule was broken."""
    world = World(record, nodes=3)
    try:
        await world.start_store()
        routes = [route("ledger-match", "streaming", "matcher", resumable=True, max_attempts=2)]
        world.configure(1, routes, [engines()])
        world.name_weights(1)
        # The service is in the middle of an upgrade: two versions serve side by side.
        for name, version in (("s0", "v1"), ("s1", "v1"), ("s2", "v2"), ("s3", "v2")):
            await world.start_worker(name, "matcher", engine_worker(name, version))
        for name in world.names:
            await world.start_node(name)
        await world.wait_ready()
        await asyncio.sleep(4.0)
        results = []
        clients = [
            asyncio.create_task(stream_client(world, number, DEADLINE, results))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(0.5)
        # Release of the second half: the new workers start first, the old ones drain and end.
        for name in ("s4", "s5"):
            await world.start_worker(name, "matcher", engine_worker(name, "v2"))
        await asyncio.sleep(0.3)
        for name in ("s0", "s1"):
            world.write_entry(name, "draining")
        await asyncio.sleep(1.6)
        restart = None
        if trouble:
            restart = asyncio.create_task(world.kill_and_restart(world.names, 1.0))
        await asyncio.sleep(0.6)
        for name in ("s0", "s1"):
            world.remove_entry(name)
            await world.workers[name].server.stop()
            record(f"worker {name}: ends")
        await asyncio.gather(*clients)
        if restart is not None:
            await restart
        world.record_runs()
        mixed = [stream for stream in results if len(stream.versions) > 1]
        record(f"{len(mixed)} of {STREAMS} streams hold events of two software versions")
        return len(mixed) > 2
    finally:
        await world.stop()


if __name__ == "__main__":
    sys.exit(main(FOLDER, scenario))
