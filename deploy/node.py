"""Starts one forwarding node from a checkout, without an installed package."""

import pathlib
import signal
import sys

# Until the node handles it, SIGHUP would end the process; the settings are read after that anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The platform's links carry no TLS. asyncio runs without the ssl module where there is none,
# and a process is 4.4 MB smaller so (docs/MEASUREMENTS.md).
sys.modules["ssl"] = None
# The hashes that a node uses are Python's own; OpenSSL's would take 3.5 MB more.
sys.modules["_hashlib"] = None

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from wheelslip.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
