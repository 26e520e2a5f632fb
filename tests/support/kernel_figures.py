"""What the kernel says of processes and connections (Linux: proc(5))."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

ESTABLISHED = "01"
"""State of an open connection in /proc/net/tcp."""


class OpenConnection(NamedTuple):
    """An open connection, seen from one of its ends."""

    local_port: int
    remote_port: int


def memory_kb(pid: int, name: str) -> int:
    """Return a figure of a process's status, such as VmHWM, in kB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    value = status.partition(f"{name}:")[2].split()
    return int(value[0]) if value else 0


def open_connections() -> list[OpenConnection]:
    """Return both ends of all open TCP connections over IPv4 on this machine."""
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()]
    return [
        OpenConnection(_port(row[1]), _port(row[2]))
        for row in rows
        if row[3] == ESTABLISHED
    ]


def _port(address: str) -> int:
    return int(address.rpartition(":")[2], 16)
