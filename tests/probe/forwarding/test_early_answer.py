"""A worker that responds before it has read the request body."""

import asyncio

from standins.platform_site import wait_until
from standins.platform_worker import worker_entry

BODY = bytes(range(256)) * 350


class EarlyWorker:
    """Stand-in worker that responds after the request head and reads the body afterwards."""

    def __init__(self):
        self.bodies: list[bytes] = []
        self.faults: list[str] = []
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not head.startswith(b"POST /plain/ HTTP/1.1\r\n"):
                    self.faults.append(repr(head[:40]))
                values = dict(
                    line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
                )
                request_id = values[b"wheelslip-request-id"].decode()
                writer.write(self._answer(request_id))
                await writer.drain()
                # The body must still arrive completely, followed by the next request head.
                await asyncio.sleep(0.1)
                self.bodies.append(await reader.readexactly(int(values[b"content-length"])))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer(self, request_id: str) -> bytes:
        return (
            f"HTTP/1.1 200 OK\r\nWheelslip-Request-Id: {request_id}\r\n"
            "Wheelslip-Response-Signature: sig\r\nKeep-Alive: timeout=5\r\n"
            f"Content-Length: {len(request_id)}\r\n\r\n{request_id}"
        ).encode()


async def early_site(site) -> EarlyWorker:
    site.configure()
    worker = EarlyWorker()
    await worker.start()
    site.model.put("servers/i-early", worker_entry("plain", worker.address, "z1"))
    node = await site.add_node()
    await wait_until(lambda: node.is_ready() and "i-early" in node.worker_ids(), "node ready")
    return worker


async def test_early_response_is_forwarded_and_body_is_sent_completely(site):
    worker = await early_site(site)
    for number in range(4):
        answer = await site.request("/plain/", f"r{number}", body=BODY)
        assert (answer.status, answer.body) == (200, f"r{number}".encode())
    await wait_until(lambda: len(worker.bodies) == 4, "all bodies read")
    assert worker.bodies == [BODY] * 4
    assert worker.faults == []
