"""The identity of a request's content."""

from wheelslip.routing.fingerprint import request_fingerprint

CONTENT = ("POST", b"/a?q=1", "tenant", b"body")


def test_the_same_content_has_the_same_fingerprint_everywhere():
    assert request_fingerprint(*CONTENT) == request_fingerprint(*CONTENT)
    assert request_fingerprint(*CONTENT) == "d8f6f898a491cbaa8eaa8240"


def test_each_part_counts_and_no_two_parts_run_into_each_other():
    others = [
        ("GET", b"/a?q=1", "tenant", b"body"),
        ("POST", b"/a?q=2", "tenant", b"body"),
        ("POST", b"/a?q=1", "other", b"body"),
        ("POST", b"/a?q=1", "tenant", b"body2"),
        ("POST", b"/a?q=1t", "enant", b"body"),
        ("POST", b"/a?q=1", "tenantb", b"ody"),
    ]
    prints = {request_fingerprint(*one) for one in [CONTENT, *others]}
    assert len(prints) == 1 + len(others)
