"""What the kernel knows of a connection, beyond what the event loop reports of it."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios
from contextlib import suppress

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events of poll(2) that tell of the peer's end of the connection."""


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether a transport's socket has input that the event loop has not read yet.

    That may be data, the end of the stream or a reset.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the peer has ended its sending side, or the connection is broken.

    True also while input that came before the end is unread (Linux: POLLRDHUP of
    poll(2)).
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return any(events & CLOSED_EVENTS for _, events in poll.poll(0))


def unread_bytes(transport: asyncio.Transport) -> int | None:
    """Return how many received bytes the event loop has not read yet.

    None if the kernel does not say (Linux: FIONREAD of ioctl(2)).
    """
    return _socket_figure(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer's machine has not acknowledged yet.

    0 if the kernel does not say (Linux: SIOCOUTQ of tcp(7)).
    """
    return _socket_figure(transport, termios.TIOCOUTQ) or 0


def _socket_figure(transport: asyncio.Transport, request: int) -> int | None:
    """Return the number that an ioctl(2) request reports of a socket; None if it fails."""
    try:
        answer = fcntl.ioctl(
            transport.get_extra_info("socket").fileno(), request, bytes(4)
        )
    except OSError:
        return None
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
