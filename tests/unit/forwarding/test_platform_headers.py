"""Encoding and decoding of the platform's headers."""

import pytest

from wheelslip.deployment import CachePlan, Dispatch, ForwardedRequest, WorkerInfo
from wheelslip.deployment import WorkerState as State
from wheelslip.platform.headers import PlatformHeaders

DIALECT = PlatformHeaders()
WORKER = WorkerInfo("i-1", "svc", "127.0.0.1:9", "zone", State.READY, 4, {"m": 3})
REQUEST_HEADERS = [
    (b"Host", b"h.example"),
    (b"Wheelslip-Request-Id", b"r1"),
    (b"Wheelslip-Deadline-Ms", b"5000"),
    (b"Wheelslip-Model-Id", b"m"),
    (b"Wheelslip-Token-Usage", b"1460,80"),
    (b"Wheelslip-Prefix-Hash", b"5c:800,91:410,e4:250"),
    (b"Authorization", b"Token secret"),
    (b"X-Other", b"kept"),
]


def request(extra=()):
    headers = [*REQUEST_HEADERS, *extra]
    metadata = DIALECT.decode_request(headers)
    return ForwardedRequest("POST", b"/a/b?c", "h.example", headers, b"x", metadata, 0.0)


def dispatch(**changes):
    values = {
        "worker": WORKER,
        "remaining_seconds": 1.25,
        "priority": 2,
        "tenant": "t1",
        "weights_version": 3,
        "cache": CachePlan("salt", "10.0.0.1:1", "10.0.0.2:2"),
        "last_event_id": None,
    }
    return Dispatch(**(values | changes))


def test_request_headers_are_decoded():
    metadata = request().metadata
    assert (metadata.request_id, metadata.deadline_seconds) == ("r1", 5.0)
    assert (metadata.api_key, metadata.model) == ("secret", "m")
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert [(part.id, part.tokens) for part in metadata.prompt] == [
        ("5c", 800),
        ("91", 410),
        ("e4", 250),
    ]


def test_invalid_deadline_raises_an_error_that_names_the_header():
    with pytest.raises(ValueError, match="Wheelslip-Deadline-Ms"):
        DIALECT.decode_request([(b"Wheelslip-Deadline-Ms", b"soon")])


def test_worker_receives_the_tenant_but_not_the_api_key():
    headers = dict(DIALECT.worker_headers(request(), dispatch()))
    assert b"Authorization" not in headers
    assert headers[b"Wheelslip-Tenant-Id"] == b"t1"
    assert headers[b"Wheelslip-Expect-Instance"] == b"i-1"
    assert headers[b"Wheelslip-Expect-Version"] == b"3"
    assert headers[b"Wheelslip-Deadline-Ms"] == b"1250"
    assert headers[b"X-Other"] == b"kept"
    assert headers[b"Wheelslip-Prefix-Hash"] == b"5c:800,91:410,e4:250"


SYSTEM_HEADERS = [
    (b"wheelslip-tenant-id", b"other"),
    (b"Wheelslip-Expect-Instance", b"i-9"),
    (b"Wheelslip-Cache-Salt", b"theirs"),
    (b"Wheelslip-Kv-Fetch", b"10.9.9.9:1"),
    (b"Wheelslip-Kv-Save", b"10.9.9.9:1"),
    (b"Wheelslip-Kv-Hold", b"7"),
    (b"Wheelslip-Kv-Backup", b"10.9.9.9:1"),
    (b"Wheelslip-Request-Priority", b"0"),
    (b"Wheelslip-Expect-Version", b"1"),
]


def test_system_headers_of_a_caller_are_not_forwarded():
    minimal = dispatch(tenant=None, cache=None, priority=None, weights_version=None)
    headers = DIALECT.worker_headers(request(SYSTEM_HEADERS), minimal)
    names = [name.lower() for name, _ in headers]
    for name, value in SYSTEM_HEADERS:
        assert (name, value) not in headers
        assert names.count(name.lower()) == (name.lower() == b"wheelslip-expect-instance")


def test_hop_by_hop_headers_are_not_forwarded():
    extra = [
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Keep-Alive", b"timeout=5"),
    ]
    names = {name.lower() for name, _ in DIALECT.worker_headers(request(extra), dispatch())}
    assert not names & {b"connection", b"x-hop", b"transfer-encoding", b"keep-alive"}


def test_response_headers_are_decoded():
    answer = DIALECT.decode_response(
        [
            (b"wheelslip-request-id", b"r1"),
            (b"wheelslip-not-executed", b"1"),
            (b"wheelslip-weight-versions", b"4"),
            (b"keep-alive", b"timeout=5"),
            (b"connection", b"close"),
        ]
    )
    assert answer.request_id == "r1" and answer.not_executed and not answer.signed
    assert (
        answer.weights_version == 4
        and answer.keep_alive_seconds == 5.0
        and answer.closes_connection
    )


def test_leaving_and_retry_after_headers_are_decoded():
    answer = DIALECT.decode_response([(b"Server-Leaving", b"1"), (b"Retry-After", b"2.5")])
    assert answer.leaving and answer.retry_seconds == 2.5
    without_headers = DIALECT.decode_response([])
    assert not without_headers.leaving and without_headers.retry_seconds is None


@pytest.mark.parametrize("value", [b"0", b"", b"no", b"11"])
def test_other_values_of_the_leaving_header_are_ignored(value):
    assert not DIALECT.decode_response([(b"server-leaving", value)]).leaving


@pytest.mark.parametrize(
    "value", [b"soon", b"-4", b"+3", b"1e400", b"nan", b"inf", b"", b"1.", b"3 s", b"\xb2", b"1_0"]
)
def test_invalid_retry_after_is_ignored(value):
    assert DIALECT.decode_response([(b"retry-after", value)]).retry_seconds is None


def test_retry_after_beyond_a_float_is_infinite():
    assert DIALECT.decode_response([(b"retry-after", b"9" * 400)]).retry_seconds == float("inf")


@pytest.mark.parametrize(
    ("value", "rate"), [(b"1", 1.0), (b" 2.6 ", 2.6), (b".5", 0.5), (b"0", 0.0), (b"007", 7.0)]
)
def test_rate_limit_is_a_decimal_number(value, rate):
    answer = DIALECT.decode_response([(b"Server-Limit", value)])
    assert (answer.rate_limit, answer.unreadable_limit) == (rate, "")


@pytest.mark.parametrize(
    "value", [b"soon", b"-4", b"+3", b"1e400", b"nan", b"inf", b"1.", b"3/s", b"\xb2", b"1_0"]
)
def test_invalid_rate_limit_is_distinguished_from_an_absent_one(value):
    answer = DIALECT.decode_response([(b"server-limit", value)])
    assert answer.rate_limit is None and answer.unreadable_limit == value.decode("latin-1")


@pytest.mark.parametrize("headers", [[], [(b"server-limit", b"")]])
def test_absent_rate_limit_is_none(headers):
    answer = DIALECT.decode_response(headers)
    assert (answer.rate_limit, answer.unreadable_limit) == (None, "")
