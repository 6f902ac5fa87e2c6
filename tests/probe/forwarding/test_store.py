"""Changes of the store, outages, lost history and API keys that cannot be confirmed."""

import asyncio

from standins.platform_site import PLAIN, configuration, wait_until
from standins.platform_worker import PlatformWorker


async def small_site(site, **bounds):
    site.configure()
    await site.add_worker(PlatformWorker("i-1"), "plain")
    node = await site.add_node(**bounds)
    await site.wait_until_ready()
    return node


async def test_new_configuration_is_applied_and_older_one_ignored(site):
    node = await small_site(site)
    site.configure(configuration(7, routes=[PLAIN | {"path_prefix": "/new/"}]))
    await wait_until(lambda: node.configuration_version() == 7, "version 7 in force")
    assert (await site.request("/new/", "r1")).status == 200
    assert (await site.request("/plain/", "r2")).status == 404
    site.configure(configuration(3))
    site.configure(configuration(8, routes=[PLAIN]))
    await wait_until(lambda: node.configuration_version() == 8, "version 8 in force")
    assert (await site.request("/plain/", "r3")).status == 200


async def test_revoked_key_is_refused(site):
    node = await small_site(site)
    site.configure(configuration(2, keys=["key-2"]))
    await wait_until(lambda: node.configuration_version() == 2, "version 2 in force")
    assert (await site.request("/plain/", "r1")).status == 401
    assert (await site.request("/plain/", "r2", key="key-2")).status == 200


async def test_change_during_lost_history_is_applied(site):
    node = await small_site(site)
    site.store.error_status = 503
    await asyncio.sleep(0.1)
    site.configure(configuration(5, keys=["key-2"]))
    site.model.remove("servers/i-1")
    site.model.compact()
    site.store.error_status = 0
    await wait_until(lambda: node.configuration_version() == 5, "version 5 in force")
    assert (await site.request("/plain/", "r1")).status == 401


async def test_keys_get_503_after_the_revocation_bound_while_the_store_is_unavailable(site):
    node = await small_site(site, key_revocation_ms=1500)
    site.store.error_status = 503
    site.store.server.reset_all()
    await wait_until(lambda: not node.is_ready(), "node not ready")
    await asyncio.sleep(1.5)
    answer = await site.request("/plain/", "r1")
    assert answer.status == 503 and "retry-after" in answer.headers
    assert (await site.request("/plain/", "r2", key="unknown")).status == 503
    assert (await site.request("/unknown/", "r3")).status in (404, 503)
    assert site.runs("r1") == []
    site.store.error_status = 0
    await wait_until(node.is_ready, "node ready again")
    assert (await site.request("/plain/", "r4")).status == 200


async def test_unknown_route_is_answered_with_503_while_the_view_is_stale(site):
    node = await small_site(site)
    site.store.server.silent = True
    site.store.server.reset_all()
    await wait_until(lambda: node.view_age() > 2.1, "view is stale")
    assert (await site.request("/unknown/", "r1")).status == 503


async def test_worker_whose_entry_vanishes_in_an_outage_stays_in_use(site):
    node = await small_site(site, heartbeat_ms=200)
    site.store.error_status = 503
    site.store.server.reset_all()
    await asyncio.sleep(0.5)
    site.model.remove("servers/i-1")
    site.store.error_status = 0
    await wait_until(lambda: node.view_age() < 0.3, "store is read again")
    assert "i-1" in node.worker_ids()
    assert (await site.request("/plain/", "r1")).status == 200
    # The entry does not return although the store is available again.
    await wait_until(lambda: "i-1" not in node.worker_ids(), "worker removed")


async def test_worker_whose_entry_vanishes_without_an_outage_is_removed(site):
    node = await small_site(site)
    site.model.remove("servers/i-1")
    await wait_until(lambda: "i-1" not in node.worker_ids(), "worker removed")
    answer = await site.request("/plain/", "r1")
    assert answer.status == 503 and "retry-after" in answer.headers


async def test_unreadable_documents_change_nothing(site):
    node = await small_site(site)
    site.model.put("op/config", b"{not json")
    site.model.put("servers/i-9", b"[]")
    site.configure(configuration(2))
    await wait_until(lambda: node.configuration_version() == 2, "version 2 in force")
    assert "i-9" not in node.worker_ids()
    assert (await site.request("/plain/", "r1")).status == 200
