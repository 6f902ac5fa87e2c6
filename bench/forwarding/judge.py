"""Checks of the guarantees in a randomised run of forwarding nodes.

Guarantees with a deadline are checked for undisrupted nodes only. A node is undisrupted while
neither the node (its process, its links and its access to the store) nor the store as a whole has
been disrupted within the contact time. A store that rejects other nodes or compacts its history
exempts no node.
"""

import re
from collections import Counter

from bench.forwarding.record import Call, Component, Departure, Disruption, Record

STREAM_EVENTS = 6
"""Number of events of a complete stream."""

CONTACT_SECONDS = 3.0
"""Time after the end of a disruption for which a node remains exempt from guarantees."""

DRAIN_SECONDS = 2.0
"""Time after a worker's withdrawal within which requests may still reach it."""

WEIGHTS_DEADLINE_SECONDS = 4.0
"""Time after a newer weights version is desired within which requests may start on older ones."""

ROUTE_TIMEOUT_SECONDS = 5.0
"""Duration of a call from which it may end by the timeout of its route."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Response statuses that imply that no worker ran the request."""


class RunChecker:
    """Checks a record and adds broken guarantees to its ``violations``.

    :ivar checked: number of checked cases by kind.
    """

    def __init__(self, record: Record):
        self._record = record
        self.checked: Counter[str] = Counter()

    def check_all(self) -> None:
        """Run all checks that need the complete record."""
        self.check_runs()
        self.check_unanswered_calls()
        self.check_orders()
        self.check_departures()
        self.check_weights()
        self.check_planned_stops()
        self.checked["calls"] = len(self._record.calls)
        self.checked["calls at nodes in touch"] = sum(
            self.was_undisrupted(call.node, call.sent_at) for call in self._record.calls
        )

    def _add_violation(self, text: str) -> None:
        self._record.violations.append(text)

    def check_response(self, call: Call) -> None:
        """Check that a complete response belongs to its request and lacks no stream event."""
        if call.status != 200 or not call.complete:
            return
        if call.path.startswith(("/plain", "/safe")):
            if call.request_id.encode() not in call.body:
                self._add_violation(f"{call.request_id}: another's answer {call.body[:60]!r}")
            return
        numbers = [int(number) for number in re.findall(rb"^id: ?(\d+)", call.body, re.M)]
        first = numbers[0] if numbers else 0
        expected = list(range(first, STREAM_EVENTS + first))
        if numbers == expected:
            return
        may_look_complete = numbers and self._broke_off_without_framing(call.request_id)
        if not may_look_complete or numbers != expected[: len(numbers)]:
            self._add_violation(f"{call.request_id}: events {numbers} called complete")

    def _broke_off_without_framing(self, request_id: str) -> bool:
        """Return whether the last run of a request broke off while it sent a response without a
        length or chunks, so that nodes cannot tell the end."""
        runs = [
            run
            for worker in self._record.workers.values()
            for run in worker.runs
            if run.request_id == request_id
        ]
        last = max(runs, key=lambda run: run.began_at, default=None)
        return last is not None and last.unframed and (last.closed_early or not last.ended)

    def check_runs(self) -> None:
        """Check how often requests ran, with which API key, and whether their status allows it."""
        runs = Counter(
            run.request_id for worker in self._record.workers.values() for run in worker.runs
        )
        deadline_of = {
            revocation.key: revocation.deadline for revocation in self._record.revocations
        }
        for call in self._record.calls:
            count = runs[call.request_id]
            if call.path.startswith(("/plain", "/stream")) and count > 1:
                self._add_violation(f"{call.request_id} on {call.path} ran {count} times")
            if call.status in NOT_RUN_STATUSES and count and not call.path.startswith("/safe"):
                self._add_violation(f"{call.request_id} ran and was answered {call.status}")
            if count and call.sent_at > deadline_of.get(call.key, float("inf")):
                self._add_violation(f"{call.request_id} ran with a revoked key")
        sent = {call.request_id for call in self._record.calls} | set(self._record.other_streams)
        for request_id in runs:
            if request_id not in sent:
                self._add_violation(f"{request_id!r} ran and nobody sent it")

    def check_unanswered_calls(self) -> None:
        """Check that calls are unanswered only during outages of their node."""
        for call in self._record.calls:
            if call.status == 0 and not self.had_outage(call):
                self._add_violation(
                    f"{call.request_id} ended in silence at {call.node}, sent at "
                    f"{self._record.seconds(call.sent_at):.3f} s, after "
                    f"{call.ended_at - call.sent_at:.3f} s: {call.error}"
                )

    def had_outage(self, call: Call) -> bool:
        """Whether an outage of its node overlaps a call."""
        return any(
            outage.node == call.node
            and outage.began_at < call.ended_at
            and call.sent_at < outage.ended_at
            for outage in self._record.node_outages
        )

    def check_orders(self) -> None:
        """Check that fencing tokens of orders never decrease and each has a single holder."""
        holders: dict[int, str] = {}
        for name, worker in self._record.workers.items():
            fences = [order["fence"] for order in worker.orders]
            if fences != sorted(fences):
                self._add_violation(f"{name} took orders out of turn: {fences}")
            for order in worker.orders:
                if holders.setdefault(order["fence"], order["holder"]) != order["holder"]:
                    self._add_violation(f"two holders with token {order['fence']}")

    def _was_disrupted(
        self, since: float, until: float, component: Component, name: str = ""
    ) -> bool:
        return any(
            disruption.component is component
            and (not name or disruption.name == name)
            and disruption.overlaps(since, until)
            for disruption in self._record.disruptions
        )

    def _store_was_undisrupted(self, moment: float) -> bool:
        """Whether the store has not been disrupted within the contact time."""
        return not self._was_disrupted(moment - CONTACT_SECONDS, moment, Component.CORE)

    def was_undisrupted(self, node: str, moment: float) -> bool:
        """Whether neither a node nor the store has been disrupted within the contact time."""
        since = moment - CONTACT_SECONDS
        was_node_disrupted = self._was_disrupted(since, moment, Component.NODE, node)
        return self._store_was_undisrupted(moment) and not was_node_disrupted

    def check_departures(self) -> None:
        """Check that no request reaches a worker after the drain time since its withdrawal."""
        calls = {call.request_id: call for call in self._record.calls}
        for departure in self._record.departures:
            if self._store_was_undisrupted(departure.acknowledged_at):
                self.checked["leavings"] += 1
                self._check_departure(departure, calls)

    def _check_departure(self, departure: Departure, calls: dict[str, Call]) -> None:
        deadline = departure.acknowledged_at + DRAIN_SECONDS
        for request_id, arrived_at in self._record.workers[departure.worker].arrivals:
            call = calls.get(request_id)
            if call is None or not deadline < arrived_at < departure.returned_at:
                continue
            is_link_disrupted = self._was_disrupted(
                arrived_at - CONTACT_SECONDS, arrived_at, Component.LINK, departure.worker
            )
            if is_link_disrupted or not self.was_undisrupted(call.node, call.sent_at):
                continue
            if self.was_undisrupted(call.node, arrived_at):
                self._add_violation(
                    f"DRAIN {request_id} reached {departure.worker} through {call.node} at "
                    f"{self._record.seconds(arrived_at)} s, "
                    f"{arrived_at - departure.acknowledged_at:.3f} s after "
                    "its leaving was acknowledged"
                )

    def check_weights(self) -> None:
        """Check that no request starts on replaced weights after the deadline."""
        calls = {call.request_id: call for call in self._record.calls}
        for worker in self._record.workers.values():
            if not worker.model:
                continue
            for run in worker.runs:
                call = calls.get(run.request_id)
                late = (
                    self._seconds_since_replaced(run.version, run.began_at)
                    - WEIGHTS_DEADLINE_SECONDS
                )
                if call and late > 0 and self.was_undisrupted(call.node, run.began_at):
                    self._add_violation(
                        f"VERSION {run.request_id} began on {run.version} at {worker.id} through "
                        f"{call.node} at {self._record.seconds(run.began_at)} s, {late:.3f} s "
                        "after the bound"
                    )

    def _seconds_since_replaced(self, version: int, moment: float) -> float:
        """Return the seconds since a weights version was replaced and the last disruption ended.

        Only disruptions of the store and of links count, the former with the contact time added.

        :return: 0 when no newer version was desired at ``moment``.
        """
        newer = [
            desired.acknowledged_at
            for desired in self._record.desired_versions
            if desired.version > version and desired.acknowledged_at <= moment
        ]
        if not newer:
            return 0.0
        replaced_at = min(newer)
        for disruption in self._record.disruptions:
            if disruption.began_at > moment:
                continue
            if disruption.component is Component.CORE:
                replaced_at = max(replaced_at, disruption.ended_at + CONTACT_SECONDS)
            elif disruption.component is Component.LINK:
                replaced_at = max(replaced_at, disruption.ended_at)
        return moment - replaced_at

    def check_planned_stops(self) -> None:
        """Check that calls whose request reached a worker complete during a planned stop."""
        workers_by_request: dict[str, set[str]] = {}
        for name, worker in self._record.workers.items():
            for run in worker.runs:
                workers_by_request.setdefault(run.request_id, set()).add(name)
        stops = [
            disruption
            for disruption in self._record.disruptions
            if disruption.component is Component.NODE and disruption.planned
        ]
        for call in self._record.calls:
            if call.request_id not in workers_by_request or self._is_exempt(
                call, workers_by_request
            ):
                continue
            if not any(self._stops_during(stop, call) for stop in stops):
                continue
            self.checked["runs beside planned stops"] += 1
            if call.status == 0 or not call.complete:
                workers = ", ".join(sorted(workers_by_request[call.request_id]))
                self._add_violation(
                    f"LOST {call.request_id} had run at {workers} when the planned stop of "
                    f"{call.node} ended it at {self._record.seconds(call.ended_at)} s: {call.error}"
                )

    def _stops_during(self, stop: Disruption, call: Call) -> bool:
        return stop.name == call.node and stop.overlaps(call.sent_at, call.ended_at)

    def _was_exchange_cut(self, call: Call) -> bool:
        """Whether the paths of its node were cut while a call ran at a worker.

        A run that began during a cut was tunneled, so it is not exempt.
        """
        began_at = [
            run.began_at
            for worker in self._record.workers.values()
            for run in worker.runs
            if run.request_id == call.request_id
        ]
        cuts = [cut for cut in self._record.path_cuts if cut.node == call.node]
        return any(
            cut.ends_exchanges
            and began <= cut.began_at <= call.ended_at
            and not any(other.began_at < began < other.ended_at for other in cuts)
            for cut in cuts
            for began in began_at
        )

    def _is_exempt(self, call: Call, workers_by_request: dict[str, set[str]]) -> bool:
        """Whether the timeout of its route or an unplanned disruption may have ended a call."""
        since, until = call.sent_at - CONTACT_SECONDS, call.ended_at
        if until - call.sent_at > ROUTE_TIMEOUT_SECONDS:
            return True
        if self._was_exchange_cut(call):
            return True
        workers = workers_by_request[call.request_id]
        return any(
            disruption.overlaps(since, until)
            and not disruption.planned
            and (
                disruption.component is Component.CORE
                or (disruption.component is Component.NODE and disruption.name == call.node)
                or (
                    disruption.component in (Component.LINK, Component.WORKER)
                    and disruption.name in {call.node, *workers}
                )
            )
            for disruption in self._record.disruptions
        )
