"""What the kernel knows of a connection, beyond what the event loop reports of it."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios
from contextlib import suppress


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether a transport's socket has input that the event loop has not read yet.

    That may be data, the end of the stream or a reset.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer's machine has not acknowledged yet.

    0 if the kernel does not say (Linux: SIOCOUTQ of tcp(7)).
    """
    try:
        answer = fcntl.ioctl(
            transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(4)
        )
    except OSError:
        return 0
    return int.from_bytes(answer, sys.byteorder)


def acknowledge_input(transport: asyncio.Transport) -> None:
    """Acknowledge the input read so far at once, and not with the next write.

    Without TCP_NODELAY the peer's machine holds a small write back until the one before
    it is acknowledged (tcp(7), TCP_QUICKACK).
    """
    with suppress(OSError):
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1
        )
