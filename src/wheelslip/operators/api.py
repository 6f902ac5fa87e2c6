"""Operator API: applies declarations and reports status, as JSON over HTTP."""

import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from wheelslip import __version__
from wheelslip.documents import decode_document
from wheelslip.engines.directory import EngineDirectory
from wheelslip.errors import ErrorKind, WheelslipError
from wheelslip.events import LogEvent, log_event
from wheelslip.http_service import (
    ServiceRequest,
    ServiceResponse,
    error_response,
    json_response,
)
from wheelslip.keyvalue.model import KeyValueError
from wheelslip.operators.configuration import ConfigurationState, check_objects
from wheelslip.operators.declarations import ObjectKey
from wheelslip.operators.store import ConfigurationStore, WriteOutcome
from wheelslip.operators.task import ConfigurationTask
from wheelslip.peers.connection import PeerCaller, PeerUnreachable
from wheelslip.peers.messages import MemberInfo, RevisionQuery, RevisionReply
from wheelslip.peers.task import MembershipTask

RESOLVE_TIMEOUT_SECONDS = 5.0
"""Time limit for resolving an unknown write outcome and for a change to take effect locally."""

_QUERY_TIMEOUT_SECONDS = 0.5
_QUERY_THREADS = 16


class ApplyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/apply``.

    :param objects: maps object keys to specs, or to ``null`` to delete the object.
    :param expected_revision: revision that the change is based on; defaults to the latest.
    :param change_id: idempotency key: retries with the same id take effect once.
    :param check_only: validate the change without writing it.
    """

    objects: dict[str, dict[str, object] | None]
    expected_revision: int | None = None
    change_id: str | None = None
    check_only: bool = False


class ZoneRevision(msgspec.Struct, frozen=True):
    """Lowest revision in force in a zone and the names of its nodes that did not reply."""

    zone: str
    revision: int
    nodes: int
    silent_nodes: tuple[str, ...]


@dataclass
class OperatorServices:
    """Components of the node that the operator API uses."""

    this_node: MemberInfo
    caller: PeerCaller
    store: ConfigurationStore
    configuration: ConfigurationTask
    membership: MembershipTask
    directory: EngineDirectory


class OperatorApp:
    """Handles the HTTP requests of the operator API."""

    def __init__(self, services: OperatorServices):
        self._services = services
        self._routes: dict[tuple[str, str], Callable[[ServiceRequest], ServiceResponse]] = {
            ("POST", "/v1/apply"): self._apply,
            ("GET", "/v1/objects"): self._objects,
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/revisions"): self._revisions,
        }

    def handle(self, request: ServiceRequest) -> ServiceResponse:
        """Handle one request; every exception becomes an error response."""
        try:
            handler = self._routes.get((request.method, request.path))
            if handler is None:
                raise WheelslipError(ErrorKind.PATH_NOT_FOUND, f"no path {request.path}")
            return handler(request)
        except WheelslipError as error:
            return error_response(error)
        except Exception as error:
            log_event(LogEvent.REQUEST_FAULT, path=request.path, reason=repr(error))
            return error_response(WheelslipError(ErrorKind.INTERNAL_ERROR, "internal error"))

    def _apply(self, request: ServiceRequest) -> ServiceResponse:
        try:
            apply = decode_document(request.body, ApplyRequest)
            keys = {text: ObjectKey.parse(text) for text in apply.objects}
        except ValueError as error:
            raise WheelslipError(ErrorKind.CONFIGURATION_INVALID, f"body: {error}") from error
        base = self._base_state(apply.expected_revision)
        if self._is_retry(apply, base):
            return json_response({"changed": [], "outcome": "accepted", "revision": base.revision})
        if apply.expected_revision not in (None, base.revision):
            raise _conflict(apply.expected_revision, base.revision, base.change_id)
        objects = {
            str(keys[text]): None if spec is None else _canonical(spec)
            for text, spec in apply.objects.items()
        }
        changed = {key: spec for key, spec in objects.items() if base.objects.get(key) != spec}
        merged = {key: spec for key, spec in (base.objects | objects).items() if spec is not None}
        problems = check_objects(merged)
        if problems:
            message = "; ".join(str(problem) for problem in problems)
            raise WheelslipError(ErrorKind.CONFIGURATION_INVALID, message)
        summary = {"changed": sorted(changed), "revision": base.revision}
        if apply.check_only or not changed:
            return json_response(summary | {"outcome": "unchanged" if not changed else "valid"})
        revision = self._write(base.revision, apply.change_id or uuid.uuid4().hex, changed)
        return json_response(summary | {"outcome": "accepted", "revision": revision})

    def _base_state(self, expected_revision: int | None) -> ConfigurationState:
        """Return the state that a change is based on.

        The local state is used if it is in force at ``expected_revision``; otherwise the state
        is read from the key-value service.
        """
        in_force = self._services.configuration.in_force
        if in_force is not None and in_force.revision == expected_revision:
            return in_force.state
        try:
            return self._services.store.read()
        except KeyValueError as error:
            raise WheelslipError(ErrorKind.CONFIGURATION_STORE_UNAVAILABLE, str(error)) from error

    def _is_retry(self, apply: ApplyRequest, base: ConfigurationState) -> bool:
        """Return whether this change was already accepted under its change id."""
        if apply.change_id is None or apply.expected_revision in (None, base.revision):
            return False
        try:
            return self._services.store.has_accepted(apply.change_id)
        except KeyValueError as error:
            raise WheelslipError(ErrorKind.CONFIGURATION_STORE_UNAVAILABLE, str(error)) from error

    def _write(self, expected: int, change_id: str, changed: dict[str, str | None]) -> int:
        services = self._services
        result = services.store.write(
            expected, change_id, changed, time.monotonic() + RESOLVE_TIMEOUT_SECONDS
        )
        if result.outcome is WriteOutcome.ACCEPTED:
            if result.change is None:
                return result.superseded_revision
            log_event(
                LogEvent.CONFIGURATION_ACCEPTED,
                revision=result.change.revision,
                change_id=change_id,
            )
            services.configuration.apply_accepted(result.change)
            services.configuration.wait_in_force(result.change.revision, RESOLVE_TIMEOUT_SECONDS)
            return result.change.revision
        log_event(LogEvent.CONFIGURATION_REFUSED, change_id=change_id, outcome=result.outcome.value)
        if result.outcome is WriteOutcome.CONFLICT:
            raise _conflict(expected, result.head_revision, result.head_change_id, change_id)
        if result.outcome is WriteOutcome.NOT_SENT:
            message = f"change {change_id} was not sent: the key-value service is unreachable"
            raise WheelslipError(ErrorKind.CONFIGURATION_STORE_UNAVAILABLE, message)
        message = f"change {change_id}: outcome unknown; retry with the same change id"
        raise WheelslipError(ErrorKind.CONFIGURATION_OUTCOME_UNKNOWN, message)

    def _objects(self, request: ServiceRequest) -> ServiceResponse:
        configuration = self._services.configuration.in_force
        if configuration is None:
            raise WheelslipError(ErrorKind.NOT_READY, "no configuration is in force yet")
        objects = {
            key: msgspec.json.decode(spec) for key, spec in configuration.state.objects.items()
        }
        return json_response({"revision": configuration.revision, "objects": objects})

    def _status(self, request: ServiceRequest) -> ServiceResponse:
        services = self._services
        reply = services.configuration.revision_reply()
        document = {
            "node": services.this_node.name,
            "zone": services.this_node.zone,
            "version": __version__,
            "revision": reply.revision,
            "members": [
                {
                    "name": member.name,
                    "zone": member.zone,
                    "region": member.region,
                    "address": member.address,
                    "state": member.state.name.lower(),
                }
                for member in sorted(
                    services.membership.view.all_members, key=lambda member: member.name
                )
            ],
            "engines": [
                {
                    "name": engine.name,
                    "zone": engine.zone,
                    "model": engine.model,
                    "weights_version": engine.weights_version,
                    "incarnation": engine.incarnation,
                    "state": engine.state.value,
                }
                for engine in services.directory.engines()
            ],
        }
        return json_response(document)

    def _revisions(self, request: ServiceRequest) -> ServiceResponse:
        return json_response({"zones": msgspec.to_builtins(self._revisions_by_zone())})

    def _revisions_by_zone(self) -> list[ZoneRevision]:
        """Query all live nodes for their revisions in force and group the replies by zone."""
        members = self._services.membership.view.live_members
        with ThreadPoolExecutor(_QUERY_THREADS) as pool:
            replies = list(pool.map(self._query_revision, members))
        zones = []
        for zone in sorted({member.zone for member in members}):
            in_zone = [
                (member, reply)
                for member, reply in zip(members, replies, strict=True)
                if member.zone == zone
            ]
            revisions = [reply.revision for _, reply in in_zone if reply is not None]
            silent = tuple(member.name for member, reply in in_zone if reply is None)
            zones.append(ZoneRevision(zone, min(revisions, default=0), len(in_zone), silent))
        return zones

    def _query_revision(self, member: MemberInfo) -> RevisionReply | None:
        """Return the member's reply, or ``None`` if it is unreachable."""
        if member.name == self._services.this_node.name:
            return self._services.configuration.revision_reply()
        try:
            reply = self._services.caller.call(
                member.address, RevisionQuery(), _QUERY_TIMEOUT_SECONDS
            )
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, RevisionReply) else None


def _canonical(spec: dict[str, object]) -> str:
    """Return the spec as JSON with sorted keys, so that equal specs compare equal as text."""
    return msgspec.json.encode(spec, order="sorted").decode()


def _conflict(
    expected: int, revision: int, head_change_id: str, change_id: str = "this one"
) -> WheelslipError:
    message = (
        f"change {change_id} expected revision {expected}, but change "
        f"{head_change_id or 'unknown'} is in force at revision {revision}"
    )
    return WheelslipError(ErrorKind.CONFIGURATION_CONFLICT, message)
