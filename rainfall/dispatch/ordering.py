"""Messages of one ordering key go one after the other (WIRE, key order kept).

The next follows when the one before has its final answer, that answer has arrived, and
no attempt of it may still run. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.key_sequences import KeySequence
from rainfall.dispatch.queues import Message
from rainfall.dispatch.state import DispatcherState


def key_sequence(state: DispatcherState, key: str) -> KeySequence:
    """The sequence of an ordering key, a new one where there is none."""
    return state.key_sequences.setdefault(key, KeySequence())


def offer_head(state: DispatcherState, key: str) -> None:
    """Let the head of a key go unless the key blocks it.

    Where time ends that, it is noted.
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
    # A message that was tried already may be retried without a wait.
    if state.now < sequence.backoff_until and not head.attempts:
        state.key_backoffs.add(sequence.backoff_until, key)
        return None
    if head.class_queue is None or head.class_queue.key.exhausted:
        return None
    return head


def turn_to_next(state: DispatcherState, key: str) -> None:
    """The next message of a key may go now, perhaps to another destination."""
    sequence = state.key_sequences[key]
    offer_head(state, key)
    blocked = sequence.in_flight or sequence.pending_notifications
    if sequence.messages and not blocked:
        destination = sequence.head().destination
        state.dirty_destinations.add(destination)
        state.wakeups.add(max(state.now, sequence.backoff_until), destination)


def add_pending_notification(state: DispatcherState, message_id: str, key: str) -> None:
    """A final answer is on its way.

    Until it has arrived, its message is not over for those behind it.
    """
    sequence = key_sequence(state, key)
    sequence.pending_notifications += state.pending_notifications.get(message_id) != key
    state.pending_notifications[message_id] = key
    offer_head(state, key)


def acknowledge_notification(state: DispatcherState, message_id: str) -> None:
    """The final answer of a message has arrived."""
    if message_id in state.pending_notifications:
        key = state.pending_notifications.pop(message_id)
        state.key_sequences[key].pending_notifications -= 1
        turn_to_next(state, key)


def end_key_backoffs(state: DispatcherState) -> None:
    """Offer the heads of the keys whose backoff is over."""
    for key in state.key_backoffs.pop_due(state.now):
        state.work_count += 1
        if key in state.key_sequences:
            offer_head(state, key)


def forget_idle_keys(state: DispatcherState) -> None:
    """Forget the keys that have no messages and no backoff any more."""
    for key in state.idle_keys.pop_due(state.now):
        state.work_count += 1
        sequence = state.key_sequences.get(key)
        if sequence is not None and not sequence.in_use(state.now):
            del state.key_sequences[key]
