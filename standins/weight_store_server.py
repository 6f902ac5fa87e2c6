"""Stand-in weight store whose loads take longer when too many run concurrently."""

import threading
import time

import fire

from wheelslip.http_service import (
    HttpService,
    ServiceLimits,
    ServiceRequest,
    ServiceResponse,
    json_response,
)


class WeightStoreServer:
    """HTTP server that simulates the time of weight loads.

    ``POST /load`` returns after the load time. ``GET /counts`` returns all loads and the
    highest number of concurrent ones.

    :param concurrent_loads: number of concurrent loads up to which each takes
        ``load_seconds``; above it the time grows in proportion to their number.
    """

    def __init__(self, address: str, concurrent_loads: int, load_seconds: float):
        self._concurrent_loads = concurrent_loads
        self._load_seconds = load_seconds
        self._lock = threading.Lock()
        self._active_loads = 0
        self._max_active_loads = 0
        self._loads: list[dict] = []
        self.service = HttpService(
            "weight-store", address, self._handle, ServiceLimits(threads=32, timeout_seconds=60)
        )

    def _handle(self, request: ServiceRequest) -> ServiceResponse:
        if request.path == "/counts":
            return json_response({"most_at_once": self._max_active_loads, "loads": self._loads})
        load = request.json_object()
        with self._lock:
            self._active_loads += 1
            self._max_active_loads = max(self._max_active_loads, self._active_loads)
            slowdown = max(1.0, self._active_loads / self._concurrent_loads)
            self._loads.append(load)
        time.sleep(self._load_seconds * slowdown)
        with self._lock:
            self._active_loads -= 1
        return json_response({"loaded": load})


def main(address: str, loads_at_once: int = 2, load_seconds: float = 0.6) -> None:
    """Run the stand-in weight store until the process is terminated."""
    WeightStoreServer(address, loads_at_once, load_seconds).service.start()
    threading.Event().wait()


if __name__ == "__main__":
    fire.Fire(main)
