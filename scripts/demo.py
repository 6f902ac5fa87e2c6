"""Demo of two nodes and two stand-in engines: streamed and plain requests, and a cache hit.

The demo of a forwarding node follows. With ``-v``, the logs of the nodes are printed.
"""

import contextlib
import json
import pathlib
import sys
import tempfile
from collections.abc import Iterator

from scripts import forwarding_demo
from standins.cluster import Cluster, EngineSpec, NodeSpec, read_events

API_KEY = "thibodeau-key"
SHARED_PROMPT = "Item log, stadium weekend: umbrella, ring, scarf, left glove. " * 200
_HEADERS = {"Authorization": f"Bearer {API_KEY}"}


class StepFailed(Exception):
    """Raised when a step of the demo fails."""


@contextlib.contextmanager
def step(name: str) -> Iterator[None]:
    """Print the name of a step and add it to any error raised within the step.

    :raises StepFailed: if the step raises any exception.
    """
    print(f"== {name}")
    try:
        yield
    except Exception as exc:
        raise StepFailed(f"step failed: {name}: {exc!r}") from exc


def chat_body(question: str, stream: bool) -> dict:
    """Return the body of a chat request with a long shared prompt and a question."""
    return {
        "model": "lookup",
        "stream": stream,
        "stream_options": {"include_usage": True},
        "max_tokens": 8,
        "messages": [
            {"role": "system", "content": SHARED_PROMPT},
            {"role": "user", "content": question},
        ],
    }


def send_streamed(cluster: Cluster, node: str, question: str) -> dict:
    """Send a streamed chat, print the generated text and return the token usage.

    :raises StepFailed: if the response is not a complete success.
    """
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
    texts = [
        chunk["choices"][0]["delta"].get("content", "") for chunk in chunks if chunk["choices"]
    ]
    print(f"   {node} streamed:{''.join(texts)}")
    return chunks[-1]["usage"]


def send_plain(cluster: Cluster, node: str, question: str) -> dict:
    """Send a plain chat, print the generated text and return the token usage.

    :raises StepFailed: if the response is not a complete success.
    """
    body = chat_body(question, False)
    body.pop("stream_options")
    url = f"http://{cluster.caller_address(node)}/v1/chat/completions"
    response = cluster.http.request("POST", url, json=body, headers=_HEADERS)
    if response.status != 200:
        raise StepFailed(f"status {response.status}: {response.data!r}")
    document = response.json()
    print(f"   {node} answered:{document['choices'][0]['message']['content']}")
    return document["usage"]


def print_usage(cluster: Cluster, usage: dict) -> None:
    """Print which engine served the latest request and how many prompt tokens were cached."""
    latest_run = cluster.runs("finished")[-1]
    engine = next(
        engine["name"]
        for engine in cluster.status("node-1")["engines"]
        if engine["incarnation"] == latest_run["incarnation"]
    )
    cached = usage["prompt_tokens_details"]["cached_tokens"]
    print(f"   served by {engine}; {cached} of {usage['prompt_tokens']} prompt tokens cached")


def run_steps(cluster: Cluster) -> None:
    """Run the steps of the demo.

    :raises StepFailed: if a step fails.
    """
    with step(
        "start stand-ins (key-value, machine list, weight store, 2 engines in 2 zones), 2 nodes"
    ):
        cluster.start()
    with step("apply the declarations of examples/thibodeau"):
        print(cluster.apply("node-1", "examples/thibodeau").rstrip())
    with step("nodes find the engines"):
        cluster.wait_engines(2)
    with step("a streamed chat completion on a long log"):
        print_usage(cluster, send_streamed(cluster, "node-1", "Is there a ring?"))
    with step("a plain one on the same log, through the other node: its prefix is cached"):
        usage = send_plain(cluster, "node-2", "Is there a scarf?")
        print_usage(cluster, usage)
        if usage["prompt_tokens_details"]["cached_tokens"] == 0:
            raise StepFailed("no prompt tokens of the second request were cached")
    with step("status"):
        print(cluster.command("status", "--node", cluster.operator_address("node-2")).rstrip())


def main() -> int:
    """Run the demo and return the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(
            pathlib.Path(directory),
            [EngineSpec("engine-1", "worcester"), EngineSpec("engine-2", "providence")],
            [NodeSpec("node-1", "worcester"), NodeSpec("node-2", "providence")],
        )
        try:
            run_steps(cluster)
        except StepFailed as exc:
            print(exc, file=sys.stderr)
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
