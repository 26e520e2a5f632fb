"""Action and field names as recorded in replay.json, whose digests cover the actions' text."""

from __future__ import annotations

from collections.abc import Iterable

from rainfall.dispatch import (
    Action,
    CancelAttempt,
    CheckEndpointHealth,
    CloseIdleConnections,
    FailMessage,
    LogNote,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    SubscribeEndpointList,
)

ACTIONS: dict[type[Action], tuple[str, dict[str, str]]] = {
    SendMessage: (
        "Send",
        {"message_id": "message", "endpoint": "target", "timeout_us": "timeout_us"},
    ),
    RejectMessage: (
        "Refuse",
        {"message_id": "message", "retry_after_us": "wait_us"},
    ),
    FailMessage: ("Fail", {"message_id": "message"}),
    CancelAttempt: ("Cancel", {"message_id": "message", "attempt": "attempt"}),
    CheckEndpointHealth: ("Probe", {"endpoint": "target"}),
    CloseIdleConnections: ("CloseIdle", {"endpoint": "target"}),
    SetTimer: ("SetTimer", {"delay_us": "delay_us", "token": "token"}),
    SubscribeEndpointList: ("Subscribe", {}),
    LogNote: ("Note", {"text": "text"}),
    RecordOutage: (
        "Outage",
        {
            "endpoint": "target",
            "started_at_us": "since_us",
            "recovered_at_us": "back_us",
        },
    ),
}
"""Recorded name of each action type, and its fields in recorded order with recorded names."""


def recorded_name(action: Action) -> str:
    """Returns the recorded name of an action's type, under which replay.json counts it."""
    return ACTIONS[type(action)][0]


def recorded_text(actions: Iterable[Action]) -> str:
    """Returns the text of a list of actions in recorded names, as the digests cover it."""
    texts = []
    for action in actions:
        name, keys = ACTIONS[type(action)]
        values = [f"{key}={getattr(action, field)!r}" for field, key in keys.items()]
        texts.append(f"{name}({', '.join(values)})")
    return f"[{', '.join(texts)}]"
