"""Client of the operator API, used by the command line."""

from dataclasses import dataclass

import msgspec
import urllib3

_TIMEOUT_SECONDS = 20.0


class OperatorRequestRefused(Exception):
    """Raised when a request failed without any effect.

    :ivar kind: error code of the response, or ``"unreachable"``.
    """

    def __init__(self, kind: str, message: str):
        super().__init__(message)
        self.kind = kind


class OutcomeUnknown(Exception):
    """Raised when a request may or may not have taken effect."""


class _ErrorBody(msgspec.Struct):
    message: str
    code: str
    run_state: str


class _ErrorResponse(msgspec.Struct):
    error: _ErrorBody


class ObjectsResponse(msgspec.Struct):
    """Body of a response to ``GET /v1/objects``: declared objects and their revision."""

    revision: int
    objects: dict[str, dict[str, object]]


class ApplyResponse(msgspec.Struct):
    """Body of a response to ``POST /v1/apply``."""

    outcome: str
    revision: int
    changed: list[str]


class ZoneRevisionResponse(msgspec.Struct):
    """Lowest revision in force in a zone and the names of its nodes that did not reply."""

    zone: str
    revision: int
    nodes: int
    silent_nodes: list[str]


class _RevisionsResponse(msgspec.Struct):
    zones: list[ZoneRevisionResponse]


@dataclass(frozen=True)
class OperatorClient:
    """Client of one node's operator API.

    :ivar address: ``host:port`` of the API.
    """

    address: str

    def objects(self) -> ObjectsResponse:
        """Return the declared objects in force.

        :raises OperatorRequestRefused: when the node is unreachable or returns an error.
        """
        return msgspec.json.decode(self._send("GET", "/v1/objects"), type=ObjectsResponse)

    def status(self) -> dict:
        """Return the status document of the node, with its nodes and engines."""
        return msgspec.json.decode(self._send("GET", "/v1/status"))

    def revisions(self) -> list[ZoneRevisionResponse]:
        """Return the revisions in force, by zone."""
        return msgspec.json.decode(
            self._send("GET", "/v1/revisions"), type=_RevisionsResponse
        ).zones

    def apply(
        self,
        objects: dict[str, dict[str, object] | None],
        expected_revision: int,
        change_id: str,
        check_only: bool = False,
    ) -> ApplyResponse:
        """Apply a change.

        :raises OperatorRequestRefused: when the change was not applied.
        :raises OutcomeUnknown: when it may have been applied; retry with the same change id.
        """
        body = {
            "objects": objects,
            "expected_revision": expected_revision,
            "change_id": change_id,
            "check_only": check_only,
        }
        response = self._send("POST", "/v1/apply", body)
        return msgspec.json.decode(response, type=ApplyResponse)

    def _send(self, method: str, path: str, body: dict | None = None) -> bytes:
        url = f"http://{self.address}{path}"
        pool = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_SECONDS)
        try:
            response = pool.request(method, url, json=body)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise OperatorRequestRefused("unreachable", f"node {self.address}: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise OutcomeUnknown(f"node {self.address}: {error}") from error
        if response.status == 200:
            return response.data
        try:
            error = msgspec.json.decode(response.data, type=_ErrorResponse).error
        except msgspec.MsgspecError:
            raise OutcomeUnknown(f"node {self.address}: status {response.status}") from None
        if error.run_state == "may_have_run":
            raise OutcomeUnknown(error.message)
        raise OperatorRequestRefused(error.code, error.message)
