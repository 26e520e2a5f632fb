"""Every decision about a message: when, where and how often it is sent, and its end.

Nothing here does input or output: events and the time go in, actions come out. Begin
with `dispatcher.py`; what each rule reads and may do stands in docs/decisions.md.

Comments cite the given pages: PROTOCOL (the forwarder's HTTP), WIRE (the simulator's
wire, with the operating rules), TERMS, FLEET and LATER (what operators ask), PAPER (on
scheduling: Group EDF, Gr, D_multiplier, ExecTime) and DESIGN (what of it is used).
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
