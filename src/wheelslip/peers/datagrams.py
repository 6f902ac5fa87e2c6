"""Datagram socket for messages between forwarding nodes.

A datagram is one netstring of JSON that holds the kind of the message and its content. Each kind
is passed to the handler registered for it; datagrams that cannot be decoded are counted.
"""

import asyncio
import functools
import time
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec

from wheelslip.documents import DocumentError, decode_document
from wheelslip.events import LogBudget, LogEvent
from wheelslip.settings import Address
from wheelslip.wire import decode_frame, encode_frame

MessageT = TypeVar("MessageT")

MAX_CACHED_ADDRESSES = 1024
"""Maximum number of parsed addresses in the cache; a few times the 380 nodes of the largest deployment
planned for."""

REFUSAL_LOGS_PER_SECOND = 1.0
"""Average rate of log lines about invalid datagrams."""


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _parse_address(address: str) -> tuple[str, int] | None:
    """Return host and port, or ``None`` if the address is invalid."""
    try:
        parsed = Address.parse(address)
    except ValueError:
        return None
    return parsed.host, parsed.port


class _Envelope(NamedTuple):
    kind: str
    content: msgspec.Raw


class _Receiver(NamedTuple):
    message_type: type
    handle: Callable[[object, str], None]


class DatagramSocket(asyncio.DatagramProtocol):
    """UDP socket that dispatches received messages by kind.

    :ivar refused: number of received datagrams that could not be decoded.
    :ivar misaddressed: number of messages not sent because of an invalid address.
    """

    def __init__(self):
        self._transport: asyncio.DatagramTransport | None = None
        self._receivers: dict[str, _Receiver] = {}
        self._log = LogBudget(REFUSAL_LOGS_PER_SECOND, time.monotonic)
        self.bytes_sent = 0
        self.refused = 0
        self.misaddressed = 0

    def register(
        self, kind: str, message_type: type[MessageT], handle: Callable[[MessageT, str], None]
    ) -> None:
        """Register a handler for messages of a kind.

        :param handle: called with the message and the address of its sender, ``IP:PORT``.
        """
        self._receivers[kind] = _Receiver(message_type, handle)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message to its handler; invalid datagrams are counted, logged and dropped."""
        sender = f"{addr[0]}:{addr[1]}"
        try:
            envelope = decode_frame(data, _Envelope)
            receiver = self._receivers[envelope.kind]
            message = decode_document(envelope.content, receiver.message_type)
        except (DocumentError, KeyError) as exc:
            self.refused += 1
            self._log.log(LogEvent.PEER_MESSAGE_REFUSED, peer=sender, reason=str(exc))
            return
        receiver.handle(message, sender)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: senders that expect a reply use timeouts."""

    async def listen(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    @property
    def open(self) -> bool:
        """Whether the socket is bound and not closed."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, address: str, kind: str, message: object) -> None:
        """Send a message to ``IP:PORT``, if the socket is open."""
        self.send_to([address], kind, message)

    def send_to(self, addresses: list[str], kind: str, message: object) -> None:
        """Send one message to several addresses; invalid addresses are skipped and counted.

        Addresses are read from the store, where one may be corrupt.
        """
        if not self.open:
            return
        frame = encode_frame((kind, message))
        for address in addresses:
            target = _parse_address(address)
            if target is None:
                self.misaddressed += 1
                continue
            self._transport.sendto(frame, target)
            self.bytes_sent += len(frame)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return the gauges by name."""
        return {
            "datagrams_refused": lambda: float(self.refused),
            "datagrams_misaddressed": lambda: float(self.misaddressed),
            "datagram_bytes_sent": lambda: float(self.bytes_sent),
        }

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
