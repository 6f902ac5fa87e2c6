"""Request fingerprints."""

from wheelslip.routing.fingerprint import request_fingerprint

REQUEST = ("POST", b"/a?q=1", "tenant", b"body")


def test_equal_requests_have_the_same_stable_fingerprint():
    assert request_fingerprint(*REQUEST) == request_fingerprint(*REQUEST)
    assert request_fingerprint(*REQUEST) == "d8f6f898a491cbaa8eaa8240"


def test_any_changed_or_shifted_part_changes_the_fingerprint():
    others = [
        ("GET", b"/a?q=1", "tenant", b"body"),
        ("POST", b"/a?q=2", "tenant", b"body"),
        ("POST", b"/a?q=1", "other", b"body"),
        ("POST", b"/a?q=1", "tenant", b"body2"),
        ("POST", b"/a?q=1t", "enant", b"body"),
        ("POST", b"/a?q=1", "tenantb", b"ody"),
    ]
    fingerprints = {request_fingerprint(*request) for request in [REQUEST, *others]}
    assert len(fingerprints) == 1 + len(others)
