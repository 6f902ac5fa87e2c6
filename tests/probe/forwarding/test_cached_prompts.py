"""Where kept KV cache is saved and fetched."""

from standins.platform_site import ENGINES, configuration
from standins.platform_worker import PlatformWorker

STORES = [
    {"name": f"kept-{number}", "kv_store_addr": f"127.0.0.1:{number}", "zone": "z1"}
    for number in range(1, 4)
]


async def test_prompts_are_spread_over_the_stores_and_all_nodes_name_the_same(site):
    site.configure(configuration(services=[{"name": "plain"}, ENGINES, *STORES]))
    worker = await site.add_worker(PlatformWorker("i-1", model="m"), "engines")
    for name in ("n1", "n2"):
        await site.add_node(name)
        await site.ready(name)
    named = {}
    for session in range(12):
        for name in ("n1", "n2"):
            prompt = {
                "Wheelslip_Model_Id": "m",
                "Wheelslip_Token_Usage": "3000,5",
                "Wheelslip_Prefix_Hash": f"aa:1000,5e55{session:02x}:1000,{name[1]}{session:02x}:1000",
            }
            answer = await site.ask("/stream/x", f"r-{session}-{name}", name, **prompt)
            assert answer.status == 200
            headers = worker.runs[-1].request.headers
            named.setdefault(session, set()).add(headers["wheelslip-kv-save"])
    assert all(len(stores) == 1 for stores in named.values())
    assert set().union(*named.values()) == {one["kv_store_addr"] for one in STORES}


async def test_short_shared_parts_are_read_again_and_not_moved(site):
    site.configure(configuration(services=[{"name": "plain"}, ENGINES, *STORES]))
    worker = await site.add_worker(PlatformWorker("i-1", model="m"), "engines")
    await site.add_node()
    await site.ready()
    prompt = {
        "Wheelslip_Model_Id": "m",
        "Wheelslip_Token_Usage": "900,5",
        "Wheelslip_Prefix_Hash": "aa:100,bb:100,cc:700",
    }
    assert (await site.ask("/stream/x", "r1", **prompt)).status == 200
    headers = worker.runs[-1].request.headers
    assert "wheelslip-cache-salt" in headers
    assert not {"wheelslip-kv-save", "wheelslip-kv-fetch"} & set(headers)
