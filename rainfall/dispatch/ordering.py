"""Sends the messages of an ordering key one at a time (WIRE, key order kept).

A message may be sent once the previous one has its final answer, that answer has been
acknowledged, and no attempt of it may still run. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.key_sequences import KeySequence
from rainfall.dispatch.queues import Message
from rainfall.dispatch.state import DispatcherState


def ensure_key_sequence(state: DispatcherState, key: str) -> KeySequence:
    """Return the sequence of an ordering key, creating it if there is none."""
    return state.key_sequences.setdefault(key, KeySequence())


def update_ready_head(state: DispatcherState, key: str) -> None:
    """Recompute whether the first message of a key may be sent.

    If it is blocked by a backoff, or the key has no work left, the time at which that
    changes is added to `state.key_backoffs` or `state.idle_keys`.
    """
    sequence = state.key_sequences[key]
    sequence.set_ready(_sendable_head(state, key, sequence))
    if not sequence.has_work():
        state.idle_keys.add(sequence.backoff_until, key)


def _sendable_head(
    state: DispatcherState, key: str, sequence: KeySequence
) -> Message | None:
    if not sequence.messages or sequence.in_flight or sequence.pending_notifications:
        return None
    head = sequence.head()
    # The backoff delays the next message, not the retries of the current one.
    if state.now < sequence.backoff_until and not head.attempts:
        state.key_backoffs.add(sequence.backoff_until, key)
        return None
    if head.class_queue is None or head.class_queue.key.exhausted:
        return None
    return head


def advance_key(state: DispatcherState, key: str) -> None:
    """Update the ready head of a key and schedule its destination for processing.

    The next message of a key may be for another destination than the previous one.
    """
    sequence = state.key_sequences[key]
    update_ready_head(state, key)
    blocked = sequence.in_flight or sequence.pending_notifications
    if sequence.messages and not blocked:
        destination = sequence.head().destination
        state.dirty_destinations.add(destination)
        state.wakeups.add(max(state.now, sequence.backoff_until), destination)


def add_pending_notification(state: DispatcherState, message_id: str, key: str) -> None:
    """Block an ordering key until the final answer of a message is acknowledged."""
    sequence = ensure_key_sequence(state, key)
    sequence.pending_notifications += state.pending_notifications.get(message_id) != key
    state.pending_notifications[message_id] = key
    update_ready_head(state, key)


def acknowledge_notification(state: DispatcherState, message_id: str) -> None:
    """Unblock the key of a message whose final answer was acknowledged."""
    if message_id in state.pending_notifications:
        key = state.pending_notifications.pop(message_id)
        state.key_sequences[key].pending_notifications -= 1
        advance_key(state, key)


def end_key_backoffs(state: DispatcherState) -> None:
    """Update the ready heads of the keys whose backoff has ended."""
    for key in state.key_backoffs.pop_due(state.now):
        state.work_count += 1
        if key in state.key_sequences:
            update_ready_head(state, key)


def prune_idle_keys(state: DispatcherState) -> None:
    """Remove the sequences of keys that have no work and no backoff."""
    for key in state.idle_keys.pop_due(state.now):
        state.work_count += 1
        sequence = state.key_sequences.get(key)
        if sequence is not None and not sequence.in_use(state.now):
            del state.key_sequences[key]
