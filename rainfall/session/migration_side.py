"""Base of the two sides of a migration: states with time limits."""

from __future__ import annotations

from rainfall.session import states as s
from rainfall.session.states import Actions, Limits, MigrationState


class MigrationSide:
    """One side of a migration, as a state machine without input or output."""

    limits: Limits
    state: MigrationState
    state_entered_at_us: int
    state_deadline_us: int | None

    def handle_event(self, event: object, now_us: int) -> Actions:
        """Return the actions for an event; an event without a handler is ignored."""
        raise NotImplementedError

    def _time_limits_us(self) -> dict[MigrationState, int]:
        """Return the time limits of the states that have one, in microseconds."""
        raise NotImplementedError

    def tick(self, now_us: int) -> Actions:
        """Raise `Timeout` once the state's time limit has passed, and `Retry` otherwise.

        To be called every `retry_us`.
        """
        is_over = (
            self.state_deadline_us is not None and now_us >= self.state_deadline_us
        )
        event = s.Timeout() if is_over else s.Retry()
        return self.handle_event(event, now_us)

    def _enter(self, state: MigrationState, now_us: int) -> None:
        time_limit_us = self._time_limits_us().get(state)
        self.state = state
        self.state_entered_at_us = now_us
        self.state_deadline_us = None
        if time_limit_us is not None:
            self.state_deadline_us = now_us + time_limit_us
