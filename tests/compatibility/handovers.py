"""The lines between two processes at a handover, and what a dispatcher remembers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CancelAttempt,
    Dispatcher,
    LoadReport,
    Outcome,
    RecordOutage,
    SnapshotRestored,
)
from rainfall.dispatch.endpoints import ThrottleScopeKey
from rainfall.forwarder.handover.connection import HandoverConnection
from rainfall.forwarder.handover.messages import HandoverMessage
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.handover.target import HandoverTarget
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage
from rainfall.forwarder.outbound.connection_pool import CallItem, OutboundCall
from rainfall.wirehost import encode_action
from tests.compatibility.forwarders import forwarder
from tests.compatibility.journals import fixed_machine
from tests.compatibility.references import References
from tests.support.random_worlds import World

SEED, ROUNDS = 39, 23
"""A world whose dispatcher then has every kind of thing to remember."""
FAR_US = 1 << 60
ENDED = (
    AttemptFinished("m1", 0, 1, Outcome.DELIVERED, 1500, message_closed=True),
    AttemptFinished(
        "m2", 3, 2, Outcome.REJECTED, 7, False, 400, LoadReport(0.25, 9.5), True
    ),
    *(AttemptFinished("m3", n, 1, outcome, n) for n, outcome in enumerate(Outcome)),
)
HANDED = (
    SubmittedMessage(
        "a1", "order", 7, 5_000_000, "idem", "line", "acme", True, b"\x00\xffbody"
    ),
    SubmittedMessage("a2", "pay", 8, 6_000_000, None, None, None, False, b""),
)


class RecordingTransport(asyncio.Transport):
    """Keeps what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""
        self.closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.sent += bytes(data)

    def close(self) -> None:
        self.closed = True


class Client:
    """A client whose request is passed on; it notes its answer."""

    def __init__(self, name: str, notes: list[object]) -> None:
        self.name, self.notes = name, notes
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        self.notes.append([self.name, status.value, text, headers])


class OldEngine:
    """The engine of the process that serves: notes what the link asks of it."""

    def __init__(self, memory: HandoverMessage) -> None:
        self.memory = memory
        self.notes: list[object] = []
        self.predecessor = HandoverSource(self)

    def pause_for_handover(
        self, then: Callable[[HandoverMessage | None], None]
    ) -> None:
        then(self.memory)

    def resume_after_handover(self) -> None:
        self.notes.append("resume")

    def transfer_ownership(self) -> None:
        self.notes.append("give")
        self.predecessor.confirm_transfer()

    def target_lost(self) -> None:
        self.notes.append("bereft")

    def cancel_call(self, message: str, attempt: int) -> None:
        self.notes.append(["call off", message, attempt])

    def reload_inbound_settings(self) -> None:
        self.notes.append("reread")


class NewEngine:
    """The engine of the process that takes over: notes what it hears."""

    def __init__(self, successor: HandoverTarget) -> None:
        self.successor = successor
        self.notes: list[object] = []

    def submit(self, handed: SubmittedMessage, door: ResponseWriter) -> None:
        self.notes.append(["hand in", handed_table(handed)])
        door.on_disconnect = lambda: self.notes.append(["left", handed.id])
        if handed.id == "a1":
            door.answer(HTTPStatus.SERVICE_UNAVAILABLE, "full", Retry_After="1")

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        self.notes.append(["ended", ended_table(event)])

    def set_detached(
        self, name: str, out: bool, answer: Callable[[HTTPStatus, str], None]
    ) -> None:
        self.notes.append(["rotate", name, out])
        answer(HTTPStatus.OK, "detached\n")

    def reload(self) -> None:
        self.notes.append("reload")

    def source_lost(self) -> None:
        self.notes.append("alone")


def handed_table(h: SubmittedMessage) -> dict[str, object]:
    return {
        "id": h.id,
        "class": h.class_name,
        "destination": h.destination,
        "due": h.due_us,
        "key": h.key,
        "order key": h.order_key,
        "tenant": h.tenant,
        "resent": h.resent,
        "body": h.body.decode("latin-1"),
    }


def ended_table(e: AttemptFinished) -> dict[str, object]:
    report = e.load_report
    return {
        "message": e.message_id,
        "attempt": e.attempt,
        "target": e.endpoint,
        "outcome": e.outcome.value,
        "took": e.duration_us,
        "closed": e.message_closed,
        "wait": e.retry_after_us,
        "report": None
        if report is None
        else [report.remaining_share, report.limit_per_s],
        "weak": e.inconclusive,
    }


def action_table(a: Action) -> dict[str, object]:
    if isinstance(a, RecordOutage):  # the simulator's wire has none
        return {
            "type": "outage",
            "target": a.endpoint,
            "times": [a.started_at_us, a.recovered_at_us],
        }
    return encode_action("n0", a)


# What a dispatcher remembers


def played() -> World:
    world = World(SEED, Dispatcher)
    for _ in zip(range(ROUNDS), world.play(ROUNDS), strict=True):
        pass
    return world


def calls_out(world: World) -> set[tuple[str, int]]:
    return {(out.message, out.attempt) for out in world.out}


def remembered() -> dict[str, object]:
    world = played()
    return world.d.snapshot(calls_out(world))


def restored(memory: dict[str, object]) -> dict[str, object]:
    """What a new dispatcher does that is told all, and what it remembers then."""
    world = played()
    out = calls_out(world)
    dispatcher = Dispatcher(world.s, SEED, world.now)
    events = [*world.recalled(set()), SnapshotRestored(memory)]
    actions = dispatcher.handle(world.now, events)
    return {
        "actions": [action_table(a) for a in actions],
        "calls out": dispatcher.state.calls_in_flight,
        "memory": dispatcher.snapshot(out),
    }


async def held() -> HandoverMessage:
    """What a forwarder with such a dispatcher tells its successor."""
    with fixed_machine() as folder:
        engine = forwarder(folder)
        world = played()
        engine.dispatcher = world.d
        engine.endpoint_ids, engine.last_endpoint_id = {"h1": 1, "h2": 2, "gone": 3}, 3
        engine.recently_finished.update({"m90": None, "m91": None})
        engine.pool.retry_after_until = {
            ThrottleScopeKey(10, -1): FAR_US,
            ThrottleScopeKey(11, 3): FAR_US + 1,
            ThrottleScopeKey(12, 1): 5,
        }
        item = CallItem("", 0, None, b"", 0)
        for out in world.out:
            call = OutboundCall(out.target, ThrottleScopeKey(0, -1), out.sent, [item])
            engine.pool.calls[out.message, out.attempt] = call
        line = engine.handover_snapshot()
        assert line is not None
        return line


# The lines


def lines(data: bytes) -> list[bytes]:
    return data.splitlines(keepends=True)


def by_word(data: bytes) -> dict[str, bytes]:
    """The first line of each kind."""
    found: dict[str, bytes] = {}
    for line in lines(data):
        found.setdefault(next(iter(json.loads(line))), line)
    return found


async def old_side(
    memory: HandoverMessage, from_new: bytes
) -> tuple[bytes, list[object]]:
    """What the old process sends when it is sent these lines, and what it does."""
    engine = OldEngine(memory)
    predecessor, notes, told = engine.predecessor, engine.notes, by_word(from_new)
    link = HandoverConnection(predecessor.on_message, predecessor.on_disconnect)
    link.transport = transport = RecordingTransport()
    other = HandoverConnection(predecessor.on_message, predecessor.on_disconnect)
    other.transport = refused = RecordingTransport()
    link.data_received(told["ask"])
    other.data_received(told["ask"])
    link.data_received(told["prepared"])
    clients = [Client(handed.id, notes) for handed in HANDED]
    for handed, client in zip(HANDED, clients, strict=True):
        predecessor.submit(handed, client)
    leave = clients[1].on_disconnect
    assert leave is not None
    leave()
    for event in ENDED:
        predecessor.forward_outcome(event)
    rotate_client = Client("operator", notes)
    predecessor.set_detached("h1", True, rotate_client.answer)
    predecessor.reload()
    for word in ("answer", "rotated", "cancel"):
        link.data_received(told[word])
    return transport.sent + refused.sent, notes


async def new_side(from_old: bytes) -> tuple[bytes, list[object], HandoverMessage]:
    """What the new process sends when it is sent these lines, what it hears, and what
    it was told to remember."""
    successor = HandoverTarget()
    successor.connection.transport = transport = RecordingTransport()
    told = by_word(from_old)
    for word, answer in (("ask", "memory"), ("prepared", "yours")):
        request = asyncio.create_task(successor.send_request(word, 60.0))
        await asyncio.sleep(0)
        successor.connection.data_received(told[answer])
        assert await request
    rest = [line for line in lines(from_old) if line not in told.values()]
    rest = [told[w] for w in ("hand_in", "ended", "rotate", "reload")] + rest
    for line in rest[:1]:
        successor.connection.data_received(line)  # before there is an engine
    engine = NewEngine(successor)
    successor.attach(engine)
    for line in [*rest[1:], told["gone"]]:
        successor.connection.data_received(line)
    with fixed_machine() as folder:
        whole = forwarder(folder, successor)
        message, attempt = next(iter(whole.remote_calls))
        whole.complete_round(True, {}, [CancelAttempt(message, attempt)])
    return transport.sent, engine.notes, successor.snapshot


async def refused(from_old: bytes) -> bool:
    """Whether a process that is told no goes on as if nobody served."""
    successor = HandoverTarget()
    successor.connection.transport = RecordingTransport()
    request = asyncio.create_task(successor.send_request("ask", 60.0))
    await asyncio.sleep(0)
    successor.connection.data_received(by_word(from_old)["no"])
    return not await request


async def taken_up(memory: HandoverMessage) -> dict[str, object]:
    """What a whole forwarder goes on with, from what it was told to remember."""
    with fixed_machine() as folder:
        successor = HandoverTarget()
        successor.snapshot = memory
        engine = forwarder(folder, successor)
        module = [
            e.snapshot for e in engine.pending_events if isinstance(e, SnapshotRestored)
        ]
        return {
            "numbers": engine.endpoint_ids,
            "names": sorted(
                [number, name] for number, name in engine.endpoint_names.items()
            ),
            "numbered": engine.last_endpoint_id,
            "recent": list(engine.recently_finished),
            "waits": [
                [*place, until]
                for place, until in engine.pool.retry_after_until.items()
            ],
            "remote": [[*call, *sent] for call, sent in engine.remote_calls.items()],
            "module": module,
        }


async def talk() -> References:
    """Both sides, each answering the other's lines."""
    memory = await held()
    asking = b'{"ask":true}\n{"prepared":true}\n'
    rest = b'{"answer":[1,202,"",{}]}\n{"rotated":[3,200,""]}\n{"cancel":["m",0]}\n'
    from_old, _ = await old_side(memory, asking + rest)
    from_new, new_notes, _ = await new_side(from_old)
    from_old, old_notes = await old_side(memory, from_new)
    return {
        "handover-from-old": from_old,
        "handover-from-new": from_new,
        "handover-old-did": old_notes,
        "handover-new-did": new_notes,
        "handover-taken-up": await taken_up(memory),
    }


def made() -> References:
    memory: dict[str, object] = json.loads(json.dumps(remembered()))
    return {
        "memory": memory,
        "memory-restored": restored(memory),
        **asyncio.run(talk()),
    }
