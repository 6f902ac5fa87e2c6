"""An address that cannot be parsed ended the telling to all other nodes.

Addresses of relays stand in keys of the store. With one of them spoilt, ``send_to`` raised ``invalid
literal for int()``, and the tasks that tell relays and ask dispatchers failed with it; a name in
place of an IP would have been looked up by the system, with the event loop standing still.
"""

from wheelslip.peers.datagrams import DatagramSocket


class Transport:
    def __init__(self):
        self.sent = []

    def is_closing(self) -> bool:
        return False

    def sendto(self, data, target):
        self.sent.append(target)


def test_the_others_are_told():
    socket = DatagramSocket()
    transport = Transport()
    socket.connection_made(transport)
    spoilt = ["", "nonsense", "10.0.0.1:", "10.0.0.1:99999", "host.example:1"]
    socket.send_to(["10.0.0.1:1", *spoilt, "10.0.0.2:2"], "kind", {})
    assert transport.sent == [("10.0.0.1", 1), ("10.0.0.2", 2)]
    assert socket.misaddressed == len(spoilt)
