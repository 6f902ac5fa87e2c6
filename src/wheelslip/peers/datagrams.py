"""The socket by which forwarding nodes send each other datagrams.

A datagram is one netstring of JSON: the name of a kind of message and its content. Each kind
is taken by the task that registered for it; bytes that are no such message are counted.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec

from wheelslip.settings import Address
from wheelslip.wire import FrameError, decode_frame, encode_frame

MessageT = TypeVar("MessageT")

MAX_TARGETS = 1024
"""Addresses that are kept parsed; a few times the nodes of the largest deployment planned for."""


@functools.lru_cache(maxsize=MAX_TARGETS)
def _target(address: str) -> tuple[str, int] | None:
    """Return host and port, ``None`` where there are none."""
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
    """Owns the socket; hands each message to whoever registered for its kind."""

    def __init__(self):
        self._transport: asyncio.DatagramTransport | None = None
        self._receivers: dict[str, _Receiver] = {}
        self.bytes_sent = 0
        self.refused = 0
        self.misaddressed = 0

    def register(
        self, kind: str, message_type: type[MessageT], handle: Callable[[MessageT, str], None]
    ) -> None:
        """Have messages of a kind handed on, each with its sender's address ``IP:PORT``."""
        self._receivers[kind] = _Receiver(message_type, handle)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a message on; bytes that are none are counted and dropped."""
        try:
            envelope = decode_frame(data, _Envelope)
            receiver = self._receivers[envelope.kind]
            message = msgspec.json.decode(envelope.content, type=receiver.message_type)
        except (FrameError, KeyError, msgspec.MsgspecError):
            self.refused += 1
            return
        receiver.handle(message, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed; whoever waits for it gives up by itself."""

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
        """Send one message to several addresses; those that cannot be parsed are counted.

        Addresses come from keys of the store: one that another writer spoilt must not end the
        telling to all others.
        """
        if not self.open:
            return
        frame = encode_frame((kind, message))
        for address in addresses:
            target = _target(address)
            if target is None:
                self.misaddressed += 1
                continue
            self._transport.sendto(frame, target)
            self.bytes_sent += len(frame)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
