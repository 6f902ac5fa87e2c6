"""Documents of other processes are decoded, or refused with one error."""

import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheelslip.documents import MAX_DEPTH, DocumentError, decode_document


class Document(msgspec.Struct):
    """A document with a field of each kind."""

    name: str = ""
    number: int = 0
    share: float = 0.0
    items: list[list[int]] = []
    rest: msgspec.Raw = msgspec.Raw(b"null")


def nested(depth: int, kind: str = "[]", field: str = "x") -> bytes:
    opening = kind[0] if kind == "[]" else '{"a":'
    levels = opening * depth + "1" + kind[1] * depth
    return f'{{"name":"a","{field}":{levels}}}'.encode()


def call_deep(levels: int, function):
    return function() if levels == 0 else call_deep(levels - 1, function)


@pytest.mark.parametrize("field", ["x", "rest", "name"])
@pytest.mark.parametrize("kind", ["[]", "{}"])
@pytest.mark.parametrize("depth", [MAX_DEPTH, 1_000, 60_000])
def test_deep_document_is_refused(depth, kind, field):
    with pytest.raises(DocumentError):
        decode_document(nested(depth, kind, field), Document)


def test_accepted_depth_does_not_depend_on_the_stack_of_the_caller():
    document = nested(MAX_DEPTH - 1)
    levels = sys.getrecursionlimit() // 2
    assert call_deep(levels, lambda: decode_document(document, Document)).name == "a"


@pytest.mark.parametrize("text", ["[" * 100, '\\"' + "{" * 100, "\\\\", "\\\\\\" + '"' + "[" * 100])
def test_brackets_inside_strings_are_no_levels(text):
    document = b'{"name":"%s","items":[%s]}' % (text.encode(), b",".join([b"[1]"] * MAX_DEPTH))
    assert len(decode_document(document, Document).items) == MAX_DEPTH


def test_document_above_its_size_is_refused():
    document = b'{"name":"%s"}' % (b"a" * 100)
    assert decode_document(document, Document, len(document)).name == "a" * 100
    with pytest.raises(DocumentError):
        decode_document(document, Document, len(document) - 1)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=20,
)
FIELDS = st.dictionaries(st.sampled_from(["name", "number", "share", "items", "rest", "x"]), JSON)


@given(st.binary(max_size=200) | FIELDS.map(msgspec.json.encode))
def test_any_bytes_are_decoded_or_refused(data):
    try:
        document = decode_document(data, Document)
    except DocumentError:
        return
    assert isinstance(document, Document)
