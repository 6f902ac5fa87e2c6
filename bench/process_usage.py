"""CPU time and resident memory of a process, read from ``/proc``."""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process_id: int | str) -> float:
    """Return the CPU time in user and system mode since the process started."""
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def resident_megabytes(process_id: int | str) -> float:
    """Return the resident memory in MiB; 0 if the kernel reports none."""
    for line in pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
