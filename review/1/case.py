"""All nodes are killed while a service's workers are released to another software version.

Streams that workers of the old version began are taken up again by their clients and go on at
workers of the new one, as no restarted node remembers that there was an old one.
"""

import asyncio
import pathlib
import random
import sys
import time

from world import Record, World, attempt, engine_worker, engines, main, route

STREAMS = 24
DEADLINE = 6.0
FOLDER = pathlib.Path(__file__).resolve().parent


def events_of(body):
    """Return the id and the software version of each whole event."""
    found = []
    for block in body.split(b"\n\n")[:-1]:
        lines = block.decode().splitlines()
        number = next(int(line[4:]) for line in lines if line.startswith("id: "))
        version = next(line[2:] for line in lines if line.startswith(": "))
        found.append((number, version))
    return found


async def client(world: World, record: Record, number: int, results: list) -> None:
    """One client: a stream, taken up again a few times on new connections after it broke off."""
    until = time.monotonic() + DEADLINE
    events, first_id, tries = [], "", 0
    while tries < 4 and time.monotonic() < until - 0.2:
        name = world.names[(number + tries) % len(world.names)]
        if not await world.is_ready(name):
            # The platform hands no new connection to a node that isn't in.
            await asyncio.sleep(0.1)
            continue
        tries += 1
        request_id = f"{random.getrandbits(64):016x}"
        headers = {
            "Wheelslip-Model-Id": "m",
            "Wheelslip-Token-Usage": "900,13",
            "Wheelslip-Prefix-Hash": f"{number:08x}:600,{number + 4096:08x}:300",
        }
        if events:
            headers |= {"Last-Event-Id": events[-1][0], "Resumes": first_id}
        record(f"client {number}: sends {request_id} to {name}, {headers}")
        answer = await attempt(
            world.front(name),
            "/ledger-match/a",
            request_id,
            until - time.monotonic(),
            body=b"x" * 200,
            **headers,
        )
        got = events_of(answer.body) if answer.status == 200 else []
        if got and not events:
            first_id = request_id
        events += got
        record(
            f"client {number}: {request_id}: status {answer.status}, events {got}, "
            f"complete {answer.complete}, {answer.error}"
        )
        if answer.status == 200 and answer.complete:
            break
        wait = float(answer.headers.get("retry-after", 0.1))
        await asyncio.sleep(min(wait, max(0.0, (until - time.monotonic()) / 3)))
    results.append(events)


async def scenario(record: Record, trouble: bool) -> bool:
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
            asyncio.create_task(client(world, record, number, results))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(0.5)
        # Release of the second half: the new workers start first, the old ones drain and end.
        for name in ("s4", "s5"):
            await world.start_worker(name, "matcher", engine_worker(name, "v2"))
        await asyncio.sleep(0.3)
        for name in ("s0", "s1"):
            world.write_entry(name, "draining")
        await asyncio.sleep(1.0)
        restart = None
        if trouble:
            restart = asyncio.create_task(world.kill_and_restart(world.names, 1.0))
        await asyncio.sleep(1.2)
        for name in ("s0", "s1"):
            world.remove_entry(name)
            await world.workers[name].server.stop()
            record(f"worker {name}: ends")
        await asyncio.gather(*clients)
        if restart is not None:
            await restart
        for worker in world.workers.values():
            for run in worker.runs:
                last = run.request.headers.get("last-event-id", "-")
                resumes = run.request.headers.get("resumes", "-")
                record(
                    f"worker {worker.id} ({worker.software_version}) ran {run.request_id}, "
                    f"Last-Event-Id {last}, Resumes {resumes}"
                )
        mixed = [events for events in results if len({version for _, version in events}) > 1]
        record(f"{len(mixed)} of {STREAMS} streams hold events of two software versions")
        return len(mixed) > 2
    finally:
        await world.stop()


if __name__ == "__main__":
    sys.exit(main(FOLDER, scenario))
