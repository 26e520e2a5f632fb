"""The names under which replay.json has recorded actions: its digests are over their text."""

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
"""Each action's recorded name, and its fields in recorded order with their names."""


def recorded_name(action: Action) -> str:
    """The name under which an action's kind is counted."""
    return ACTIONS[type(action)][0]


def recorded_text(actions: Iterable[Action]) -> str:
    """The text that a list of actions was recorded as."""
    texts = []
    for action in actions:
        name, keys = ACTIONS[type(action)]
        values = [f"{key}={getattr(action, field)!r}" for field, key in keys.items()]
        texts.append(f"{name}({', '.join(values)})")
    return f"[{', '.join(texts)}]"
