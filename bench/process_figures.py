"""Processor time and resident memory of a process, read from ``/proc``."""

import os
from pathlib import Path

_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


def read_processor_time(pid: int | None) -> float:
    """Return the user and system seconds used so far.

    :param pid: process number; None gives 0.
    """
    if pid is None:
        return 0
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def read_resident_memory(pid: int | None) -> float:
    """Return the resident memory in MB.

    :param pid: process number; None gives 0.
    """
    if pid is None:
        return 0
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0
