"""The judge of a randomised run of forwarding nodes: what callers, workers and store saw.

Promises with a bound in time hold for nodes in touch alone. A node is in touch while, for the
whole contact time, nothing struck its process or its links, the store served it, and the
store as a whole was not disrupted. That the store turns another node away excuses nobody, and
neither does lost history, which the store says in an orderly answer.
"""

import re
from collections import Counter

from bench.forwarding_record import Call, Disruption, Leaving, Part, Record

EVENTS = 6
"""Events of each whole stream."""

CONTACT_SECONDS = 3.0
"""A disruption counts until so long after its end."""

DRAIN_SECONDS = 2.0
"""A worker gets nothing later than this after its leaving was acknowledged."""

VERSION_SECONDS = 4.0
"""No request begins on replaced weights later than this after newer ones were named."""

ROUTE_SECONDS = 5.0
"""After so long a route's time is over, and what a caller waits for may end."""

NOT_RUN = frozenset({408, 421, 429, 503})


class Judge:
    """Reads a record and writes broken promises to its ``violations``.

    :ivar judged: how much fell under the promises with a bound in time, by kind.
    """

    def __init__(self, record: Record):
        self._record = record
        self.judged: Counter[str] = Counter()

    def judge_all(self) -> None:
        """Judge everything that needs the whole record."""
        self.judge_runs()
        self.judge_silence()
        self.judge_orders()
        self.judge_drain()
        self.judge_weights()
        self.judge_planned_stops()
        self.judged["calls"] = len(self._record.calls)
        self.judged["calls at nodes in touch"] = sum(
            self.in_touch(one.node, one.sent_at) for one in self._record.calls
        )

    def _broken(self, text: str) -> None:
        self._record.violations.append(text)

    # Answers and runs

    def judge_answer(self, call: Call) -> None:
        """Judge what the caller got, as soon as it is there."""
        if call.status != 200 or not call.complete:
            return
        if call.path.startswith(("/plain", "/safe")):
            if call.request_id.encode() not in call.body:
                self._broken(f"{call.request_id}: another's answer {call.body[:60]!r}")
            return
        numbers = [int(one) for one in re.findall(rb"^id: ?(\d+)", call.body, re.M)]
        if numbers != list(range(numbers[0] if numbers else 0, EVENTS + (numbers or [0])[0])):
            self._broken(f"{call.request_id}: events {numbers} called complete")

    def judge_runs(self) -> None:
        """Judge what ran how often, with which key, and what its caller was told."""
        runs = Counter(
            run.request_id for worker in self._record.workers.values() for run in worker.runs
        )
        deadline_of = {one.key: one.deadline for one in self._record.revoked}
        for call in self._record.calls:
            count = runs[call.request_id]
            if call.path.startswith(("/plain", "/stream")) and count > 1:
                self._broken(f"{call.request_id} on {call.path} ran {count} times")
            if call.status in NOT_RUN and count and not call.path.startswith("/safe"):
                self._broken(f"{call.request_id} ran and was answered {call.status}")
            if count and call.sent_at > deadline_of.get(call.key, float("inf")):
                self._broken(f"{call.request_id} ran with a revoked key")
        sent = {call.request_id for call in self._record.calls}
        for request_id in runs:
            if request_id not in sent:
                self._broken(f"{request_id!r} ran and nobody sent it")

    def judge_silence(self) -> None:
        """No call ends without an answer at a node that nothing had struck."""
        for call in self._record.calls:
            if call.status == 0 and not self._was_struck(call):
                self._broken(
                    f"{call.request_id} ended in silence at {call.node}, sent at "
                    f"{self._record.seconds(call.sent_at):.3f} s, after "
                    f"{call.ended_at - call.sent_at:.3f} s: {call.error}"
                )

    def _was_struck(self, call: Call) -> bool:
        return any(
            one.node == call.node and one.began_at < call.ended_at and call.sent_at < one.ended_at
            for one in self._record.strikes
        )

    def judge_orders(self) -> None:
        """Orders come in turn, and one token has one holder."""
        holders: dict[int, str] = {}
        for name, worker in self._record.workers.items():
            fences = [order["fence"] for order in worker.orders]
            if fences != sorted(fences):
                self._broken(f"{name} took orders out of turn: {fences}")
            for order in worker.orders:
                if holders.setdefault(order["fence"], order["holder"]) != order["holder"]:
                    self._broken(f"two holders with token {order['fence']}")

    # Bounds in time

    def _struck(self, since: float, until: float, part: Part, name: str = "") -> bool:
        return any(
            one.part is part and (not name or one.name == name) and one.touches(since, until)
            for one in self._record.disruptions
        )

    def _is_stable(self, moment: float) -> bool:
        """Whether the store has gone without disruption for the contact time."""
        return not self._struck(moment - CONTACT_SECONDS, moment, Part.CORE)

    def in_touch(self, node: str, moment: float) -> bool:
        """Whether a node has gone without disruption for the contact time, and the store too."""
        since = moment - CONTACT_SECONDS
        struck = self._struck(since, moment, Part.NODE, node)
        return self._is_stable(moment) and not struck

    def judge_drain(self) -> None:
        """Nothing reaches a worker later than the drain time after it left."""
        calls = {call.request_id: call for call in self._record.calls}
        for leaving in self._record.leavings:
            if self._is_stable(leaving.acknowledged_at):
                self.judged["leavings"] += 1
                self._judge_leaving(leaving, calls)

    def _judge_leaving(self, leaving: Leaving, calls: dict[str, Call]) -> None:
        late_at = leaving.acknowledged_at + DRAIN_SECONDS
        for request_id, at in self._record.workers[leaving.worker].arrivals:
            call = calls.get(request_id)
            if call is None or not late_at < at < leaving.returned_at:
                continue
            held_up = self._struck(at - CONTACT_SECONDS, at, Part.LINK, leaving.worker)
            if held_up or not self.in_touch(call.node, call.sent_at):
                continue
            if self.in_touch(call.node, at):
                self._broken(
                    f"DRAIN {request_id} reached {leaving.worker} through {call.node} at "
                    f"{self._record.seconds(at)} s, {at - leaving.acknowledged_at:.3f} s after "
                    "its leaving was acknowledged"
                )

    def judge_weights(self) -> None:
        """Nothing begins on replaced weights later than the bound after newer ones were named."""
        calls = {call.request_id: call for call in self._record.calls}
        for worker in self._record.workers.values():
            if not worker.model:
                continue
            for run in worker.runs:
                call = calls.get(run.request_id)
                late = self._seconds_replaced(run.version, run.began_at) - VERSION_SECONDS
                if call and late > 0 and self.in_touch(call.node, run.began_at):
                    self._broken(
                        f"VERSION {run.request_id} began on {run.version} at {worker.id} through "
                        f"{call.node} at {self._record.seconds(run.began_at)} s, {late:.3f} s "
                        "after the bound"
                    )

    def _seconds_replaced(self, version: int, moment: float) -> float:
        """Return for how long a version has been replaced, in one stretch without disruption."""
        newer = [
            one.acknowledged_at
            for one in self._record.namings
            if one.version > version and one.acknowledged_at <= moment
        ]
        if not newer:
            return 0.0
        begins = min(newer)
        for one in self._record.disruptions:
            if one.began_at > moment:
                continue
            if one.part is Part.CORE:
                begins = max(begins, one.ended_at + CONTACT_SECONDS)
            elif one.part is Part.LINK:
                begins = max(begins, one.ended_at)
        return moment - begins

    # Planned stops

    def judge_planned_stops(self) -> None:
        """A planned stop ends no request that has been passed on to a worker."""
        ran_at: dict[str, set[str]] = {}
        for name, worker in self._record.workers.items():
            for run in worker.runs:
                ran_at.setdefault(run.request_id, set()).add(name)
        stops = [one for one in self._record.disruptions if one.part is Part.NODE and one.planned]
        for call in self._record.calls:
            if call.request_id not in ran_at or self._is_excused(call, ran_at):
                continue
            if not any(self._stops_during(one, call) for one in stops):
                continue
            self.judged["runs beside planned stops"] += 1
            if call.status == 0 or not call.complete:
                workers = ", ".join(sorted(ran_at[call.request_id]))
                self._broken(
                    f"LOST {call.request_id} had run at {workers} when the planned stop of "
                    f"{call.node} ended it at {self._record.seconds(call.ended_at)} s: {call.error}"
                )

    def _stops_during(self, stop: Disruption, call: Call) -> bool:
        return stop.name == call.node and stop.touches(call.sent_at, call.ended_at)

    def _is_excused(self, call: Call, ran_at: dict[str, set[str]]) -> bool:
        since, until = call.sent_at - CONTACT_SECONDS, call.ended_at
        if until - call.sent_at > ROUTE_SECONDS:
            return True
        workers = ran_at[call.request_id]
        return any(
            one.touches(since, until)
            and not one.planned
            and (
                one.part is Part.CORE
                or (one.part is Part.NODE and one.name == call.node)
                or (one.part in (Part.LINK, Part.WORKER) and one.name in {call.node, *workers})
            )
            for one in self._record.disruptions
        )
