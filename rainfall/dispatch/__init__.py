"""Decides when, where and how often each message is sent, and its final answer.

The package does no I/O: events and the current time go in, actions come out. Start
reading at `dispatcher.py`; docs/decisions.md lists the inputs and effects of each rule.

Comments cite these specifications: PROTOCOL (the forwarder's HTTP interface), WIRE (the
simulator's wire format and the operating rules), TERMS, FLEET and LATER (operator
requirements), PAPER (the scheduling paper with Group EDF, Gr, D_multiplier and
ExecTime) and DESIGN (the parts of the paper that are used).
"""

from rainfall.dispatch.actions import (
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
from rainfall.dispatch.dispatcher import Dispatcher
from rainfall.dispatch.events import (
    AttemptFinished,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    EndpointState,
    Event,
    HealthCheckFinished,
    LoadReport,
    MessageReceived,
    MessageRestored,
    MessageWithdrawn,
    NotificationAcknowledged,
    NotificationPending,
    OutageRestored,
    QuotaChanged,
    SettingsChanged,
    SnapshotRestored,
    TimerExpired,
)
from rainfall.dispatch.outcomes import NEVER_EXECUTED, Outcome
from rainfall.dispatch.settings import (
    DestinationKind,
    Idempotency,
    IdempotencyScope,
    MessageClass,
    Settings,
    Tenant,
)

__all__ = [
    "NEVER_EXECUTED",
    "Action",
    "AttemptFinished",
    "CancelAttempt",
    "CheckEndpointHealth",
    "CloseIdleConnections",
    "DestinationKind",
    "Dispatcher",
    "EndpointDisabled",
    "EndpointEnabled",
    "EndpointEntry",
    "EndpointListChanged",
    "EndpointListKind",
    "EndpointState",
    "Event",
    "FailMessage",
    "HealthCheckFinished",
    "Idempotency",
    "IdempotencyScope",
    "LoadReport",
    "LogNote",
    "MessageClass",
    "MessageReceived",
    "MessageRestored",
    "MessageWithdrawn",
    "NotificationAcknowledged",
    "NotificationPending",
    "OutageRestored",
    "Outcome",
    "QuotaChanged",
    "RecordOutage",
    "RejectMessage",
    "SendMessage",
    "SetTimer",
    "Settings",
    "SettingsChanged",
    "SnapshotRestored",
    "SubscribeEndpointList",
    "Tenant",
    "TimerExpired",
]
