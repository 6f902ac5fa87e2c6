"""The newest entry of a worker is one that names no worker: another writer's, or spoiled.

The node passed such an entry over and went on with the one before, for as long as the worker's key
held it, or read a missing state as ``ready``. So requests reached a worker whose entry in the store
said for any length of time that there was none: of the nine entries below, eight left it in use.
"""

import json

from standins.platform_worker import PlatformWorker

BORN = 1_764_700_000_000


def spoiled(worker: PlatformWorker) -> list[bytes]:
    """Return entries under a worker's key that name no worker."""
    entry = json.loads(worker.entry("plain", "z1"))

    def without(field: str) -> bytes:
        return json.dumps({key: value for key, value in entry.items() if key != field}).encode()

    def changed(**fields) -> bytes:
        return json.dumps(entry | fields).encode()

    return [
        b"\xff\xfe no document",
        b"[" * 100_000,
        without("state"),
        without("service"),
        without("address"),
        changed(capacity="eight"),
        changed(state="parked"),
        changed(born="yesterday"),
        changed(address="nowhere"),
    ]


async def test_worker_with_an_unusable_entry_gets_no_requests(site):
    site.configure()
    spoilt = await site.add_worker(PlatformWorker("i-1", born=BORN), "plain")
    await site.add_worker(PlatformWorker("i-2", born=BORN), "plain")
    node = await site.add_node()
    await site.ready()
    used, version = [], 1
    for entry in spoiled(spoilt):
        site.model.put("servers/i-1", entry)
        await site.until_current(version + 1)
        arrived = len(spoilt.arrivals)
        answers = [await site.ask("/safe/x", f"spoilt-{version}-{number}") for number in range(4)]
        assert [one.status for one in answers] == [200] * 4
        if len(spoilt.arrivals) > arrived or node.accepts_new_requests("i-1"):
            used.append(entry[:80])
        site.enter(spoilt, "plain")
        await site.until_current(version + 2)
        assert node.accepts_new_requests("i-1"), "a whole entry puts it into use again"
        version += 2
    assert used == []
