"""Another writer overwrites a key that nodes write themselves."""

import asyncio
import json

import msgspec
import pytest

from standins.platform_site import Site, configuration, wait_until
from standins.platform_worker import PlatformWorker
from tests.probe.forwarding.test_streams_after_all_nodes_end import (
    replace_all,
    wait_until_registered,
)
from tests.probe.forwarding.test_streams_keep_software_version import (
    NO_RETRY,
    ZONES,
    Stream,
    add_workers,
    assert_taken_up,
    begin_streams,
    break_streams,
    take_up,
    wait_until_streams_begin,
)
from wheelslip.settings import Address

VERSIONS = "wheelslip/versions/engines"
DEEP = b'{"versions":["v1"],"base":"v1","x":' + b"[" * 60_000 + b"]" * 60_000 + b"}"
VALUES = {
    "deep": DEEP,
    "bytes": b"\xff\xfe no document",
    "empty": b"",
    "list": b"[1,[2]]",
    "numbers": b'{"versions":7,"fencing_token":1e400,"loading":"all","crashes":[[1]]}',
    "large": b'{"x":"' + b"a" * 200_000 + b'"}',
}
STREAMS = 12


def overwrite_all(site: Site, value: bytes) -> list[str]:
    """Give all keys of the nodes a value, and others under their prefixes; return the keys."""
    keys = {key for key in site.model.items if key.startswith("wheelslip/")}
    keys |= {f"wheelslip/streams/{digit:x}/other/0" for digit in range(16)}
    keys |= {f"wheelslip/{name}" for name in ("holder", "rollout", "crashes/n", "parts/n", "x")}
    keys |= {"wheelslip/trials/engines", "wheelslip/relay/zz", VERSIONS}
    for key in keys:
        site.model.put(key, value)
    return sorted(keys)


def registered_versions(site: Site) -> list[str]:
    try:
        return json.loads(site.model.items[VERSIONS].value)["versions"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return []


def relays_are_known(site: Site) -> bool:
    """Return whether the key of each zone's relay is an address."""
    keys = [f"wheelslip/relay/{zone}" for zone in ZONES]
    values = [site.model.items[key].value for key in keys if key in site.model.items]
    try:
        return len([Address.parse(value.decode("latin-1")) for value in values]) == len(ZONES)
    except ValueError:
        return False


async def serve(site: Site) -> list[Stream]:
    for name in ZONES:
        await wait_until_streams_begin(site, name)
    streams = [Stream(site) for _ in range(STREAMS)]
    await take_up(streams, ZONES)
    return streams


@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES.keys())
async def test_streams_are_served_and_keys_written_anew(site, value):
    site.configure(configuration(routes=[NO_RETRY]))
    await add_workers(site, "v1", 3)
    await site.add_relays(ZONES)
    await wait_until_registered(site, "v1")
    overwrite_all(site, value)
    await wait_until(lambda: registered_versions(site) == ["v1"], "the versions are written anew")
    await wait_until(lambda: relays_are_known(site), "the relays have written their addresses")
    assert all(stream.whole for stream in await serve(site))
    overwrite_all(site, value)
    await replace_all(site)
    await wait_until(lambda: registered_versions(site) == ["v1"], "versions, after all restart")
    await wait_until(lambda: relays_are_known(site), "the relays have written their addresses")
    assert all(stream.whole for stream in await serve(site))


@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES.keys())
async def test_new_weights_are_loaded(site, value):
    site.configure()
    worker = await site.add_worker(PlatformWorker("e1", "m"), "engines")
    site.set_desired_version("m", 1)
    await site.add_relays(ZONES)
    overwrite_all(site, value)
    site.set_desired_version("m", 2)
    await wait_until(lambda: worker.version == 2, "the weights are loaded")
    record = msgspec.json.decode(site.model.items["wheelslip/rollout"].value)
    assert set(record) >= {"fencing_token", "loading"}


@pytest.mark.parametrize("restart", [False, True], ids=["nodes stay", "all nodes restart"])
@pytest.mark.parametrize("value", [DEEP, b"{}"], ids=["deep", "empty object"])
async def test_streams_of_two_versions_are_not_mixed(site, value, restart):
    site.configure(configuration(routes=[NO_RETRY]))
    await add_workers(site, "v1", 3)
    await site.add_relays(ZONES)
    await wait_until_registered(site, "v1")
    await add_workers(site, "v2", 3)
    await wait_until_registered(site, "v2")
    begun = await begin_streams(site, 2 * STREAMS)
    overwrite_all(site, value)
    if restart:
        for name in ZONES:
            site.nodes[name].terminate()
        await asyncio.gather(*(task for _, task in begun))
        for worker in site.workers.values():
            worker.hold_after = None
        streams = [stream for stream, _ in begun]
        await replace_all(site)
    else:
        streams = await break_streams(site, begun)
    await take_up(streams, ("z2", "z3", "z1"))
    assert not [stream for stream in streams if stream.mixed]
    if not restart:
        assert_taken_up(streams)
