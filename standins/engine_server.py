"""Stand-in model engine: an OpenAI-compatible server over :class:`EngineModel`.

It supports priorities, cache salts, cached token counts, resumable event streams, abort,
tombstones and orders. Each step of a run and each order is appended to a run log, from which
tests determine which requests ran, how often, and which cached state they used.
"""

import json
import re
import threading
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field

import fire
import urllib3
import xxhash

from standins.engine_model import BlockOrigin, EngineModel, EngineProfile, Sequence
from wheelslip.http_service import (
    EVENT_STREAM_TYPE,
    HttpService,
    ServiceLimits,
    ServiceRequest,
    ServiceResponse,
    json_response,
)
from wheelslip.routing.caches.prefix import count_tokens, prefix_keys, render_chat

DEFAULT_OUTPUT_TOKENS = 16
FINISHED_STREAM_SECONDS = 120.0
"""Time for which the events of a finished run are retained for a resume."""

_GENERATED_TAIL = re.compile(r"( w\d+-[0-9a-f]{8})+$")
_POLL_SECONDS = 0.5


def token_text(base_prompt: str, index: int) -> str:
    """Return the text of output token ``index`` of a prompt.

    It contains a digest of the prompt, so that callers can verify that a response is theirs.
    """
    return f" w{index}-{xxhash.xxh32_hexdigest(base_prompt.encode())}"


@dataclass
class Run:
    """An accepted request and the events produced for it.

    :ivar base_prompt: prompt without output tokens that an earlier run generated.
    :ivar delivered_tokens: number of such output tokens at the end of the prompt.
    :ivar events: encoded events of the response stream.
    :ivar finished_at: monotonic time of the last token, or ``None`` while the run goes on.
    :ivar preconditions: incarnation and weights version that the request's headers require,
        each ``None`` without the header.
    """

    request_id: str
    model: str
    chat: bool
    base_prompt: str
    delivered_tokens: int
    sequence: Sequence
    events: list[bytes] = field(default_factory=list)
    finished_at: float | None = None
    cancelled: bool = False
    preconditions: tuple[str | None, str | None] = (None, None)


class EngineServer:
    """HTTP server of one engine.

    One thread advances the engine model; handler threads stream the events.

    :param run_log: path of the run log, or ``None`` to write none.
    :param weight_store: address of the weight store; without one a load takes ``load_seconds``.
    """

    def __init__(
        self,
        address: str,
        model: str,
        weights_version: str,
        run_log: str | None,
        profile: EngineProfile,
        weight_store: str = "",
        load_seconds: float = 0.6,
    ):
        self.incarnation = uuid.uuid4().hex[:12]
        self._model_name = model
        self._weights_version = weights_version
        self._run_log = run_log
        self._weight_store = weight_store
        self._load_seconds = load_seconds
        self._state = "serving"
        self._fencing_token = 0
        self._accepted_orders: list[dict] = []
        self._engine = EngineModel(profile)
        self._runs: dict[str, Run] = {}
        self._tombstones: set[str] = set()
        self._final_states: dict[str, str] = {}
        self._state_changed = threading.Condition()
        self._service = HttpService(
            "engine", address, self._handle, ServiceLimits(threads=200, timeout_seconds=30)
        )

    def serve(self) -> None:
        """Serve requests until the process is terminated."""
        self._service.start()
        while True:
            with self._state_changed:
                next_time = self._engine.next_time()
                wait = _POLL_SECONDS if next_time is None else next_time - time.monotonic()
                if wait > 0:
                    self._state_changed.wait(wait)
                self._step(time.monotonic())

    def _step(self, now: float) -> None:
        produced = self._engine.advance(now)
        for event in produced:
            run = self._runs[event.request_id]
            if not run.events:
                self._log_run(run, "started")
            run.events.extend(self._encode(run, event.index, event.finished))
            if event.finished:
                run.finished_at = now
                self._log_run(run, "finished")
        if produced:
            self._remove_expired_runs(now)
            self._state_changed.notify_all()

    def _remove_expired_runs(self, now: float) -> None:
        for request_id, run in list(self._runs.items()):
            if run.finished_at and now - run.finished_at > FINISHED_STREAM_SECONDS:
                del self._runs[request_id]
                self._final_states[request_id] = "finished"

    def _encode(self, run: Run, index: int, finished: bool) -> list[bytes]:
        events = [self._event(run, index + 1, self._chunk(run, index, None))]
        if finished:
            events.append(self._event(run, index + 2, self._chunk(run, None, "stop")))
            events.append(self._event(run, index + 3, self._usage(run)))
            events.append(f"id: {index + 4}\ndata: [DONE]\n\n".encode())
        return events

    def _event(self, run: Run, event_id: int, document: dict) -> bytes:
        prefix = "chatcmpl-" if run.chat else "cmpl-"
        object_type = "chat.completion.chunk" if run.chat else "text_completion"
        document = {"id": prefix + run.request_id, "object": object_type, "created": 0} | document
        document["model"] = run.model
        # Lets a load generator on the same machine measure the latency added by the router.
        document["emitted_at"] = time.monotonic()
        return f"id: {event_id}\ndata: {json.dumps(document)}\n\n".encode()

    def _chunk(self, run: Run, index: int | None, finish_reason: str | None) -> dict:
        text = ""
        if index is not None:
            text = token_text(run.base_prompt, run.delivered_tokens + index)
        if run.chat:
            delta = {"content": text} if text else {}
            if index == 0:
                delta["role"] = "assistant"
            choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        return {"choices": [choice]}

    def _usage(self, run: Run) -> dict:
        sequence = run.sequence
        return {
            "choices": [],
            "usage": {
                "prompt_tokens": sequence.prompt_tokens,
                "completion_tokens": sequence.emitted_tokens,
                "total_tokens": sequence.prompt_tokens + sequence.emitted_tokens,
                "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
            },
        }

    def _log_run(self, run: Run, step: str) -> None:
        if self._run_log is None:
            return
        sequence = run.sequence
        record = {
            "step": step,
            "request_id": run.request_id,
            "user": sequence.origin.user,
            "incarnation": self.incarnation,
            "weights_version": sequence.origin.weights_version,
            "model": run.model,
            "base_prompt_digest": xxhash.xxh32_hexdigest(run.base_prompt.encode()),
            "demanded": list(run.preconditions),
            "cached_tokens": sequence.cached_tokens,
            "cached_from": sorted(
                {(origin.user, origin.weights_version) for origin in sequence.cached_origins}
            ),
        }
        with open(self._run_log, "a") as log:
            log.write(json.dumps(record) + "\n")

    def _handle(self, request: ServiceRequest) -> ServiceResponse:
        routes = {
            "/v1/chat/completions": self._completions,
            "/v1/completions": self._completions,
            "/abort": self._abort,
            "/tombstone": self._tombstone,
            "/status": self._status,
            "/orders": self._order,
        }
        if request.path.startswith("/v1/streams/"):
            return self._resume(request)
        handler = routes.get(request.path)
        if handler is None:
            return json_response({"error": "no such path"}, 404)
        return handler(request)

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            "X-Request-Id": request_id,
            "X-Engine-Incarnation": self.incarnation,
            "X-Weights-Version": self._weights_version,
            "X-Engine-Waiting": str(self._engine.waiting_count),
            "X-Engine-Running": str(self._engine.running_count),
        }

    def _reject(self, status: int, reason: str, request_id: str) -> ServiceResponse:
        response = json_response({"error": reason}, status)
        response.headers.update(self._headers(request_id))
        return response

    def _completions(self, request: ServiceRequest) -> ServiceResponse:
        document = request.json_object()
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        with self._state_changed:
            rejection = self._check_request(request, document, request_id)
            if rejection is not None:
                return rejection
            headers = self._headers(request_id)
            run = self._new_run(document, request_id, request.path.endswith("chat/completions"))
            run.preconditions = (
                request.headers.get("x-engine-incarnation"),
                request.headers.get("x-weights-version"),
            )
            self._log_run(run, "accepted")
            self._runs[request_id] = run
            self._engine.submit(run.sequence, time.monotonic())
            self._state_changed.notify_all()
        return ServiceResponse(200, self._stream_events(run, 0), headers, EVENT_STREAM_TYPE)

    def _check_request(
        self, request: ServiceRequest, document: dict, request_id: str
    ) -> ServiceResponse | None:
        required_incarnation = request.headers.get("x-engine-incarnation", self.incarnation)
        required_version = request.headers.get("x-weights-version", self._weights_version)
        if required_incarnation != self.incarnation:
            return self._reject(412, "another incarnation", request_id)
        if required_version != self._weights_version:
            return self._reject(412, "another weights version", request_id)
        if request_id in self._tombstones:
            return self._reject(409, "tombstoned", request_id)
        if request_id in self._runs or request_id in self._final_states:
            return self._reject(409, "already started", request_id)
        if self._state != "serving":
            return self._reject(503, self._state, request_id)
        if document.get("model") != self._model_name:
            return self._reject(404, "unknown model", request_id)
        if not document.get("stream"):
            return self._reject(400, "stream: only true is served", request_id)
        return None

    def _new_run(self, document: dict, request_id: str, chat: bool) -> Run:
        prompt = render_chat(document["messages"]) if chat else str(document["prompt"])
        match = _GENERATED_TAIL.search(prompt)
        delivered = match.group(0).count(" ") if match else 0
        base_prompt = prompt[: match.start()] if match else prompt
        if chat and document.get("continue_final_message"):
            base_prompt = render_chat(document["messages"][:-1])
        output_tokens = int(document.get("max_tokens") or DEFAULT_OUTPUT_TOKENS)
        sequence = Sequence(
            request_id=request_id,
            block_keys=prefix_keys(str(document.get("cache_salt", "")), prompt),
            prompt_tokens=max(1, count_tokens(prompt)),
            output_tokens=output_tokens,
            origin=BlockOrigin(str(document.get("user", "")), self._weights_version),
            priority=int(document.get("priority", 0)),
        )
        return Run(request_id, document["model"], chat, base_prompt, delivered, sequence)

    def _stream_events(self, run: Run, position: int) -> Iterator[bytes]:
        # An empty comment makes the server send the headers before the first token is computed.
        yield b":\n\n"
        while True:
            with self._state_changed:
                while len(run.events) <= position and not run.cancelled:
                    self._state_changed.wait(_POLL_SECONDS)
                pending = run.events[position:]
                has_ended = run.cancelled or run.finished_at is not None
            if pending:
                yield b"".join(pending)
            position += len(pending)
            if has_ended:
                return

    def _resume(self, request: ServiceRequest) -> ServiceResponse:
        request_id = request.path.rsplit("/", 1)[-1]
        with self._state_changed:
            run = self._runs.get(request_id)
            if request_id in self._final_states:
                return self._reject(410, self._final_states[request_id], request_id)
            if run is None:
                return self._reject(404, "never seen", request_id)
            headers = self._headers(request_id)
        last_event_id = int(request.headers.get("last-event-id", 0))
        return ServiceResponse(
            200, self._stream_events(run, last_event_id), headers, EVENT_STREAM_TYPE
        )

    def _abort(self, request: ServiceRequest) -> ServiceResponse:
        request_id = str(request.json_object().get("request_id"))
        with self._state_changed:
            run = self._runs.get(request_id)
            if run is not None and run.finished_at is None:
                run.cancelled = True
                self._engine.cancel(request_id)
                self._log_run(run, "aborted")
                del self._runs[request_id]
                self._final_states[request_id] = "aborted"
            elif run is None and request_id not in self._final_states:
                self._tombstones.add(request_id)
            self._state_changed.notify_all()
        return json_response({"aborted": run is not None}, **self._headers(request_id))

    def _tombstone(self, request: ServiceRequest) -> ServiceResponse:
        request_id = str(request.json_object().get("request_id"))
        with self._state_changed:
            run = self._runs.get(request_id)
            if request_id in self._final_states:
                state = self._final_states[request_id]
            elif run is None:
                # A later request with this id is rejected, so that "never_seen" remains true.
                was_tombstoned = request_id in self._tombstones
                self._tombstones.add(request_id)
                state = "tombstoned" if was_tombstoned else "never_seen"
            else:
                state = "running" if run.finished_at is None else "finished"
        return json_response({"state": state}, **self._headers(request_id))

    def _status(self, request: ServiceRequest) -> ServiceResponse:
        with self._state_changed:
            return json_response(
                {
                    "incarnation": self.incarnation,
                    "model": self._model_name,
                    "weights_version": self._weights_version,
                    "state": self._state,
                    "running": self._engine.running_count,
                    "waiting": self._engine.waiting_count,
                    "cached_blocks": len(self._engine.cache),
                }
            )

    def _order(self, request: ServiceRequest) -> ServiceResponse:
        order = request.json_object()
        with self._state_changed:
            token = int(order["fencing_token"])
            if token < self._fencing_token:
                return json_response(
                    {"error": "lower fencing token", "highest": self._fencing_token}, 409
                )
            self._fencing_token = token
            self._accepted_orders.append(order)
            self._log_order(order)
            states = {"drain": "draining", "hold": "held", "serve": "serving"}
            self._state = states.get(order["action"], self._state)
            if order["action"] == "swap_weights":
                # Some engines replace their weights while they continue to serve.
                self._weights_version = str(order["weights_version"])
            if order["action"] == "load_weights":
                self._begin_load(str(order["weights_version"]))
        return json_response({"taken": order["action"]})

    def _begin_load(self, version: str) -> None:
        previous_state, self._state = self._state, "loading"
        thread = threading.Thread(target=self._load, args=(version, previous_state), daemon=True)
        thread.start()

    def _load(self, version: str, final_state: str) -> None:
        if self._weight_store:
            load = {"engine": self.incarnation, "version": version}
            url = f"http://{self._weight_store}/load"
            urllib3.request("POST", url, json=load, timeout=60)
        else:
            time.sleep(self._load_seconds)
        with self._state_changed:
            # As in real engines, a load does not clear the prefix cache. Only the cache salt
            # prevents the use of state computed with earlier weights.
            self._weights_version = version
            self._state = final_state
            self._state_changed.notify_all()

    def _log_order(self, order: dict) -> None:
        if self._run_log is not None:
            record = {"step": "order", "incarnation": self.incarnation} | order
            with open(self._run_log, "a") as log:
                log.write(json.dumps(record) + "\n")


def main(
    address: str,
    model: str,
    weights_version: str = "v1",
    run_log: str | None = None,
    prefill_tokens_per_second: float = 8000.0,
    step_seconds: float = 0.02,
    cache_blocks: int = 4000,
    idle_eviction_seconds: float = 8.0,
    max_batch: int = 64,
    weight_store: str = "",
) -> None:
    """Run one stand-in engine until the process is terminated."""
    profile = EngineProfile(
        prefill_tokens_per_second=prefill_tokens_per_second,
        step_seconds=step_seconds,
        cache_blocks=cache_blocks,
        idle_eviction_seconds=idle_eviction_seconds,
        max_batch=max_batch,
    )
    EngineServer(address, model, str(weights_version), run_log, profile, weight_store).serve()


if __name__ == "__main__":
    fire.Fire(main)
