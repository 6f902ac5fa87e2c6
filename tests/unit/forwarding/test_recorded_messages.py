"""Compatibility of messages between builds that run side by side during an upgrade.

The files under ``recorded/`` hold messages as sent by earlier builds.
"""

import json
import pathlib

import msgspec
import pytest

from tests.unit.forwarding.messages import encoded, samples
from wheelslip.crashes.reports import CrashReport
from wheelslip.forwarding.rollout_record import RolloutRecord
from wheelslip.peers.datagrams import DatagramSocket
from wheelslip.peers.dispatch_messages import PROGRESS, ProgressReport, WorkerGrant
from wheelslip.wire import encode_frame

FOLDER = pathlib.Path(__file__).parent / "recorded"
RECORDED = sorted(FOLDER.glob("*.json"))


def message_type(content):
    """Return the type as which a message is decoded."""
    return list[type(content[0])] if type(content) is list else type(content)


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_messages_of_earlier_build_are_decoded_correctly(path):
    recorded = json.loads(path.read_text())
    for sample in samples():
        if sample.name not in recorded:
            continue
        decoded = msgspec.json.decode(recorded[sample.name], type=message_type(sample.content))
        assert decoded == sample.content, sample.name


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_messages_are_encoded_as_in_earlier_build(path):
    """Identical bytes are readable by the earlier build; it ignores kinds added since."""
    recorded, sent = json.loads(path.read_text()), encoded()
    assert {name: sent[name] for name in recorded} == recorded


def test_message_of_unknown_kind_is_counted_and_ignored():
    socket = DatagramSocket()
    socket.datagram_received(encode_frame(("of-a-later-build", {"a": 1})), ("127.0.0.1", 1))
    assert socket.refused == 1


@pytest.mark.parametrize("content", ['["n1",7,"of_a_later_build"]', '["n1"]', '{"node":"n1"}'])
def test_message_with_invalid_content_is_counted_and_ignored(content):
    received = []
    socket = DatagramSocket()
    socket.register(PROGRESS, ProgressReport, lambda message, sender: received.append(message))
    socket.datagram_received(
        encode_frame((PROGRESS, msgspec.Raw(content.encode()))), ("127.0.0.1", 1)
    )
    assert (received, socket.refused) == ([], 1)


def test_message_with_additional_field_is_rejected():
    """Messages must not be extended while older builds run; a new kind is needed instead."""
    with pytest.raises(msgspec.MsgspecError):
        msgspec.json.decode(msgspec.json.encode([*WorkerGrant(1, "d"), "later"]), type=WorkerGrant)


@pytest.mark.parametrize("record_type", [RolloutRecord, CrashReport])
def test_additional_fields_of_a_stored_record_are_ignored(record_type):
    document = msgspec.to_builtins(record_type()) | {"of_a_later_build": 1}
    assert msgspec.json.decode(json.dumps(document), type=record_type) == record_type()
