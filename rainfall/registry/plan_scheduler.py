"""When the heartbeat extensions plan.

One plan serves the heartbeats of all members, and none is made while another is written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from rainfall.registry.fleet_log import TaggedRows

PLAN_DELAY_S = 0.05
"""How long heartbeats are gathered before a plan: one sync serves them all."""
MIN_PLAN_DELAY_S = 0.01
"""The least pause before a plan that no heartbeat asked for."""
RETRY_DELAY_S = 0.5
"""The pause after a failed write."""


class PlanScheduler:
    """Makes and writes plans. Used from the event loop alone.

    `make_end_rows` makes the rows of leases that have expired, `make_plan_rows` those of
    a plan, `write_rows` writes either, and `next_due_us` says when something is due.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        make_end_rows: Callable[[], TaggedRows],
        make_plan_rows: Callable[[], TaggedRows],
        write_rows: Callable[[TaggedRows], asyncio.Future[Any]],
        next_due_us: Callable[[], int | None],
    ) -> None:
        self.now_us = now_us
        self.make_end_rows = make_end_rows
        self.make_plan_rows = make_plan_rows
        self.write_rows = write_rows
        self.next_due_us = next_due_us
        self.stopped = False
        self.plan_in_flight: asyncio.Future[Any] | None = None
        """The plan that is being written."""
        self._ends_in_flight: asyncio.Future[Any] | None = None
        """The ends of leases that are being written."""
        self._due_timer: asyncio.TimerHandle | None = None
        self._soon_timer: asyncio.TimerHandle | None = None
        self._next_plan = _new_future()

    def schedule_when_due(self, min_wait_s: float = MIN_PLAN_DELAY_S) -> None:
        """Plan when something is due next.

        A renewal of a lease only makes that later, and need not call this.
        """
        next_us = self.next_due_us()
        if self._due_timer is not None:
            self._due_timer.cancel()
        self._due_timer = None
        if next_us is not None and not self.stopped:
            wait_s = max((next_us - self.now_us()) / 1e6, min_wait_s)
            self._due_timer = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def schedule_soon(self, wait_s: float | None = None) -> None:
        """Plan after `wait_s`, or `PLAN_DELAY_S`; sooner if that was already scheduled."""
        if self._soon_timer is None and not self.stopped:
            wait_s = PLAN_DELAY_S if wait_s is None else wait_s
            self._soon_timer = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def next_plan_written(self) -> asyncio.Future[None]:
        """Done once the next plan to be made was written, or its write failed."""
        return self._next_plan

    def write_plan(self, rows: TaggedRows) -> asyncio.Future[Any]:
        """Write rows as a plan of their own; none other may be in flight."""
        self.plan_in_flight = self.write_rows(rows)
        self.plan_in_flight.add_done_callback(self._on_plan_written)
        return self.plan_in_flight

    def stop(self) -> None:
        """Make no more plans, and release those who wait for one."""
        self.stopped = True
        for timer in (self._due_timer, self._soon_timer):
            if timer is not None:
                timer.cancel()
        _complete(self._next_plan)

    def _plan(self) -> None:
        """Make and write a plan, after the ends of leases that have expired.

        The ends go first so that nothing is divided among members that are gone.
        """
        self._cancel_soon_timer()
        if self.stopped:
            return
        if self._ends_in_flight is None:
            ends = self.make_end_rows()
            if ends:
                self._ends_in_flight = self.write_rows(ends)
                self._ends_in_flight.add_done_callback(self._on_ends_written)
        if self._ends_in_flight is not None or self.plan_in_flight is not None:
            return  # Its callback schedules the next plan.
        this_plan = self._next_plan
        self._next_plan = _new_future()
        rows = self.make_plan_rows()
        if rows:
            self.write_plan(rows).add_done_callback(lambda _: _complete(this_plan))
        else:
            _complete(this_plan)
            self.schedule_when_due()

    def _on_ends_written(self, done: asyncio.Future[Any]) -> None:
        self._ends_in_flight = None
        has_failed = self._reschedule(done)
        if has_failed:
            # No plan is made before the ends are written: release who waits for one.
            waited = self._next_plan
            self._next_plan = _new_future()
            _complete(waited)

    def _on_plan_written(self, done: asyncio.Future[Any]) -> None:
        self.plan_in_flight = None
        self._reschedule(done)

    def _reschedule(self, done: asyncio.Future[Any]) -> bool:
        """Plan again for what came meanwhile; returns whether the write has failed."""
        has_failed = done.cancelled() or done.exception() is not None
        if has_failed:
            # Otherwise heartbeats would make the retry come sooner.
            self._cancel_soon_timer()
        self.schedule_soon(RETRY_DELAY_S if has_failed else PLAN_DELAY_S)
        return has_failed

    def _cancel_soon_timer(self) -> None:
        if self._soon_timer is not None:
            self._soon_timer.cancel()
        self._soon_timer = None


def _new_future() -> asyncio.Future[None]:
    return asyncio.get_running_loop().create_future()


def _complete(waited: asyncio.Future[None]) -> None:
    if not waited.done():
        waited.set_result(None)
