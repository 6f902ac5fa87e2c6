"""Input and result of the selection of a worker."""

from dataclasses import dataclass
from typing import NamedTuple

from wheelslip.deployment import CachePlan, Incarnation, PromptPart, Worker, WorkerInfo
from wheelslip.routing.caches.holdings import Chain, chain_of
from wheelslip.streams.process_names import is_process_name


class PlacementQuery(NamedTuple):
    """Properties of a request that the selection of a worker depends on.

    :ivar service: service whose workers may take the request.
    :ivar stream_group: key under which long and short requests are counted, see
        :mod:`wheelslip.routing.separation`.
    :ivar cache_namespace: separates the cached state of isolated tenants.
    :ivar pause_seconds: longest pause between events of the response that the caller accepts.
    :ivar patience_seconds: time left until the caller gives up if the response has not begun;
        negative afterwards.
    :ivar priority: 0 is the most urgent.
    :ivar zone: zone of the node that received the request.
    :ivar connected: workers to which that node has an idle connection.
    :ivar excluded: workers that must not be selected.
    :ivar sent_before: the request was sent to a worker before, so admission control admits it.
    :ivar tenant: tenant whose limit the request is charged to; empty without a limit.
    :ivar limit_units: units to charge; 0 when they were charged before.
    :ivar software_version: only workers of this version, or the worker whose process is named here,
        may be selected; empty for any.
    :ivar must_start_soon: only a worker that can start the request soon may be selected.
    """

    service: str
    stream_group: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    cache_namespace: str = ""
    pause_seconds: float = 0.5
    patience_seconds: float = 10.0
    priority: int = 0
    zone: str = ""
    connected: frozenset[Incarnation] = frozenset()
    excluded: frozenset[Incarnation] = frozenset()
    sent_before: bool = False
    tenant: str = ""
    limit_units: float = 0.0
    must_start_soon: bool = False
    software_version: str = ""

    def allows(self, worker: WorkerInfo) -> bool:
        """Return whether a worker is not excluded and has the required software version."""
        if worker.id in self.excluded:
            return False
        if is_process_name(self.software_version):
            # All other workers are excluded by name.
            return True
        return self.software_version in ("", worker.software_version)

    @property
    def shared_part(self) -> PromptPart | None:
        """The last part that other requests may share: the one before the request's own part."""
        if not self.prompt:
            return None
        return self.prompt[-2] if len(self.prompt) > 1 else self.prompt[-1]

    def salt(self, version: int | None) -> str:
        """Return the cache salt of this prompt at workers with a version of the weights."""
        return f"{self.model}:{version}:{self.cache_namespace}"

    def chain(self, version: int | None) -> Chain:
        """Return the hash chain of the prompt at workers with a version of the weights."""
        parts = tuple((part.id, part.tokens) for part in self.prompt)
        return chain_of(self.salt(version), parts)


@dataclass(frozen=True)
class Placement:
    """A selected worker and the estimates that the selection is based on.

    :ivar prefill_tokens: prompt tokens that the worker is expected to compute.
    :ivar cached_tokens: length of the prefix estimated to be cached at the worker.
    :ivar held_tokens: KV cache tokens that the request needs until it ends.
    :ivar cache: where the worker fetches and saves KV cache; ``None`` without a model.
    :ivar fetched_tokens: tokens that are transferred to the worker before the prefill.
    :ivar uncached_keys: keys of the parts that the worker does not have cached yet.
    :ivar rate_limit_charged: the request was charged to the rate limit that the worker announces.
    :ivar priority: priority of the request, ``None`` for a request that was sent before this node
        knew of it, from which no speed is learned.
    """

    worker: Worker
    weights_version: int | None = None
    chain: Chain = ()
    prefill_tokens: int = 0
    cached_tokens: int = 0
    held_tokens: int = 0
    cache: CachePlan | None = None
    fetched_tokens: int = 0
    uncached_keys: tuple[int, ...] = ()
    rate_limit_charged: bool = False
    priority: int | None = None

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the parts that other requests may share."""
        return sum(tokens for _, tokens in self.chain[:-1])

    @property
    def shared_key(self) -> int | None:
        """Key of the last part that other requests may share."""
        if not self.chain:
            return None
        return self.chain[-2][0] if len(self.chain) > 1 else self.chain[-1][0]
