"""Schedules the plans of the heartbeat extensions.

One plan serves the heartbeats of all members. No plan is made while another is being
written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from rainfall.registry.fleet_log import TaggedRows

PLAN_DELAY_S = 0.05
"""How long heartbeats are batched before a plan, so that one sync serves them all."""
MIN_PLAN_DELAY_S = 0.01
"""The least delay before a plan that no heartbeat has triggered."""
RETRY_DELAY_S = 0.5
"""The delay before the retry of a failed write."""


class PlanScheduler:
    """Makes and writes plans. Not thread-safe.

    `make_expiry_rows` returns the rows of expired leases, `make_plan_rows` the rows of a
    plan. `write_rows` writes either. `next_due_us` returns when the next plan or expiry
    is due.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        make_expiry_rows: Callable[[], TaggedRows],
        make_plan_rows: Callable[[], TaggedRows],
        write_rows: Callable[[TaggedRows], asyncio.Future[Any]],
        next_due_us: Callable[[], int | None],
    ) -> None:
        self.now_us = now_us
        self.make_expiry_rows = make_expiry_rows
        self.make_plan_rows = make_plan_rows
        self.write_rows = write_rows
        self.next_due_us = next_due_us
        self.stopped = False
        self.plan_in_flight: asyncio.Future[Any] | None = None
        """The write of the current plan."""
        self._expiries_in_flight: asyncio.Future[Any] | None = None
        """The expiry rows that are being written."""
        self._due_timer: asyncio.TimerHandle | None = None
        self._soon_timer: asyncio.TimerHandle | None = None
        self._next_plan = _new_future()

    def schedule_when_due(self, min_wait_s: float = MIN_PLAN_DELAY_S) -> None:
        """Schedule a plan for the time when something is due next.

        A renewal of a lease only postpones that time, and need not call this method.
        """
        next_us = self.next_due_us()
        if self._due_timer is not None:
            self._due_timer.cancel()
        self._due_timer = None
        if next_us is not None and not self.stopped:
            wait_s = max((next_us - self.now_us()) / 1e6, min_wait_s)
            self._due_timer = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def schedule_soon(self, wait_s: float | None = None) -> None:
        """Plan after `wait_s` (default `PLAN_DELAY_S`), unless already scheduled."""
        if self._soon_timer is None and not self.stopped:
            wait_s = PLAN_DELAY_S if wait_s is None else wait_s
            self._soon_timer = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def next_plan_written(self) -> asyncio.Future[None]:
        """Return a future that completes when the write of the next plan ends or fails."""
        return self._next_plan

    def write_plan(self, rows: TaggedRows) -> asyncio.Future[Any]:
        """Write rows as a separate plan; no other plan may be in flight."""
        self.plan_in_flight = self.write_rows(rows)
        self.plan_in_flight.add_done_callback(self._on_plan_written)
        return self.plan_in_flight

    def stop(self) -> None:
        """Cancel scheduled plans, and wake callers that wait for one."""
        self.stopped = True
        for timer in (self._due_timer, self._soon_timer):
            if timer is not None:
                timer.cancel()
        _complete(self._next_plan)

    def _plan(self) -> None:
        """Write the rows of expired leases, then make and write a plan.

        Expiries come first so that nothing is divided among members that have left.
        """
        self._cancel_soon_timer()
        if self.stopped:
            return
        if self._expiries_in_flight is None:
            expiry_rows = self.make_expiry_rows()
            if expiry_rows:
                self._expiries_in_flight = self.write_rows(expiry_rows)
                self._expiries_in_flight.add_done_callback(self._on_expiries_written)
        if self._expiries_in_flight is not None or self.plan_in_flight is not None:
            return  # The callback of that write schedules the next plan.
        this_plan = self._next_plan
        self._next_plan = _new_future()
        rows = self.make_plan_rows()
        if rows:
            self.write_plan(rows).add_done_callback(lambda _: _complete(this_plan))
        else:
            _complete(this_plan)
            self.schedule_when_due()

    def _on_expiries_written(self, done: asyncio.Future[Any]) -> None:
        self._expiries_in_flight = None
        has_failed = self._reschedule(done)
        if has_failed:
            # No plan is made before the expiries are written, so wake the callers that
            # wait for a plan.
            future = self._next_plan
            self._next_plan = _new_future()
            _complete(future)

    def _on_plan_written(self, done: asyncio.Future[Any]) -> None:
        self.plan_in_flight = None
        self._reschedule(done)

    def _reschedule(self, done: asyncio.Future[Any]) -> bool:
        """Schedule the next plan; returns whether the write has failed."""
        has_failed = done.cancelled() or done.exception() is not None
        if has_failed:
            # Otherwise a plan scheduled by a heartbeat would run before the retry delay.
            self._cancel_soon_timer()
        self.schedule_soon(RETRY_DELAY_S if has_failed else PLAN_DELAY_S)
        return has_failed

    def _cancel_soon_timer(self) -> None:
        if self._soon_timer is not None:
            self._soon_timer.cancel()
        self._soon_timer = None


def _new_future() -> asyncio.Future[None]:
    return asyncio.get_running_loop().create_future()


def _complete(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
