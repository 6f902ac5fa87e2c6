"""Plays fresh fault histories against the rate limits of tenants and workers.

The tests draw the same histories on every run. This draws others, prints their seed and the number
of histories, and fails if one of them exceeds a limit. The same seed draws the same histories.
"""

import argparse
import os
import random
import sys

import pytest

TESTS = [
    "tests/unit/forwarding/test_tenant_limits.py::test_flooding_tenant_never_exceeds_bound",
    "tests/unit/forwarding/test_worker_allowance.py"
    "::test_worker_rate_stays_within_bound_under_any_fault_history",
]


def main() -> int:
    """Play the histories; return the exit status of pytest."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=1000, help="histories of each test")
    parser.add_argument("--seed", type=int, default=None, help="default: a random one")
    options = parser.parse_args()
    seed = random.SystemRandom().randrange(2**32) if options.seed is None else options.seed
    print(f"{options.count} histories of each test, seed {seed}", flush=True)
    # Read by tests/conftest.py and fault_histories.py, also in the processes that pytest starts.
    os.environ["WHEELSLIP_HISTORIES"] = str(options.count)
    return pytest.main(
        ["-p", "no:cacheprovider", "--numprocesses=2", f"--hypothesis-seed={seed}", *TESTS]
    )


if __name__ == "__main__":
    sys.exit(main())
