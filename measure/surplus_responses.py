"""Calls to an endpoint that sends a surplus response some time after each good one.

The endpoint, a process of its own, answers each call, and if no further call arrives
within the delay, it sends a second response of another status. Prints by delay how
many outcomes are those of the good responses, unknown (to be sent again where that is
harmless), or those of the surplus.

    python -m measure.surplus_responses 1000 [good status] [surplus status]
"""

from __future__ import annotations

import asyncio
import multiprocessing
import random
import select
import socket
import sys
import threading
from collections import Counter

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.dispatch.endpoints import ThrottleScopeKey
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.outbound.connection_pool import (
    CallItem,
    ConnectionPool,
    OutboundCall,
)
from rainfall.forwarder.units import US_PER_SECOND

SURPLUS_DELAYS_S = (0.0, 0.0005, 0.002, 0.003, 0.004, 0.008, 0.012, 0.02)
MAX_PAUSE_S = 0.008
"""Calls follow each other after a random pause up to this or twice the delay."""
CALL_TIMEOUT_US = 5 * US_PER_SECOND
GOOD_STATUS = 200
SURPLUS_STATUS = 504
OUTCOMES = {200: Outcome.DELIVERED, 504: Outcome.NOT_SENT}


def encoded_response(status: int) -> bytes:
    """Return a response without a body."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()


def serve_connection(
    connection: socket.socket, delay_s: float, good: bytes, surplus: bytes
) -> None:
    """Answer the calls of one connection, with a surplus response where no call waits."""
    with connection:
        try:
            while request := connection.recv(1 << 16):
                while b"\r\n\r\n" not in request:
                    request += connection.recv(1 << 16)
                if not delay_s:
                    connection.sendall(good + surplus)
                    continue
                connection.sendall(good)
                if not select.select([connection], [], [], delay_s)[0]:
                    connection.sendall(surplus)
        except OSError:
            return


def serve(listener: socket.socket, delay_s: float, good: bytes, surplus: bytes) -> None:
    """Accept connections until the listener is closed."""
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(
            target=serve_connection,
            args=(connection, delay_s, good, surplus),
            daemon=True,
        ).start()


async def play(calls: int, delay_s: float, good: int, surplus: int) -> Counter[str]:
    """Make calls one after another; return how many ended as what."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    arguments = (listener, delay_s, encoded_response(good), encoded_response(surplus))
    endpoint = multiprocessing.Process(target=serve, args=arguments, daemon=True)
    endpoint.start()
    clock = Clock()
    finished: asyncio.Queue[AttemptFinished] = asyncio.Queue()
    pool = ConnectionPool(
        clock, finished.put_nowait, (), 60 * US_PER_SECOND, US_PER_SECOND, 64
    )
    pool.set_endpoints({1: Address("127.0.0.1", listener.getsockname()[1])})
    pauses = random.Random(1)
    seen: Counter[str] = Counter()
    for number in range(calls):
        now = clock()
        item = CallItem(f"m{number}", 0, None, b"x", now + CALL_TIMEOUT_US)
        pool.start(OutboundCall(1, ThrottleScopeKey(1, -1), now, [item]))
        outcome = (await finished.get()).outcome
        if outcome is OUTCOMES[good]:
            seen["good"] += 1
        elif outcome is OUTCOMES[surplus]:
            seen["wrong"] += 1
        else:
            seen["unknown"] += 1
        await asyncio.sleep(pauses.uniform(0, max(MAX_PAUSE_S, 2 * delay_s)))
    pool.close()
    listener.close()
    endpoint.kill()
    endpoint.join()
    return seen


def main() -> None:
    """Play each delay, and print its counts."""
    arguments = [int(text) for text in sys.argv[1:]]
    calls, good, surplus = (*arguments, *(1000, GOOD_STATUS, SURPLUS_STATUS))[:3]
    if len(arguments) == 1:
        good, surplus = GOOD_STATUS, SURPLUS_STATUS
    for delay_s in SURPLUS_DELAYS_S:
        seen = asyncio.run(play(calls, delay_s, good, surplus))
        print(f"{delay_s * 1000:5.1f} ms later: {dict(seen)}", flush=True)


if __name__ == "__main__":
    main()
