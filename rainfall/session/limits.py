"""Limits of migrations, which the configuration may set."""

from __future__ import annotations

from dataclasses import dataclass, fields

HIGHEST_DRIFT = 0.5
"""Upper bound of `drift`; with clock rates this far apart no deadline is reliable."""
ORDERED_LIMITS = (
    ("calls_us", "freeze_us"),
    ("retry_us", "offer_us"),
    ("hold_bytes", "all_bytes"),
    ("session_bytes", "all_bytes"),
    ("offer_us", "least_left_us"),
    ("tail_us", "commit_us"),
)
"""Pairs of limits; the first must be below the second."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of migrations; the field names are keys of the configuration.

    Names with `_us` are microseconds, those with `bytes` bytes, the others counts.
    """

    offer_us: int = 200_000
    """Time limit of an offer; a later answer is ignored. It also bounds how much earlier
    a deadline is by the target's clock.
    """
    calls_us: int = 300_000
    """How long the source waits for calls in flight before it closes them."""
    freeze_us: int = 600_000
    """How long the session may stay frozen before its copy is sent."""
    copy_us: int = 1_000_000
    """How long the target may take to store the copy."""
    commit_us: int = 600_000_000
    """Time limit of a migration in doubt. It exceeds the lifetime of any message, so an
    ownership that stays undecided that long concerns no live message.
    """
    tail_us: int = 30_000_000
    """How long the source forwards messages to the new owner."""
    retry_us: int = 100_000
    """Interval between `Retry` events."""
    ask_us: int = 500_000
    """Time in doubt after which a side requests the arbiter's verdict."""
    hold_us: int = 250_000
    """How long a client's message is buffered; clients disconnect after 400 ms."""
    hold_messages: int = 64
    """Most messages that one migration buffers."""
    hold_bytes: int = 1 << 20
    """Most bytes of messages that one migration buffers."""
    refuse_us: int = 500_000
    """Retry-After of messages rejected during a migration."""
    least_left_us: int = 1_000_000
    """No session is migrated while one of its messages expires sooner than that."""
    session_messages: int = 1_000
    """Most messages of a session that is migrated."""
    session_bytes: int = 8 << 20
    """Most bytes of a session that is migrated."""
    memory: int = 256
    """Most remembered ids that are transferred; the newest are kept."""
    at_once: int = 8
    """Most migrations at a time, for each direction."""
    all_bytes: int = 32 << 20
    """Most bytes of all migrations together, for each direction."""
    drift: float = 0.02
    """How much two clocks may differ in rate, as a fraction."""

    def validation_errors(self) -> list[str]:
        """Return the violated constraints, each text starting with the field's name."""
        errors = [
            f"{limit.name}: must be above 0"
            for limit in fields(self)
            if not getattr(self, limit.name) > 0
        ]
        errors += [
            f"{low}: must be below {high}"
            for low, high in ORDERED_LIMITS
            if getattr(self, low) >= getattr(self, high)
        ]
        if self.drift >= HIGHEST_DRIFT:
            errors.append(f"drift: must be below {HIGHEST_DRIFT}")
        return errors
