"""Runs dispatchers for the simulator: JSON lines on stdin, JSON lines on stdout.

This module only translates between the wire format (WIRE) and the dispatcher's types.
Times on the wire are integer microseconds unless their key says otherwise.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
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
"""Outcomes by the `result` of an attempt or health check on the wire."""
ENDPOINT_STATE_BY_WORD = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
"""Endpoint states by the `readiness` of a list entry on the wire."""
LIST_KIND_BY_WORD = {
    "INCREMENTAL": EndpointListKind.CHANGES,
    "FULL": EndpointListKind.SNAPSHOT,
    "SAVED": EndpointListKind.CACHED,
    "FAILED": EndpointListKind.FAILED,
}
"""Kinds of endpoint lists by the `how` of a `MEMBERS` event on the wire."""
IDEMPOTENCY_BY_WORD = {
    "repeatable": Idempotency.ALWAYS,
    "by_key": Idempotency.WITH_KEY,
    "once": Idempotency.AT_MOST_ONCE,
}
"""Idempotency by the `effect` of a message class on the wire."""
SCOPE_BY_WORD = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.ALL,
}
"""Idempotency scopes by the `key_scope` of a message class on the wire."""
UNLIMITED_COUNT = 1_000_000
"""Value of limits that the facts do not set."""
QUOTED_RECORD_LENGTH = 80
"""Number of characters of a malformed record that error messages quote."""
EXIT_BAD_INPUT = 2
"""Exit status after malformed input."""


class MalformedInputError(RainfallError):
    """The input does not conform to the wire format."""


def require_field(record: Any, key: str, kind: type) -> Any:
    """Return a field of a record, which must have the type `kind`.

    Whole numbers are converted between int and float as required.

    Raises:
        MalformedInputError: The record is no object, or the field is missing or of
            another type.
    """
    if not isinstance(record, dict) or key not in record:
        raise MalformedInputError(f"missing field {key!r} in {_quote_record(record)}")
    value = record[key]
    if kind is int and isinstance(value, float) and value.is_integer():
        value = int(value)
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise MalformedInputError(
            f"field {key!r} is not of type {kind.__name__} in {_quote_record(record)}"
        )
    return value


def translate_field(table: dict[str, Any], record: Any, key: str) -> Any:
    """Return the table entry for the string in a field of a record.

    Raises:
        MalformedInputError: The field is missing or no string, or the string is not in
            the table.
    """
    value = require_field(record, key, str)
    if value not in table:
        raise MalformedInputError(f"field {key!r} has the unknown word {value!r}")
    return table[value]


def _quote_record(record: Any) -> str:
    return repr(record)[:QUOTED_RECORD_LENGTH]


def _parse_class(class_fields: Any) -> MessageClass:
    return MessageClass(
        name=require_field(class_fields, "name", str),
        latency_objective_us=require_field(class_fields, "aim_us", int),
        deadline_us=require_field(class_fields, "deadline_us", int),
        idempotency=translate_field(IDEMPOTENCY_BY_WORD, class_fields, "effect"),
        # Without a scope, only the endpoint itself is certain to recognize a duplicate.
        idempotency_scope=SCOPE_BY_WORD.get(
            class_fields.get("key_scope", ""), IdempotencyScope.ENDPOINT
        ),
        idempotency_window_us=int(class_fields.get("window_us", 0)),
        ordered=bool(class_fields.get("by_arrival", False)),
        priority_weight=float(class_fields.get("gain", 1.0)),
        late_priority_weight=float(class_fields.get("late_worth", 0.0)),
    )


def _parse_kinds(facts: dict[str, Any]) -> tuple[DestinationKind, ...]:
    family_info = facts.get("family_info", {})
    batch_sizes = family_info.get("kind_batch", [])
    endpoint_scoped = family_info.get("routes_apart", [])
    return tuple(
        DestinationKind(
            name=name,
            max_batch_size=int(batch_sizes[index]) if index < len(batch_sizes) else 1,
            endpoint_scoped=index < len(endpoint_scoped)
            and bool(endpoint_scoped[index]),
        )
        for index, name in enumerate(facts.get("host_types", []))
    )


def _parse_tenant(tenant_fields: Any) -> Tenant:
    return Tenant(
        require_field(tenant_fields, "name", str),
        float(tenant_fields.get("allowance_per_s", 0.0)),
    )


def parse_settings(facts: dict[str, Any]) -> Settings:
    """Return the dispatcher's settings from the facts; unknown keys are ignored.

    Raises:
        MalformedInputError: A required fact is missing or of another type.
        ValueError: A setting is invalid.
    """
    allowed = facts.get("allowed", {})
    contract = facts.get("contract", {})
    family_info = facts.get("family_info", {})
    classes = tuple(map(_parse_class, require_field(facts, "services", list)))
    kinds = _parse_kinds(facts)
    tenants = tuple(map(_parse_tenant, facts.get("orgs") or []))
    return Settings(
        max_in_flight=require_field(family_info, "slots", int),
        classes=classes,
        destination_kinds=kinds,
        tenants=tenants,
        zone_costs=dict(
            zip(facts.get("zones", []), family_info.get("carriage") or [], strict=False)
        ),
        forwarder_count=int(facts.get("balancers", 1)),
        max_open_messages=int(allowed.get("max_open", UNLIMITED_COUNT)),
        max_attempts=int(allowed.get("max_attempts", UNLIMITED_COUNT)),
        allow_parallel_attempts=bool(allowed.get("parallel_tries", False)),
        allow_cancel=bool(allowed.get("may_cancel", False)),
        allow_health_checks=bool(allowed.get("probes", False)),
        send_retry_after=bool(allowed.get("retry_after", False)),
        max_retry_after_us=int(allowed.get("max_retry_after_us", 0)),
        subscribe_endpoint_list=facts.get("discovery") == "on_request",
        endpoint_weights_known=facts.get("weight_source") in ("nominal", "rough"),
        rejection_cost=float(family_info.get("turned_away_price", 0.0)),
        over_quota_weight=float(facts.get("over_share_worth", 1.0)),
        late_weight_halves=family_info.get("loses_worth") == "halves",
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
    """Return one entry of an endpoint list.

    Raises:
        MalformedInputError: A required field is missing or malformed.
    """
    return EndpointEntry(
        endpoint=require_field(element, "target", int),
        destination=require_field(element, "belongs_to", int),
        zone=element.get("hall") or "",
        kind=element.get("kind") or "",
        state=translate_field(ENDPOINT_STATE_BY_WORD, element, "readiness"),
        weight=float(element.get("power_hint") or 0.0),
    )


def parse_load_report(fields: list[str], event: dict[str, Any]) -> LoadReport | None:
    """Return the load report of a response, or None if there is none.

    `fields` names the values in the event's `telemetry`. Of these, `x0` is the unused
    fraction of the rate limit, and `x1` the limit in calls per second.
    """
    telemetry = event.get("telemetry")
    if not telemetry:
        return None
    values = dict(zip(fields, telemetry, strict=False))
    if "x0" not in values or "x1" not in values:
        return None
    return LoadReport(float(values["x0"] or 0.0), float(values["x1"] or 0.0))


class Instance:
    """One forwarder of the simulator: its dispatcher and its pending events."""

    def __init__(self, up_event: dict[str, Any], now: int) -> None:
        facts = require_field(up_event, "facts", dict)
        self.report_fields: list[str] = list(
            (facts.get("telemetry") or {}).get("fields") or []
        )
        self.dispatcher = Dispatcher(
            parse_settings(facts), require_field(up_event, "entropy", int), now
        )
        self.inbox: list[Event] = []
        """Events of the current line that the dispatcher has not handled yet."""


def _read_message(instance: Instance, event: Any) -> Event:
    del instance
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


def _read_attempt_finished(instance: Instance, event: Any) -> Event:
    outcome = translate_field(OUTCOME_BY_WORD, event, "result")
    wait_ms = event.get("wait_ms") or 0
    return AttemptFinished(
        message_id=require_field(event, "msg_id", str),
        attempt=require_field(event, "try", int),
        endpoint=require_field(event, "target", int),
        outcome=outcome,
        duration_us=require_field(event, "lag_us", int),
        message_closed=bool(event.get("closed", False)),
        # Rounded up: a retry must not come before the wait is over.
        retry_after_us=-int(-wait_ms * 1000 // 1) if outcome is Outcome.REJECTED else 0,
        load_report=parse_load_report(instance.report_fields, event),
    )


def _read_health_check(instance: Instance, event: Any) -> Event:
    return HealthCheckFinished(
        require_field(event, "target", int),
        translate_field(OUTCOME_BY_WORD, event, "result"),
        require_field(event, "lag_us", int),
        parse_load_report(instance.report_fields, event),
    )


def _read_withdrawal(instance: Instance, event: Any) -> Event:
    del instance
    return MessageWithdrawn(require_field(event, "msg_id", str))


def _read_timer(instance: Instance, event: Any) -> Event:
    del instance
    return TimerExpired(require_field(event, "token", str))


EVENT_READERS: dict[str, Callable[[Instance, Any], Event]] = {
    "ASK": _read_message,
    "CLOSED_ATTEMPT": _read_attempt_finished,
    "CHECK_RESULT": _read_health_check,
    "CLIENT_LEFT": _read_withdrawal,
    "DEADLINE_HIT": _read_timer,
}
"""Functions that convert an event for an instance's dispatcher, by type on the wire."""


def _encode_fields(action: Action) -> tuple[str, dict[str, Any]]:
    """Return the type of an action on the wire, and its fields in order."""
    match action:
        case SendMessage():
            return "ISSUE", {
                "msg_id": action.message_id,
                "target": action.endpoint,
                "try_for_us": action.timeout_us,
            }
        case SetTimer():
            return "ARM", {"offset_us": action.delay_us, "token": action.token}
        case RejectMessage():
            return "TURN_AWAY", {
                "msg_id": action.message_id,
                "wait_us": action.retry_after_us,
            }
        case FailMessage():
            return "END_FAILED", {"msg_id": action.message_id}
        case CancelAttempt():
            return "ABANDON", {"msg_id": action.message_id, "try": action.attempt}
        case CheckEndpointHealth():
            return "POLL", {"target": action.endpoint}
        case CloseIdleConnections():
            return "RELEASE", {"target": action.endpoint}
        case SubscribeEndpointList():
            return "STREAM_CHANGES", {"on": True}
    assert isinstance(action, LogNote)
    return "PRINT", {"reason_text": action.text}


def encode_action(name: str, action: Action) -> dict[str, Any]:
    """Return the JSON object of an action of the named forwarder."""
    kind, fields = _encode_fields(action)
    return {"type": kind, "forwarder_id": name, **fields}


def internal_error(name: str, error: Exception) -> dict[str, Any]:
    """Return the JSON object that reports an exception in the named forwarder."""
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return {"type": "INTERNAL_ERROR", "forwarder_id": name, "reason_text": text}


class WireHost:
    """Runs many forwarders, which share only the numbered endpoint lists."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.tables: dict[int, tuple[EndpointEntry, ...]] = {}
        """Endpoint lists by the number under which a `TABLE` event provided them."""

    def handle_line(self, line: str) -> str:
        """Handle one line of events and return the line with the resulting actions.

        Raises:
            MalformedInputError: The line does not conform to the wire format.
        """
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
            if self.instances.get(name) is instance:
                replies.extend(self._run_instance(name, instance, now))
        return json.dumps({"do": replies}, separators=(",", ":"))

    def _run_instance(
        self, name: str, instance: Instance, now: int
    ) -> Iterable[dict[str, Any]]:
        """Run a dispatcher's round with its pending events, and yield the actions."""
        inbox = instance.inbox
        instance.inbox = []
        try:
            for action in instance.dispatcher.handle(now, inbox):
                # Forwarders of the simulator always start empty and have no storage in
                # which an outage could be recorded.
                if not isinstance(action, RecordOutage):
                    yield encode_action(name, action)
        # Every exception of a dispatcher is reported on the wire as a single action.
        except Exception as error:
            yield internal_error(name, error)

    def handle_event(
        self,
        now: int,
        event: Any,
        touched: dict[str, Instance],
        replies: list[dict[str, Any]],
    ) -> None:
        """Handle one event of a line, or queue it for its dispatcher.

        Events of unknown types and for unknown forwarders are ignored.

        Args:
            now: The time of the line, in microseconds.
            event: The decoded event.
            touched: Forwarders with events in this line, by name. The event's forwarder
                is added, or removed if it stops.
            replies: JSON objects of the reply. An error is added if a forwarder cannot
                start.

        Raises:
            MalformedInputError: The event does not conform to the wire format.
        """
        kind = require_field(event, "type", str)
        if kind == "TABLE":
            self._add_table(event)
            return
        if kind not in ("UP", "DOWN", "MEMBERS") and kind not in EVENT_READERS:
            return
        name = require_field(event, "forwarder_id", str)
        if kind in ("UP", "DOWN"):
            # A restarted forwarder keeps nothing of its previous instance, even if it
            # fails to start.
            self.instances.pop(name, None)
            touched.pop(name, None)
            if kind == "UP":
                self._start_instance(name, event, now, touched, replies)
            return
        if name not in self.instances:
            return
        instance = self.instances[name]
        touched[name] = instance
        if kind == "MEMBERS":
            instance.inbox.append(self._read_list_change(event))
        else:
            instance.inbox.append(EVENT_READERS[kind](instance, event))

    def _add_table(self, event: Any) -> None:
        entries = tuple(map(parse_entry, require_field(event, "elements", list)))
        self.tables[require_field(event, "buffer", int)] = entries

    def _start_instance(
        self,
        name: str,
        event: Any,
        now: int,
        touched: dict[str, Instance],
        replies: list[dict[str, Any]],
    ) -> None:
        try:
            instance = Instance(event, now)
        except ValueError as error:
            replies.append(internal_error(name, error))
            return
        self.instances[name] = instance
        touched[name] = instance

    def _read_list_change(self, event: Any) -> EndpointListChanged:
        list_kind = translate_field(LIST_KIND_BY_WORD, event, "how")
        if list_kind is EndpointListKind.FAILED:
            return EndpointListChanged(list_kind, ())
        number = require_field(event, "buffer", int)
        if number not in self.tables:
            raise MalformedInputError(f"unknown table number: {number}")
        return EndpointListChanged(list_kind, self.tables[number])


def serve(source: TextIO, sink: TextIO) -> int:
    """Reply to each line until the end of input, and return the exit status."""
    host = WireHost()
    for line in source:
        try:
            reply = host.handle_line(line)
        except MalformedInputError as error:
            print(f"rainfall: bad input: {error}", file=sys.stderr)
            return EXIT_BAD_INPUT
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
