"""Hosts dispatchers on the simulator's wire: JSON lines in, JSON lines out.

Translates; decides nothing.
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
from rainfall.errors import RainfallError

OUTCOME_BY_WORD = {
    "Ok": Outcome.DELIVERED,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.REJECTED,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.NO_CONNECTION,
    "ResetByPeer": Outcome.RESET,
    "Canceled": Outcome.CANCELED,
    "Ignored": Outcome.NOT_SENT,
}
ENDPOINT_STATE_BY_WORD = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
LIST_KIND_BY_WORD = {
    "INCREMENTAL": EndpointListKind.CHANGES,
    "FULL": EndpointListKind.SNAPSHOT,
    "SAVED": EndpointListKind.CACHED,
    "FAILED": EndpointListKind.FAILED,
}
EFFECT_BY_WORD = {
    "repeatable": Idempotency.ALWAYS,
    "by_key": Idempotency.WITH_KEY,
    "once": Idempotency.NEVER,
}
SCOPE_BY_WORD = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.ALL,
}


class MalformedInputError(RainfallError):
    """The input is not what the wire promises."""


def require_field(record: Any, key: str, kind: type) -> Any:
    """The field, or Malformed where it is missing or of another type."""
    if not isinstance(record, dict) or key not in record:
        raise MalformedInputError(f"no field {key!r} in {_brief(record)}")
    value = record[key]
    if kind is int and isinstance(value, float) and value.is_integer():
        value = int(value)
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise MalformedInputError(
            f"field {key!r} is not of type {kind.__name__} in {_brief(record)}"
        )
    return value


def translate_field(table: dict[str, Any], record: Any, key: str) -> Any:
    """The field, translated by a table of words."""
    value = require_field(record, key, str)
    if value not in table:
        raise MalformedInputError(f"field {key!r} has the unknown word {value!r}")
    return table[value]


def _brief(obj: Any) -> str:
    return repr(obj)[:80]


def parse_settings(facts: dict[str, Any]) -> Settings:
    """The settings as the module knows them; keys it does not know are passed over."""
    allowed, contract = facts.get("allowed", {}), facts.get("contract", {})
    family = facts.get("family_info", {})
    batches, routes_apart = family.get("kind_batch", []), family.get("routes_apart", [])
    names = facts.get("host_types", [])
    classes = tuple(
        MessageClass(
            name=require_field(service, "name", str),
            latency_objective_us=require_field(service, "aim_us", int),
            deadline_us=require_field(service, "deadline_us", int),
            idempotency=translate_field(EFFECT_BY_WORD, service, "effect"),
            idempotency_scope=SCOPE_BY_WORD.get(
                service.get("key_scope", ""), IdempotencyScope.ENDPOINT
            ),  # untold, only the same surely drops it
            idempotency_window_us=int(service.get("window_us", 0)),
            ordered=bool(service.get("by_arrival", False)),
            priority_weight=float(service.get("gain", 1.0)),
            late_priority_weight=float(service.get("late_worth", 0.0)),
        )
        for service in require_field(facts, "services", list)
    )
    kinds = tuple(
        DestinationKind(
            name=name,
            max_batch_size=int(batches[n]) if n < len(batches) else 1,
            endpoint_scoped=bool(routes_apart[n]) if n < len(routes_apart) else False,
        )
        for n, name in enumerate(names)
    )
    tenants = tuple(
        Tenant(require_field(org, "name", str), float(org.get("allowance_per_s", 0.0)))
        for org in facts.get("orgs") or []
    )
    return Settings(
        max_in_flight=require_field(family, "slots", int),
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


def parse_entry(element: Any) -> EndpointEntry:
    """One line of a list of targets."""
    return EndpointEntry(
        endpoint=require_field(element, "target", int),
        destination=require_field(element, "belongs_to", int),
        zone=element.get("hall") or "",
        kind=element.get("kind") or "",
        state=translate_field(ENDPOINT_STATE_BY_WORD, element, "readiness"),
        weight=float(element.get("power_hint") or 0.0),
    )


def parse_load_report(fields: list[str], event: dict[str, Any]) -> LoadReport | None:
    """What the destination told of its limit, if it did."""
    telemetry = event.get("telemetry")
    if not telemetry:
        return None
    values = dict(zip(fields, telemetry, strict=False))
    if "x0" not in values or "x1" not in values:
        return None
    return LoadReport(float(values["x0"] or 0.0), float(values["x1"] or 0.0))


class Instance:
    """One forwarder: its dispatcher, and what is needed to read its events."""

    def __init__(self, up: dict[str, Any], now: int) -> None:
        facts = require_field(up, "facts", dict)
        self.report_fields: list[str] = list(
            (facts.get("telemetry") or {}).get("fields") or []
        )
        self.dispatcher = Dispatcher(
            parse_settings(facts), require_field(up, "entropy", int), now
        )
        self.inbox: list[Event] = []


def _read_message(instance: Instance, event: Any) -> Event:
    account = event.get("account")
    return MessageReceived(
        message_id=require_field(event, "msg_id", str),
        destination=require_field(event, "dest", int),
        class_name=require_field(event, "class", str),
        deadline_us=require_field(event, "due_us", int),
        ordering_key=event.get("route_key"),
        tenant=account if isinstance(account, str) else None,
        resent=bool(event.get("resent", False)),
    )


def _read_attempt_end(instance: Instance, event: Any) -> Event:
    outcome = translate_field(OUTCOME_BY_WORD, event, "result")
    wait_ms = event.get("wait_ms") or 0
    return AttemptFinished(
        message_id=require_field(event, "msg_id", str),
        attempt=require_field(event, "try", int),
        endpoint=require_field(event, "target", int),
        outcome=outcome,
        duration_us=require_field(event, "lag_us", int),
        message_closed=bool(event.get("closed", False)),
        retry_after_us=-int(-wait_ms * 1000 // 1) if outcome is Outcome.REJECTED else 0,
        load_report=parse_load_report(instance.report_fields, event),
    )


def _read_probe_result(instance: Instance, event: Any) -> Event:
    return HealthCheckFinished(
        require_field(event, "target", int),
        translate_field(OUTCOME_BY_WORD, event, "result"),
        require_field(event, "lag_us", int),
        parse_load_report(instance.report_fields, event),
    )


EVENT_READERS: dict[str, Callable[[Instance, Any], Event]] = {
    "ASK": _read_message,
    "CLOSED_ATTEMPT": _read_attempt_end,
    "CHECK_RESULT": _read_probe_result,
    "CLIENT_LEFT": lambda inst, e: MessageWithdrawn(require_field(e, "msg_id", str)),
    "DEADLINE_HIT": lambda inst, e: TimerExpired(require_field(e, "token", str)),
}


def encode_action(name: str, action: Action) -> dict[str, Any]:
    """One action in the words of the wire."""
    if isinstance(action, SendMessage):
        return {
            "type": "ISSUE",
            "forwarder_id": name,
            "msg_id": action.message_id,
            "target": action.endpoint,
            "try_for_us": action.timeout_us,
        }
    if isinstance(action, SetTimer):
        return {
            "type": "ARM",
            "forwarder_id": name,
            "offset_us": action.delay_us,
            "token": action.token,
        }
    if isinstance(action, RejectMessage):
        return {
            "type": "TURN_AWAY",
            "forwarder_id": name,
            "msg_id": action.message_id,
            "wait_us": action.retry_after_us,
        }
    if isinstance(action, FailMessage):
        return {"type": "END_FAILED", "forwarder_id": name, "msg_id": action.message_id}
    if isinstance(action, CancelAttempt):
        return {
            "type": "ABANDON",
            "forwarder_id": name,
            "msg_id": action.message_id,
            "try": action.attempt,
        }
    if isinstance(action, CheckEndpointHealth):
        return {"type": "POLL", "forwarder_id": name, "target": action.endpoint}
    if isinstance(action, CloseIdleConnections):
        return {"type": "RELEASE", "forwarder_id": name, "target": action.endpoint}
    if isinstance(action, SubscribeEndpointList):
        return {"type": "STREAM_CHANGES", "forwarder_id": name, "on": True}
    assert isinstance(action, LogNote)
    return {"type": "PRINT", "forwarder_id": name, "reason_text": action.text}


class WireHost:
    """Many instances on one wire.

    They share nothing but the numbered tables of the wire itself.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.tables: dict[int, tuple[EndpointEntry, ...]] = {}

    def handle_line(self, line: str) -> str:
        try:
            request = json.loads(line)
        except ValueError as error:
            raise MalformedInputError(f"not JSON: {error}") from None
        now = require_field(request, "clock_us", int)
        replies: list[dict[str, Any]] = []
        touched: dict[str, Instance] = {}
        for event in require_field(request, "inbox", list):
            self.handle_event(now, event, touched, replies)
        for name, instance in touched.items():
            if self.instances.get(name) is not instance:
                continue
            inbox, instance.inbox = instance.inbox, []
            try:
                actions = instance.dispatcher.handle(now, inbox)
                # An instance of the simulator comes up empty: there is nothing to
                # remember an outage in.
                replies.extend(
                    encode_action(name, a)
                    for a in actions
                    if not isinstance(a, RecordOutage)
                )
            # any failure of the decisions is reported on the wire, in one line
            except Exception as error:
                replies.append(internal_error(name, error))
        return json.dumps({"do": replies}, separators=(",", ":"))

    def handle_event(
        self,
        now: int,
        event: Any,
        touched: dict[str, Instance],
        replies: list[dict[str, Any]],
    ) -> None:
        kind = require_field(event, "type", str)
        if kind == "TABLE":
            self.tables[require_field(event, "buffer", int)] = tuple(
                parse_entry(e) for e in require_field(event, "elements", list)
            )
            return
        if kind not in ("UP", "DOWN", "MEMBERS") and kind not in EVENT_READERS:
            return
        name = require_field(event, "forwarder_id", str)
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
                replies.append(internal_error(name, error))
            return
        if name not in self.instances:
            return
        instance = touched[name] = self.instances[name]
        if kind == "MEMBERS":
            list_kind = translate_field(LIST_KIND_BY_WORD, event, "how")
            entries: tuple[EndpointEntry, ...] = ()
            if list_kind is not EndpointListKind.FAILED:
                number = require_field(event, "buffer", int)
                if number not in self.tables:
                    raise MalformedInputError(f"no table {number} was given")
                entries = self.tables[number]
            instance.inbox.append(EndpointListChanged(list_kind, entries))
        else:
            instance.inbox.append(EVENT_READERS[kind](instance, event))


def internal_error(name: str, error: Exception) -> dict[str, Any]:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return {"type": "INTERNAL_ERROR", "forwarder_id": name, "reason_text": text}


def serve(source: TextIO, sink: TextIO) -> int:
    """Answer each line until the input ends."""
    host = WireHost()
    for line in source:
        try:
            reply = host.handle_line(line)
        except MalformedInputError as error:
            print(f"rainfall: bad input: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
