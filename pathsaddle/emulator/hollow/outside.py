"""What a process takes of its machine, seen from outside (Linux): processor time, memory, descriptors."""

from __future__ import annotations

import os
import time
from pathlib import Path


def cpu_seconds(pid: int) -> float:
    """User and system time of all its threads, to the nanosecond where /proc counts in hundredths; the kernel's clock of
    a process (clock_getcpuclockid). Raises OSError where it is gone.
    """
    return time.clock_gettime((~pid << 3) | 2)


def memory_mib(pid: int) -> tuple[float, float]:
    """(RSS, PSS); what it shares with others counts in part in the second."""
    sizes = {
        line.split(":")[0]: line.split()[1]
        for line in Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii").splitlines()[1:]
    }
    return int(sizes["Rss"]) / 1024, int(sizes["Pss"]) / 1024


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))
