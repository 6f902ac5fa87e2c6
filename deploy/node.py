"""Starts one forwarding node from a checkout, without an installed package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from wheelslip.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
