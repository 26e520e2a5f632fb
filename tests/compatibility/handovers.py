"""The lines that two processes exchange during a handover, and dispatcher snapshots."""

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
"""Seed and rounds after which the dispatcher has an entry in every part of its snapshot."""
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
    """Records the bytes written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""
        self.closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.sent += bytes(data)

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        self.closed = True


class Client:
    """A client whose request is forwarded to the other process; it records its answer."""

    def __init__(self, name: str, notes: list[object]) -> None:
        self.name, self.notes = name, notes
        self.on_disconnect: Callable[[], None] | None = None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        self.notes.append([self.name, status.value, text, headers])


class OldEngine:
    """The engine of the serving process; it records the calls that the handover source makes."""

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
    """The engine of the process that takes over; it records the calls it receives."""

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


def handed_table(message: SubmittedMessage) -> dict[str, object]:
    return {
        "id": message.id,
        "class": message.class_name,
        "destination": message.destination,
        "due": message.due_us,
        "key": message.key,
        "order key": message.order_key,
        "tenant": message.tenant,
        "resent": message.resent,
        "body": message.body.decode("latin-1"),
    }


def ended_table(event: AttemptFinished) -> dict[str, object]:
    report = event.load_report
    return {
        "message": event.message_id,
        "attempt": event.attempt,
        "target": event.endpoint,
        "outcome": event.outcome.value,
        "took": event.duration_us,
        "closed": event.message_closed,
        "wait": event.retry_after_us,
        "report": None
        if report is None
        else [report.remaining_share, report.limit_per_s],
        "weak": event.inconclusive,
    }


def action_table(action: Action) -> dict[str, object]:
    if isinstance(
        action, RecordOutage
    ):  # the simulator's wire format has no such action
        return {
            "type": "outage",
            "target": action.endpoint,
            "times": [action.started_at_us, action.recovered_at_us],
        }
    return encode_action("n0", action)


# Dispatcher snapshots


def played() -> World:
    world = World(SEED, Dispatcher)
    for _ in zip(range(ROUNDS), world.play(ROUNDS), strict=True):
        pass
    return world


def calls_out(world: World) -> set[tuple[str, int]]:
    return {(out.message, out.attempt) for out in world.in_flight}


def remembered() -> dict[str, object]:
    world = played()
    return world.dispatcher.snapshot(calls_out(world))


def restored(memory: dict[str, object]) -> dict[str, object]:
    """Restores the messages and a snapshot in a new dispatcher.

    Returns its actions, its calls in flight and its own snapshot afterwards.
    """
    world = played()
    out = calls_out(world)
    dispatcher = Dispatcher(world.s, SEED, world.now)
    events = [*world.restore_events(set()), SnapshotRestored(memory)]
    actions = dispatcher.handle(world.now, events)
    return {
        "actions": [action_table(a) for a in actions],
        "calls out": dispatcher.state.calls_in_flight,
        "memory": dispatcher.snapshot(out),
    }


async def held() -> HandoverMessage:
    """Returns the snapshot that a forwarder with such a dispatcher sends to its successor."""
    with fixed_machine() as folder:
        engine = forwarder(folder)
        world = played()
        engine.dispatcher = world.dispatcher
        engine.endpoint_ids, engine.last_endpoint_id = {"h1": 1, "h2": 2, "gone": 3}, 3
        engine.recently_finished.update({"m90": None, "m91": None})
        engine.pool.retry_after_until = {
            ThrottleScopeKey(10, -1): FAR_US,
            ThrottleScopeKey(11, 3): FAR_US + 1,
            ThrottleScopeKey(12, 1): 5,
        }
        item = CallItem("", 0, None, b"", 0)
        for out in world.in_flight:
            call = OutboundCall(out.target, ThrottleScopeKey(0, -1), out.sent, [item])
            engine.pool.calls[out.message, out.attempt] = call
        line = engine.handover_snapshot()
        assert line is not None
        return line


# Handover lines


def lines(data: bytes) -> list[bytes]:
    return data.splitlines(keepends=True)


def by_word(data: bytes) -> dict[str, bytes]:
    """Returns the first line of each type, by the word that names the type."""
    found: dict[str, bytes] = {}
    for line in lines(data):
        found.setdefault(next(iter(json.loads(line))), line)
    return found


async def old_side(
    memory: HandoverMessage, from_new: bytes
) -> tuple[bytes, list[object]]:
    """Feeds the new process's lines to the source; returns its output and the engine calls."""
    engine = OldEngine(memory)
    predecessor, notes, lines_by_word = (
        engine.predecessor,
        engine.notes,
        by_word(from_new),
    )
    link = HandoverConnection(predecessor.on_message, predecessor.on_disconnect)
    link.transport = transport = RecordingTransport()
    second_link = HandoverConnection(predecessor.on_message, predecessor.on_disconnect)
    second_link.transport = second_transport = RecordingTransport()
    link.data_received(lines_by_word["ask"])
    second_link.data_received(lines_by_word["ask"])
    link.data_received(lines_by_word["prepared"])
    clients = [Client(handed.id, notes) for handed in HANDED]
    for handed, client in zip(HANDED, clients, strict=True):
        predecessor.submit(handed, client)
    on_disconnect = clients[1].on_disconnect
    assert on_disconnect is not None
    on_disconnect()
    for event in ENDED:
        predecessor.forward_outcome(event)
    rotate_client = Client("operator", notes)
    predecessor.set_detached("h1", True, rotate_client.answer)
    predecessor.reload()
    for line_type in ("answer", "rotated", "cancel"):
        link.data_received(lines_by_word[line_type])
    return transport.sent + second_transport.sent, notes


async def new_side(from_old: bytes) -> tuple[bytes, list[object], HandoverMessage]:
    """Feeds the old process's lines to the target.

    Returns its output, the engine calls and the snapshot it received.
    """
    successor = HandoverTarget()
    successor.connection.transport = transport = RecordingTransport()
    lines_by_word = by_word(from_old)
    for request_type, answer in (("ask", "memory"), ("prepared", "yours")):
        request = asyncio.create_task(successor.send_request(request_type, 60.0))
        await asyncio.sleep(0)
        successor.connection.data_received(lines_by_word[answer])
        assert await request
    rest = [line for line in lines(from_old) if line not in lines_by_word.values()]
    rest = [lines_by_word[w] for w in ("hand_in", "ended", "rotate", "reload")] + rest
    for line in rest[:1]:
        successor.connection.data_received(line)  # arrives before an engine is attached
    engine = NewEngine(successor)
    successor.attach(engine)
    for line in [*rest[1:], lines_by_word["gone"]]:
        successor.connection.data_received(line)
    with fixed_machine() as folder:
        engine_with_calls = forwarder(folder, successor)
        message, attempt = next(iter(engine_with_calls.remote_calls))
        engine_with_calls.complete_round(True, {}, [CancelAttempt(message, attempt)])
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
    """Runs both sides, each on the output of the other, and returns the references."""
    memory = await held()
    requests = b'{"ask":true}\n{"prepared":true}\n'
    answers = b'{"answer":[1,202,"",{}]}\n{"rotated":[3,200,""]}\n{"cancel":["m",0]}\n'
    from_old, _ = await old_side(memory, requests + answers)
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
