"""A worker whose latest entry is invalid must not stay in use by its previous entry."""

import json

from standins.platform_worker import PlatformWorker

BORN = 1_764_700_000_000


def invalid_entries(worker: PlatformWorker) -> list[bytes]:
    """Return invalid entries for a worker's key."""
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
    affected = await site.add_worker(PlatformWorker("i-1", born=BORN), "plain")
    await site.add_worker(PlatformWorker("i-2", born=BORN), "plain")
    node = await site.add_node()
    await site.wait_until_ready()
    used, version = [], 1
    for entry in invalid_entries(affected):
        site.model.put("servers/i-1", entry)
        await site.configure_and_wait(version + 1)
        arrivals_before = len(affected.arrivals)
        answers = [
            await site.request("/safe/x", f"spoilt-{version}-{number}") for number in range(4)
        ]
        assert [answer.status for answer in answers] == [200] * 4
        if len(affected.arrivals) > arrivals_before or node.accepts_new_requests("i-1"):
            used.append(entry[:80])
        site.write_entry(affected, "plain")
        await site.configure_and_wait(version + 2)
        assert node.accepts_new_requests("i-1"), "a valid entry puts it into use again"
        version += 2
    assert used == []
