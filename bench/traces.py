"""Generate, read and write request traces in the Mooncake format with additional fields.

A trace has one JSON object per line: ``timestamp`` (ms), ``input_length`` and ``output_length``
(tokens) and ``hash_ids`` (one per 512 prompt tokens; equal ids mean equal prefixes). The
additional fields are ``tenant``, ``workload``, ``class``, ``deadline_seconds`` and ``repeatable``.
"""

import json
import pathlib
import random
from collections.abc import Iterator

import fire
import msgspec

from wheelslip.routing.model import ServiceClass

TRACE_BLOCK_TOKENS = 512
TRACES = pathlib.Path(__file__).resolve().parent.parent / "traces"


class TraceRequest(msgspec.Struct, frozen=True):
    """Request of a trace, encoded as one line."""

    timestamp: int
    input_length: int
    output_length: int
    hash_ids: list[int]
    tenant: str
    workload: str
    service_class: ServiceClass = msgspec.field(name="class")
    deadline_seconds: float
    repeatable: bool


class _HashIdAllocator:
    """Allocator of hash ids: prompts that begin with the same named parts share ids."""

    def __init__(self):
        self._ids: dict[tuple, int] = {}

    def ids(self, *parts: tuple[str, int]) -> tuple[list[int], int]:
        """Return the hash ids and the token count of a prompt.

        :param parts: name and token count of each consecutive part of the prompt.
        """
        ids, path, tokens = [], (), 0
        for name, part_tokens in parts:
            path = (*path, name)
            tokens += part_tokens
            for position in range(len(ids), tokens // TRACE_BLOCK_TOKENS):
                ids.append(self._ids.setdefault((*path, position), len(self._ids) + 1))
        return ids, tokens


def thibodeau_burst(seed: int, seconds: float = 60.0, scale: float = 1.0) -> list[TraceRequest]:
    """Generate short questions about long item logs, with a burst that concentrates on one log.

    The burst moves to a second log while it lasts.

    :param seconds: duration of the trace.
    :param scale: factor applied to the arrival rate.
    """
    random_source = random.Random(seed)
    allocator = _HashIdAllocator()
    logs = [(f"log-{n}", random_source.randrange(8_000, 26_000)) for n in range(14)]
    tenants = [f"tenant-{n}" for n in range(8)]
    requests = []
    for arrival in _arrivals(
        random_source, seconds, lambda time: scale * _burst_rate(time, seconds)
    ):
        hot_index = 0 if arrival < seconds * 0.6 else 1
        in_burst = seconds * 0.3 < arrival < seconds * 0.85
        log = (
            logs[hot_index]
            if in_burst and random_source.random() < 0.85
            else _zipf(random_source, logs)
        )
        # Each log belongs to one tenant.
        tenant = tenants[min(7, int(log[0].split("-")[1]) // 2)]
        workload_draw = random_source.random()
        question = (f"question-{len(requests)}", random_source.randrange(40, 200))
        if workload_draw < 0.03:
            fields = (
                "notice",
                ServiceClass.INTERACTIVE,
                10.0,
                False,
                random_source.randrange(20, 60),
            )
        elif workload_draw < 0.08:
            fields = (
                "log-review",
                ServiceClass.PATIENT,
                120.0,
                True,
                random_source.randrange(100, 200),
            )
        else:
            fields = (
                "lookup",
                ServiceClass.INTERACTIVE,
                5.0,
                True,
                random_source.randrange(20, 60),
            )
        requests.append(_trace_request(allocator, arrival, tenant, [log, question], fields))
    return requests


def tbilisi_audit(seed: int, seconds: float = 90.0, scale: float = 1.0) -> list[TraceRequest]:
    """Generate datasheet bundles with nested shared prefixes, and questions that share them.

    :param seconds: duration of the trace.
    :param scale: factor applied to the arrival rate.
    """
    random_source = random.Random(seed)
    allocator = _HashIdAllocator()
    families = [f"family-{n}" for n in range(5)]
    requests = []
    for arrival in _arrivals(random_source, seconds, lambda time: scale * 7.0):
        family = _zipf(random_source, families)
        spec = f"{family}-spec-{_zipf(random_source, list(range(4)))}"
        alloy = f"{spec}-alloy-{random_source.randrange(6)}"
        tenant = f"tenant-{families.index(family)}"
        shared_parts = [(family, 4_096), (spec, 6_144)]
        tail = (f"tail-{len(requests)}", random_source.randrange(300, 1500))
        workload_draw = random_source.random()
        if workload_draw < 0.5:
            parts = [*shared_parts, (alloy, 8_192), tail]
            fields = ("bundle", ServiceClass.PATIENT, 300.0, True, random_source.randrange(4, 20))
        elif workload_draw < 0.8:
            parts = [*shared_parts, tail]
            fields = (
                "method-question",
                ServiceClass.INTERACTIVE,
                10.0,
                True,
                random_source.randrange(40, 120),
            )
        elif workload_draw < 0.93:
            parts = [*shared_parts, (alloy, 8_192), tail]
            fields = (
                "property-sheet",
                ServiceClass.INTERACTIVE,
                30.0,
                True,
                random_source.randrange(60, 150),
            )
        else:
            parts = [*shared_parts, (alloy, 8_192), tail]
            fields = (
                "certificate",
                ServiceClass.PATIENT,
                120.0,
                False,
                random_source.randrange(60, 120),
            )
        requests.append(_trace_request(allocator, arrival, tenant, parts, fields))
    return requests


GENERATORS = {"thibodeau-burst": thibodeau_burst, "tbilisi-audit": tbilisi_audit}


def read_trace(path: pathlib.Path) -> list[TraceRequest]:
    """Read a trace file.

    :raises msgspec.ValidationError: if a line has a missing or invalid field.
    """
    decoder = msgspec.json.Decoder(TraceRequest)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


def write_trace(path: pathlib.Path, requests: list[TraceRequest]) -> None:
    """Write a trace file."""
    path.write_bytes(b"\n".join(msgspec.json.encode(request) for request in requests) + b"\n")


def _trace_request(
    allocator: _HashIdAllocator,
    arrival: float,
    tenant: str,
    parts: list[tuple[str, int]],
    fields: tuple,
) -> TraceRequest:
    workload, service_class, deadline, repeatable, output = fields
    ids, tokens = allocator.ids(*parts)
    return TraceRequest(
        int(arrival * 1000),
        tokens,
        output,
        ids,
        tenant,
        workload,
        service_class,
        deadline,
        repeatable,
    )


def _arrivals(random_source: random.Random, seconds: float, rate) -> Iterator[float]:
    """Yield arrival times of a Poisson process with a time-dependent rate, by thinning.

    :param rate: function from the time in seconds to arrivals per second.
    """
    max_rate = max(rate(seconds * n / 200) for n in range(200))
    arrival = 0.0
    while True:
        arrival += random_source.expovariate(max_rate)
        if arrival >= seconds:
            return
        if random_source.random() * max_rate < rate(arrival):
            yield arrival


def _burst_rate(arrival: float, seconds: float) -> float:
    return 45.0 if seconds * 0.3 < arrival < seconds * 0.85 else 4.0


def _zipf(random_source: random.Random, choices: list):
    weights = [1 / (rank + 1) for rank in range(len(choices))]
    return random_source.choices(choices, weights)[0]


def main(seed: int = 1) -> None:
    """Write the small traces kept in ``traces/`` and print their request counts."""
    TRACES.mkdir(exist_ok=True)
    write_trace(TRACES / "thibodeau-burst.jsonl", thibodeau_burst(seed, 30.0))
    write_trace(TRACES / "tbilisi-audit.jsonl", tbilisi_audit(seed, 45.0))
    print(json.dumps({path.name: len(read_trace(path)) for path in TRACES.glob("*.jsonl")}))


if __name__ == "__main__":
    fire.Fire(main)
