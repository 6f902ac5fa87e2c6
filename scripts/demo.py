"""The demo: stand-ins, two nodes, one streamed and one plain request, a cache hit."""

import contextlib
import json
import pathlib
import sys
import tempfile
from collections.abc import Iterator

from scripts import forwarding_demo
from standins.cluster import Cluster, EngineSpec, NodeSpec, read_events

API_KEY = "thibodeau-key"
LONG_LOG = "Item log, stadium weekend: umbrella, ring, scarf, left glove. " * 200
_HEADERS = {"Authorization": f"Bearer {API_KEY}"}


class StepFailed(Exception):
    """A step of the demo did not do what it should."""


@contextlib.contextmanager
def step(name: str) -> Iterator[None]:
    """Name the step that fails."""
    print(f"== {name}")
    try:
        yield
    except Exception as error:
        raise StepFailed(f"step failed: {name}: {error!r}") from error


def chat_body(question: str, stream: bool) -> dict:
    """Return a chat about the long log."""
    return {
        "model": "lookup",
        "stream": stream,
        "stream_options": {"include_usage": True},
        "max_tokens": 8,
        "messages": [
            {"role": "system", "content": LONG_LOG},
            {"role": "user", "content": question},
        ],
    }


def streamed(cluster: Cluster, node: str, question: str) -> dict:
    """Send a streamed chat, print its text and return its usage."""
    response = cluster.http.request(
        "POST",
        f"http://{cluster.caller_address(node)}/v1/chat/completions",
        json=chat_body(question, True) | {"stream_options": {"include_usage": True}},
        headers=_HEADERS,
        preload_content=False,
    )
    events = [data for _, data in read_events(response)]
    if response.status != 200 or events[-1] != "[DONE]":
        raise StepFailed(f"status {response.status}, events {events}")
    chunks = [json.loads(data) for data in events[:-1]]
    texts = [one["choices"][0]["delta"].get("content", "") for one in chunks if one["choices"]]
    print(f"   {node} streamed:{''.join(texts)}")
    return chunks[-1]["usage"]


def plain(cluster: Cluster, node: str, question: str) -> dict:
    """Send a plain chat, print its text and return its usage."""
    body = chat_body(question, False)
    body.pop("stream_options")
    url = f"http://{cluster.caller_address(node)}/v1/chat/completions"
    response = cluster.http.request("POST", url, json=body, headers=_HEADERS)
    if response.status != 200:
        raise StepFailed(f"status {response.status}: {response.data!r}")
    answer = response.json()
    print(f"   {node} answered:{answer['choices'][0]['message']['content']}")
    return answer["usage"]


def show(cluster: Cluster, usage: dict) -> None:
    """Print who served the latest request and what was cached."""
    run = cluster.runs("finished")[-1]
    engine = next(
        engine["name"]
        for engine in cluster.status("node-1")["engines"]
        if engine["incarnation"] == run["incarnation"]
    )
    cached = usage["prompt_tokens_details"]["cached_tokens"]
    print(f"   served by {engine}; {cached} of {usage['prompt_tokens']} prompt tokens cached")


def run(cluster: Cluster) -> None:
    """Carry out the steps."""
    with step(
        "start stand-ins (key-value, machine list, weight store, 2 engines in 2 zones), 2 nodes"
    ):
        cluster.start()
    with step("apply the declarations of examples/thibodeau"):
        print(cluster.apply("node-1", "examples/thibodeau").rstrip())
    with step("nodes find the engines"):
        cluster.wait_engines(2)
    with step("a streamed chat completion on a long log"):
        show(cluster, streamed(cluster, "node-1", "Is there a ring?"))
    with step("a plain one on the same log, through the other node: its prefix is cached"):
        usage = plain(cluster, "node-2", "Is there a scarf?")
        show(cluster, usage)
        if usage["prompt_tokens_details"]["cached_tokens"] == 0:
            raise StepFailed("the second request found nothing cached")
    with step("status"):
        print(cluster.command("status", "--node", cluster.operator_address("node-2")).rstrip())


def main() -> int:
    """Run the demo; returns the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(
            pathlib.Path(directory),
            [EngineSpec("engine-1", "worcester"), EngineSpec("engine-2", "providence")],
            [NodeSpec("node-1", "worcester"), NodeSpec("node-2", "providence")],
        )
        try:
            run(cluster)
        except StepFailed as error:
            print(error, file=sys.stderr)
            return 1
        finally:
            cluster.stop()
            for name in cluster.nodes:
                if "-v" in sys.argv:
                    print(cluster.processes[name].log_path.read_text())
    forwarding_demo.main()
    print("demo done")
    return 0


if __name__ == "__main__":
    sys.exit(main())
