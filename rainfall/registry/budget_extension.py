"""Budgets on the beats: what members need and hold goes to the ledger, their shares
come back from it.

The ledger (`budget/`) decides the division and keeps it within the whole; here its
changes are written before they are told, its configuration is kept with them, and it is
asked again when something falls due.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Mapping
from typing import Any

from rainfall.budget import config, persistence
from rainfall.budget.account import BudgetAccounts
from rainfall.budget.ledger import Ledger
from rainfall.budget.rebalancing import Allocation, target_calls
from rainfall.budget.types import Budget
from rainfall.lease.fencing_token import Token
from rainfall.member.roster import Member
from rainfall.registry.heartbeat_extension import (
    BaseHeartbeatExtension,
    HeartbeatResult,
    Row,
)

CHECKS_PER_WINDOW = 8  # of a span: so often is looked for what came free ...
MIN_CHECK_INTERVAL_US, MAX_CHECK_INTERVAL_US = 50_000, 1_000_000  # ... within these
log = logging.getLogger("rainfall.registry")


class BudgetExtension(BaseHeartbeatExtension):
    """`lease_us`: the longest lease there may be.

    Budgets are put in force by a row that `configured` makes, through `Fleet.decide`;
    they go on over restarts, with all that was granted.
    """

    name = "budgets"

    def __init__(self, lease_us: int, drift: float) -> None:
        self.lease_us, self.drift = lease_us, drift
        self.raw_budgets: list[dict[str, Any]] = []
        """What is in force, as it was written."""
        self.version = 0
        self.source = ""
        """Where it came from: `file` or `hand`."""
        self.last_file_budgets: list[dict[str, Any]] | None = None
        """What was last taken from the file: it counts again at a start only if it is
        another then.
        """
        self.ledger = Ledger((), lease_us, drift, 0)
        self._epoch = 0
        self._now_us = 0
        self._next_check_us: int | None = None
        # What each member said last and the ledger has. Forgotten where that may mean
        # something else now.
        self._last_heartbeats: dict[Token, tuple[Any, Any]] = {}
        self._config_pending = (
            False  # budgets were put in force, and no plan by them is on disk yet
        )

    # -- the start
    # -------------------------------------------------------------------------------------

    def epoch_raised(self, epoch: int) -> None:
        self._epoch = epoch

    def restore(
        self, now_us: int, state_complete: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        self._now_us = now_us
        configs = [] if snapshot is None else [snapshot]
        configs += [row for row in rows if "config" in row]
        histories = [config.parse_budgets(row["config"]) for row in configs]
        for row in configs:
            self._apply_config(row)
        steady = _unchanged_budgets(
            histories, self.drift, snapshot["opening"] if snapshot else ()
        )
        self.ledger = persistence.restore(
            steady,
            self.lease_us,
            self.drift,
            now_us,
            snapshot["ledger"] if snapshot else None,
            [row for row in rows if "budgets" in row],
            state_complete,
        )
        # Those whose window grew, or that were away, open only a whole window after
        # this.
        self.ledger.configure(histories[-1] if histories else (), now_us)

    def service_started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        for member, _ in members:
            self.ledger.member_joined(member.token, member.name, None, now_us)

    # -- members
    # ---------------------------------------------------------------------------------------

    def find_faults(self, beat: Mapping[str, Any]) -> list[str]:
        found: list[str] = []
        for name, read in (
            ("needs", config.parse_demand),
            ("holds", config.parse_held_shares),
        ):
            try:
                read(beat.get(name, {}))
            except config.BudgetConfigError as error:
                found.extend(error.faults)
        return found

    def member_joined(
        self, now_us: int, name: str, token: Token, follows: Token | None
    ) -> None:
        self._last_heartbeats.pop(token, None)
        self.ledger.member_joined(token, name, follows, now_us)

    def member_resumed(
        self,
        now_us: int,
        name: str,
        token: Token,
        previous_token: Token,
        kept_reserves: Mapping[str, int],
    ) -> None:
        self._last_heartbeats.pop(token, None)
        self.ledger.member_joined(token, name, previous_token, now_us, kept_reserves)

    def handle_heartbeat(
        self,
        now_us: int,
        until_us: int,
        name: str,
        token: Token,
        beat: Mapping[str, Any],
    ) -> HeartbeatResult:
        needs = config.parse_demand(beat.get("needs", {}))
        holds = config.parse_held_shares(beat.get("holds", {}))
        self._now_us = now_us
        changed = self._last_heartbeats.get(token) != (needs, holds)
        if changed:
            self.ledger.heartbeat(token, needs, holds, now_us)
            self._last_heartbeats[token] = needs, holds
        waits = self._config_pending
        if changed and not waits and needs and self.raw_budgets:
            told = self.ledger.shares_for(token)
            waits = any(
                sum(parts.values()) > told[d].calls
                if d in told
                else d in self.ledger.budget_accounts
                for d, parts in needs.items()
            )
        return HeartbeatResult(changed, waits, lambda: {"shares": self.shares(token)})

    def shares(self, token: Token) -> dict[str, Any]:
        return {
            destination: {
                "calls": share.calls,
                "number": share.number,
                "reserve": share.reserve,
                "whole": share.whole,
                "span_ms": share.span_us // 1_000,
                "slack_ms": share.slack_us // 1_000,
            }
            for destination, share in self.ledger.shares_for(token).items()
        }

    def lease_expired(self, now_us: int, token: Token) -> None:
        self._last_heartbeats.pop(token, None)
        self.ledger.lease_expired(token, now_us)

    def member_ended(self, now_us: int, token: Token) -> None:
        self._last_heartbeats.pop(token, None)
        self.ledger.process_ended(token, now_us)

    # -- plans
    # -----------------------------------------------------------------------------------------

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        self._now_us = now_us
        change = self.ledger.plan(now_us, frozen)
        if change is None:
            self._config_pending = False
            self._next_check_us = self._next_check(now_us)
            return []
        self._next_check_us = now_us + MIN_CHECK_INTERVAL_US
        return [change.to_record()]

    def _next_check(self, now_us: int) -> int | None:
        """While something cools, opens or is missing it is looked at again; at rest
        only a beat stirs.
        """
        spans = [
            book.budget.span_us
            for destination, book in self.ledger.budget_accounts.items()
            if not book.deconfigured
            and _is_unsettled(book, self.ledger.allocations[destination], now_us)
        ]
        ends = sorted(self.ledger.presumed_until_us.values())[:1]
        return min(
            [
                *ends,
                *(
                    now_us
                    + min(
                        max(span // CHECKS_PER_WINDOW, MIN_CHECK_INTERVAL_US),
                        MAX_CHECK_INTERVAL_US,
                    )
                    for span in spans
                ),
            ],
            default=None,
        )

    def next_us(self) -> int | None:
        return self._next_check_us

    def config_rows(
        self, now_us: int, raw: list[dict[str, Any]], source: str
    ) -> list[Row]:
        """The rows that put checked budgets in force.

        A plan whose write failed is written again before them, since it was made by
        those before.
        """
        first = [] if self.ledger.pending is None else [self.ledger.pending.to_record()]
        version = max(
            self.version + 1, self._epoch << 20
        )  # never one that a lost folder had
        return [*first, {"config": raw, "version": version, "source": source}]

    def confirm_processes(self, now_us: int, token: Token | None) -> list[Row]:
        """The operator's word: the process of this token is surely at its end; None:
        after a lost folder, all who have a reserve are known.
        """
        if token is None:
            self.ledger.confirm_reserves()
        else:
            self.ledger.process_ended(token, now_us)
        return self.plan(now_us, True, [])

    def commit(self, now_us: int, row: Row) -> None:
        self._now_us = now_us
        if "config" not in row:
            change = self.ledger.pending
            if change is None or change.number != row["budgets"]:
                raise ValueError("a change that was not planned")
            self._log_grants(row)
            self.ledger.commit(change)
            self._config_pending = False
            return
        budgets = config.parse_budgets(row["config"])
        self._apply_config(row)
        self.ledger.configure(budgets, now_us)
        self._last_heartbeats.clear()  # a budget that came has not heard what was said before
        self._config_pending, self._next_check_us = True, now_us
        log.info(
            "budgets",
            extra={
                "version": self.version,
                "source": self.source,
                "wholes": {
                    b.destination: [b.calls, b.span_us // 1_000] for b in budgets
                },
            },
        )

    def abandon(self, row: Row) -> None:
        """The ledger plans it again as it is: a write that failed may have reached the
        disk.
        """

    def concerned_members(self, row: Row) -> Collection[str] | None:
        """A new configuration concerns all, also who gets no other share: whole and
        span may be others.
        """
        return None if "config" in row else {grant[1] for grant in row["grants"]}

    def _apply_config(self, row: Row) -> None:
        self.raw_budgets, self.version, self.source = (
            row["config"],
            int(row["version"]),
            str(row["source"]),
        )
        self.last_file_budgets = (
            self.raw_budgets
            if self.source == "file"
            else row.get("file", self.last_file_budgets)
        )

    def _log_grants(self, row: Row) -> None:
        """One line a budget: who is given what, and why."""
        by: dict[str, dict[str, list[Any]]] = {}
        for destination, name, _, number, calls, reserve in row["grants"]:
            by.setdefault(destination, {"grants": [], "ends": []})["grants"].append(
                [name, number, calls, reserve]
            )
        for destination, token, how in row["ends"]:
            by.setdefault(destination, {"grants": [], "ends": []})["ends"].append(
                [token, how]
            )
        for destination, told in by.items():
            log.info(
                "shares",
                extra={
                    "budget": destination,
                    "change": row["budgets"],
                    "why": self.ledger.allocations[destination].reason,
                    **told,
                },
            )

    # -- what is told of it
    # ----------------------------------------------------------------------------

    def snapshot(self) -> Row:
        opening = [
            d
            for d, book in sorted(self.ledger.budget_accounts.items())
            if book.grants_from_us > self._now_us
        ]
        return {
            "config": self.raw_budgets,
            "version": self.version,
            "source": self.source,
            "file": self.last_file_budgets,
            "opening": opening,
            "ledger": persistence.snapshot(self.ledger),
        }

    def state(self, now_us: int) -> dict[str, Any]:
        """By destination: as `Ledger.state`, and what cools, with when it has cooled."""
        told = self.ledger.status(now_us)
        for destination, figures in told.items():
            book = self.ledger.budget_accounts[destination]
            figures["in_force"] = not book.deconfigured
            figures["cooling_until"] = [
                {"calls": calls, "in_ms": max(until - now_us, 0) // 1_000}
                for until, calls in sorted(book.cooling)
            ]
        return told

    def metrics(self, now_us: int) -> dict[str, dict[str, int]]:
        """Whole numbers, by destination, for /_vars and /metrics."""
        return {
            destination: {
                "whole": state["whole"],
                "counted": state["counted"],
                "free": state["free"],
                "cooling": state["cooling"],
                "set_aside": state["set_aside"],
                "needed": sum(m["needs"] for m in state["members"]),
                "shared": sum(
                    m["calls"] for m in state["members"] if m["state"] == "in"
                ),
                "reserves": sum(m["reserve"] for m in state["members"]),
                "holders": sum(m["acts_on"] > 0 for m in state["members"]),
                "unacknowledged": sum(
                    m["acked"] < m["number"]
                    for m in state["members"]
                    if m["state"] == "in"
                ),
                "scarce": int(state["scarce"]),
                "shut": int(state["shut"]),
            }
            for destination, state in self.ledger.status(now_us).items()
        }


def _unchanged_budgets(
    histories: list[tuple[Budget, ...]], drift: float, opening: Collection[str]
) -> list[Budget]:
    """Those in force at the end whose window never grew and that were never away: what
    was free before a start is free after it. Of all others a call may be in a window
    that was not waited for.
    """
    windows: dict[str, int] = {}
    unsteady = set(opening)
    for budgets in histories:
        named = {b.destination: b.window_us(drift) for b in budgets}
        unsteady.update(d for d in windows if windows[d] < named.get(d, 1 << 62))
        windows = {**windows, **named}
    return [
        b for b in (histories[-1] if histories else ()) if b.destination not in unsteady
    ]


def _is_unsettled(book: BudgetAccounts, aim: Allocation, now_us: int) -> bool:
    """Whether time alone may let something move.

    Asked after each plan for all budgets and members, so it looks at the accounts and
    makes nothing of them.
    """
    if book.grants_from_us > now_us or book.cooling or aim.scarce:
        return True
    members = book.active_accounts()
    if any(
        account.granted_calls() != target_calls(aim, account) for account in members
    ):
        return True
    return (
        any(account.total_demand() > account.granted_calls() for account in members)
        and book.free_calls({}) > 0
    )
