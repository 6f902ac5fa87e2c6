"""Stand-in machine list server with a control path for changes of the list."""

import hashlib
import json
import threading

import fire

from wheelslip.http_service import (
    HttpService,
    ServiceLimits,
    ServiceRequest,
    ServiceResponse,
    json_response,
)


class MachineListServer:
    """HTTP server of a machine list.

    ``GET /machines`` returns the list with an ETag. ``POST /control`` accepts ``machines`` (a
    new list), ``states`` (new states by machine name) and ``freeze`` (whether to serve the
    present list, without later changes, until it is set to false), and returns the list.
    """

    def __init__(self, address: str, machines: list[dict]):
        self._machines = machines
        self._frozen_machines: list[dict] | None = None
        self._lock = threading.Lock()
        self.service = HttpService("machine-list", address, self._handle, ServiceLimits())

    def _handle(self, request: ServiceRequest) -> ServiceResponse:
        with self._lock:
            if request.path == "/control":
                return self._control(request.json_object())
            served = self._machines if self._frozen_machines is None else self._frozen_machines
            body = json.dumps({"machines": served}).encode()
        etag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        if request.headers.get("if-none-match") == etag:
            return ServiceResponse(304, b"", {"ETag": etag})
        return ServiceResponse(200, body, {"ETag": etag})

    def _control(self, change: dict) -> ServiceResponse:
        if "freeze" in change:
            self._frozen_machines = list(self._machines) if change["freeze"] else None
        if "machines" in change:
            self._machines = change["machines"]
        for name, state in change.get("states", {}).items():
            self._machines = [
                machine | {"state": state} if machine["name"] == name else machine
                for machine in self._machines
            ]
        return json_response({"machines": self._machines})


def main(address: str, machines: str) -> None:
    """Run the stand-in machine list server until the process is terminated.

    :param machines: path of a file with a JSON list of machines.
    """
    with open(machines) as file:
        server = MachineListServer(address, json.load(file))
    server.service.start()
    threading.Event().wait()


if __name__ == "__main__":
    fire.Fire(main)
