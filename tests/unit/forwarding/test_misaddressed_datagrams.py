"""An invalid address must not keep a message from the other receivers.

Host names count as invalid, because resolving them would block the event loop.
"""

from wheelslip.peers.datagrams import DatagramSocket


class Transport:
    def __init__(self):
        self.sent = []

    def is_closing(self) -> bool:
        return False

    def sendto(self, data, target):
        self.sent.append(target)


def test_invalid_addresses_are_skipped_and_counted():
    socket = DatagramSocket()
    transport = Transport()
    socket.connection_made(transport)
    invalid = ["", "nonsense", "10.0.0.1:", "10.0.0.1:99999", "host.example:1"]
    socket.send_to(["10.0.0.1:1", *invalid, "10.0.0.2:2"], "kind", {})
    assert transport.sent == [("10.0.0.1", 1), ("10.0.0.2", 2)]
    assert socket.misaddressed == len(invalid)
