"""Hosts dispatchers on the simulator's wire: JSON lines in, JSON lines out. Translates;
decides nothing.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CancelAttempt,
    CheckEndpointHealth,
    CloseIdleConnections,
    DestinationKind,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    EndpointState,
    Event,
    FailMessage,
    HealthCheckFinished,
    Idempotency,
    IdempotencyScope,
    LoadReport,
    LogNote,
    MessageClass,
    MessageReceived,
    MessageWithdrawn,
    Outcome,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    Settings,
    SubscribeEndpointList,
    Tenant,
    TimerExpired,
)

OUTCOMES = {
    "Ok": Outcome.DELIVERED,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.REJECTED,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.NO_CONNECTION,
    "ResetByPeer": Outcome.RESET,
    "Canceled": Outcome.CANCELED,
    "Ignored": Outcome.NOT_SENT,
}
STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
LISTS = {
    "INCREMENTAL": EndpointListKind.CHANGES,
    "FULL": EndpointListKind.SNAPSHOT,
    "SAVED": EndpointListKind.CACHED,
    "FAILED": EndpointListKind.FAILED,
}
EFFECTS = {
    "repeatable": Idempotency.ALWAYS,
    "by_key": Idempotency.WITH_KEY,
    "once": Idempotency.NEVER,
}
SCOPES = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.ALL,
}


class Malformed(Exception):
    """The input is not what the wire promises."""


def need(obj: Any, key: str, kind: type) -> Any:
    """The field, or Malformed where it is missing or of another type."""
    if not isinstance(obj, dict) or key not in obj:
        raise Malformed(f"no field {key!r} in {_brief(obj)}")
    value = obj[key]
    if kind is int and isinstance(value, float) and value.is_integer():
        value = int(value)
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise Malformed(
            f"field {key!r} is not of type {kind.__name__} in {_brief(obj)}"
        )
    return value


def word(table: dict[str, Any], obj: Any, key: str) -> Any:
    """The field, translated by a table of words."""
    value = need(obj, key, str)
    if value not in table:
        raise Malformed(f"field {key!r} has the unknown word {value!r}")
    return table[value]


def _brief(obj: Any) -> str:
    return repr(obj)[:80]


def settings(facts: dict[str, Any]) -> Settings:
    """The settings as the module knows them; keys it does not know are passed over."""
    allowed, contract = facts.get("allowed", {}), facts.get("contract", {})
    family = facts.get("family_info", {})
    batches, apart = family.get("kind_batch", []), family.get("routes_apart", [])
    names = facts.get("host_types", [])
    classes = tuple(
        MessageClass(
            name=need(c, "name", str),
            latency_objective_us=need(c, "aim_us", int),
            deadline_us=need(c, "deadline_us", int),
            idempotency=word(EFFECTS, c, "effect"),
            idempotency_scope=SCOPES.get(
                c.get("key_scope", ""), IdempotencyScope.ENDPOINT
            ),  # untold, only the same surely drops it
            idempotency_window_us=int(c.get("window_us", 0)),
            ordered=bool(c.get("by_arrival", False)),
            priority_weight=float(c.get("gain", 1.0)),
            late_priority_weight=float(c.get("late_worth", 0.0)),
        )
        for c in need(facts, "services", list)
    )
    kinds = tuple(
        DestinationKind(
            name=name,
            max_batch_size=int(batches[n]) if n < len(batches) else 1,
            endpoint_scoped=bool(apart[n]) if n < len(apart) else False,
        )
        for n, name in enumerate(names)
    )
    tenants = tuple(
        Tenant(need(t, "name", str), float(t.get("allowance_per_s", 0.0)))
        for t in facts.get("orgs") or []
    )
    return Settings(
        max_in_flight=need(family, "slots", int),
        classes=classes,
        destination_kinds=kinds,
        tenants=tenants,
        zone_costs=dict(
            zip(facts.get("zones", []), family.get("carriage") or [], strict=False)
        ),
        forwarder_count=int(facts.get("balancers", 1)),
        max_open_messages=int(allowed.get("max_open", 1_000_000)),
        max_attempts=int(allowed.get("max_attempts", 1_000_000)),
        allow_parallel_attempts=bool(allowed.get("parallel_tries", False)),
        allow_cancel=bool(allowed.get("may_cancel", False)),
        allow_health_checks=bool(allowed.get("probes", False)),
        send_retry_after=bool(allowed.get("retry_after", False)),
        max_retry_after_us=int(allowed.get("max_retry_after_us", 0)),
        subscribe_endpoint_list=facts.get("discovery") == "on_request",
        endpoint_weights_known=facts.get("weight_source") in ("nominal", "rough"),
        rejection_cost=float(family.get("turned_away_price", 0.0)),
        over_quota_weight=float(facts.get("over_share_worth", 1.0)),
        late_weight_halves=family.get("loses_worth") == "halves",
        answer_grace_us=int(contract.get("grace_to_answer_us", 0)),
        drain_grace_us=int(contract.get("drain_grace_us", 0)),
        poll_within_us=int(contract.get("ask_within_us", 0)),
        overload_factor=float(contract.get("overload_factor", 0.0)),
        overload_window_us=int(contract.get("fall_us", 0)),
        cold_capacity_share=float(contract.get("cold_from", 1.0)),
        warm_up_us=int(contract.get("warm_after_us", 0)),
        key_backoff_us=int(contract.get("key_rest_us", 0)),
        connect_timeout_us=int(allowed.get("dial_timeout_us", 0)),
        idle_connection_us=int(allowed.get("conn_idle_us", 0)),
    )


def entry(e: Any) -> EndpointEntry:
    """One line of a list of targets."""
    return EndpointEntry(
        endpoint=need(e, "target", int),
        destination=need(e, "belongs_to", int),
        zone=e.get("hall") or "",
        kind=e.get("kind") or "",
        state=word(STATES, e, "readiness"),
        weight=float(e.get("power_hint") or 0.0),
    )


def report(fields: list[str], e: dict[str, Any]) -> LoadReport | None:
    """What the destination told of its limit, if it did."""
    row = e.get("telemetry")
    if not row:
        return None
    told = dict(zip(fields, row, strict=False))
    if "x0" not in told or "x1" not in told:
        return None
    return LoadReport(float(told["x0"] or 0.0), float(told["x1"] or 0.0))


class Instance:
    """One forwarder: its dispatcher, and what is needed to read its events."""

    def __init__(self, up: dict[str, Any], now: int) -> None:
        facts = need(up, "facts", dict)
        self.fields: list[str] = list(
            (facts.get("telemetry") or {}).get("fields") or []
        )
        self.dispatcher = Dispatcher(settings(facts), need(up, "entropy", int), now)
        self.inbox: list[Event] = []


def _arrived(inst: Instance, e: Any) -> Event:
    account = e.get("account")
    return MessageReceived(
        message_id=need(e, "msg_id", str),
        destination=need(e, "dest", int),
        class_name=need(e, "class", str),
        deadline_us=need(e, "due_us", int),
        ordering_key=e.get("route_key"),
        tenant=account if isinstance(account, str) else None,
        resent=bool(e.get("resent", False)),
    )


def _ended(inst: Instance, e: Any) -> Event:
    outcome = word(OUTCOMES, e, "result")
    wait_ms = e.get("wait_ms") or 0
    return AttemptFinished(
        message_id=need(e, "msg_id", str),
        attempt=need(e, "try", int),
        endpoint=need(e, "target", int),
        outcome=outcome,
        duration_us=need(e, "lag_us", int),
        message_closed=bool(e.get("closed", False)),
        retry_after_us=-int(-wait_ms * 1000 // 1) if outcome is Outcome.REJECTED else 0,
        load_report=report(inst.fields, e),
    )


def _probed(inst: Instance, e: Any) -> Event:
    return HealthCheckFinished(
        need(e, "target", int),
        word(OUTCOMES, e, "result"),
        need(e, "lag_us", int),
        report(inst.fields, e),
    )


READERS: dict[str, Callable[[Instance, Any], Event]] = {
    "ASK": _arrived,
    "CLOSED_ATTEMPT": _ended,
    "CHECK_RESULT": _probed,
    "CLIENT_LEFT": lambda inst, e: MessageWithdrawn(need(e, "msg_id", str)),
    "DEADLINE_HIT": lambda inst, e: TimerExpired(need(e, "token", str)),
}


def action(name: str, a: Action) -> dict[str, Any]:
    """One action in the words of the wire."""
    if isinstance(a, SendMessage):
        return {
            "type": "ISSUE",
            "forwarder_id": name,
            "msg_id": a.message_id,
            "target": a.endpoint,
            "try_for_us": a.timeout_us,
        }
    if isinstance(a, SetTimer):
        return {
            "type": "ARM",
            "forwarder_id": name,
            "offset_us": a.delay_us,
            "token": a.token,
        }
    if isinstance(a, RejectMessage):
        return {
            "type": "TURN_AWAY",
            "forwarder_id": name,
            "msg_id": a.message_id,
            "wait_us": a.retry_after_us,
        }
    if isinstance(a, FailMessage):
        return {"type": "END_FAILED", "forwarder_id": name, "msg_id": a.message_id}
    if isinstance(a, CancelAttempt):
        return {
            "type": "ABANDON",
            "forwarder_id": name,
            "msg_id": a.message_id,
            "try": a.attempt,
        }
    if isinstance(a, CheckEndpointHealth):
        return {"type": "POLL", "forwarder_id": name, "target": a.endpoint}
    if isinstance(a, CloseIdleConnections):
        return {"type": "RELEASE", "forwarder_id": name, "target": a.endpoint}
    if isinstance(a, SubscribeEndpointList):
        return {"type": "STREAM_CHANGES", "forwarder_id": name, "on": True}
    assert isinstance(a, LogNote)
    return {"type": "PRINT", "forwarder_id": name, "reason_text": a.text}


class Host:
    """Many instances on one wire. They share nothing but the numbered tables of the
    wire itself.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.tables: dict[int, tuple[EndpointEntry, ...]] = {}

    def batch(self, line: str) -> str:
        try:
            told = json.loads(line)
        except ValueError as error:
            raise Malformed(f"not JSON: {error}") from None
        now = need(told, "clock_us", int)
        done: list[dict[str, Any]] = []
        touched: dict[str, Instance] = {}
        for event in need(told, "inbox", list):
            self.event(now, event, touched, done)
        for name, inst in touched.items():
            if self.instances.get(name) is not inst:
                continue
            inbox, inst.inbox = inst.inbox, []
            try:
                actions = inst.dispatcher.handle(now, inbox)
                # An instance of the simulator comes up empty: there is nothing to
                # remember an outage in.
                done.extend(
                    action(name, a) for a in actions if not isinstance(a, RecordOutage)
                )
            # any failure of the decisions is reported on the wire, in one line
            except Exception as error:
                done.append(fault(name, error))
        return json.dumps({"do": done}, separators=(",", ":"))

    def event(
        self,
        now: int,
        event: Any,
        touched: dict[str, Instance],
        done: list[dict[str, Any]],
    ) -> None:
        kind = need(event, "type", str)
        if kind == "TABLE":
            self.tables[need(event, "buffer", int)] = tuple(
                entry(e) for e in need(event, "elements", list)
            )
            return
        if kind not in ("UP", "DOWN", "MEMBERS") and kind not in READERS:
            return
        name = need(event, "forwarder_id", str)
        if kind == "DOWN":
            self.instances.pop(name, None)
            touched.pop(name, None)
            return
        if kind == "UP":
            self.instances.pop(
                name, None
            )  # whatever becomes of this one, none of before goes on
            touched.pop(name, None)
            try:
                self.instances[name] = touched[name] = Instance(event, now)
            except ValueError as error:
                done.append(fault(name, error))
            return
        if name not in self.instances:
            return
        inst = touched[name] = self.instances[name]
        if kind == "MEMBERS":
            how = word(LISTS, event, "how")
            entries: tuple[EndpointEntry, ...] = ()
            if how is not EndpointListKind.FAILED:
                number = need(event, "buffer", int)
                if number not in self.tables:
                    raise Malformed(f"no table {number} was given")
                entries = self.tables[number]
            inst.inbox.append(EndpointListChanged(how, entries))
        else:
            inst.inbox.append(READERS[kind](inst, event))


def fault(name: str, error: Exception) -> dict[str, Any]:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return {"type": "INTERNAL_ERROR", "forwarder_id": name, "reason_text": text}


def serve(source: TextIO, sink: TextIO) -> int:
    """Answer each line until the input ends."""
    host = Host()
    for line in source:
        try:
            reply = host.batch(line)
        except Malformed as error:
            print(f"rainfall: bad input: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
