"""Choice of the stores to which KV cache is saved and from which it is fetched."""

from standins.platform_site import ENGINES, configuration, free_port, wait_until
from standins.platform_worker import PlatformWorker

STORES = [
    {"name": f"kept-{number}", "kv_store_addr": f"127.0.0.1:{number}", "zone": "z1"}
    for number in range(1, 4)
]


async def test_prompts_are_spread_over_stores_identically_by_all_nodes(site):
    site.configure(configuration(services=[{"name": "plain"}, ENGINES, *STORES]))
    worker = await site.add_worker(PlatformWorker("i-1", model="m"), "engines")
    for name in ("n1", "n2"):
        await site.add_node(name)
        await site.wait_until_ready(name)
    stores_by_session = {}
    for session in range(12):
        for name in ("n1", "n2"):
            prompt = {
                "Wheelslip_Model_Id": "m",
                "Wheelslip_Token_Usage": "3000,5",
                "Wheelslip_Prefix_Hash": f"aa:1000,5e55{session:02x}:1000,{name[1]}{session:02x}:1000",
            }
            answer = await site.request("/stream/x", f"r-{session}-{name}", name, **prompt)
            assert answer.status == 200
            headers = worker.runs[-1].request.headers
            stores_by_session.setdefault(session, set()).add(headers["wheelslip-kv-fetch"])
    assert all(len(stores) == 1 for stores in stores_by_session.values())
    assert set().union(*stores_by_session.values()) == {store["kv_store_addr"] for store in STORES}


async def test_saved_prompt_is_fetched_and_not_saved_again_by_other_nodes(site):
    site.configure(configuration(services=[{"name": "plain"}, ENGINES, *STORES]))
    worker = await site.add_worker(PlatformWorker("i-1", model="m"), "engines")
    seed = f"127.0.0.1:{free_port()}"
    first = await site.add_node("n1", peers=seed)
    second = await site.add_node("n2", peers=f"127.0.0.1:{free_port()}", seeds=[seed])
    await site.wait_until_ready("n1")
    await site.wait_until_ready("n2")
    await wait_until(lambda: first.gauge("followers") + second.gauge("followers") == 1, "a relay")

    async def is_saved(request_id: str, name: str, session: str) -> bool:
        prompt = {
            "Wheelslip_Model_Id": "m",
            "Wheelslip_Token_Usage": "3000,5",
            "Wheelslip_Prefix_Hash": f"aa:1000,{session}:1000,{request_id.encode().hex()}:1000",
        }
        assert (await site.request("/stream/x", request_id, name, **prompt)).status == 200
        headers = worker.runs[-1].request.headers
        assert headers["wheelslip-kv-fetch"]
        return "wheelslip-kv-save" in headers

    assert await is_saved("first", "n1", "5e55")
    assert not await is_saved("again", "n1", "5e55")
    await wait_until(
        lambda: second.gauge("saved_prompts") == 1, "the other node received the saved prompt"
    )
    assert not await is_saved("other", "n2", "5e55")
    assert await is_saved("cold", "n2", "c01d")


async def test_short_shared_parts_are_neither_saved_nor_fetched(site):
    site.configure(configuration(services=[{"name": "plain"}, ENGINES, *STORES]))
    worker = await site.add_worker(PlatformWorker("i-1", model="m"), "engines")
    await site.add_node()
    await site.wait_until_ready()
    prompt = {
        "Wheelslip_Model_Id": "m",
        "Wheelslip_Token_Usage": "900,5",
        "Wheelslip_Prefix_Hash": "aa:100,bb:100,cc:700",
    }
    assert (await site.request("/stream/x", "r1", **prompt)).status == 200
    headers = worker.runs[-1].request.headers
    assert "wheelslip-cache-salt" in headers
    assert not {"wheelslip-kv-save", "wheelslip-kv-fetch"} & set(headers)
