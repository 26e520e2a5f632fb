"""Budgets in heartbeats: members report demand and held shares, and receive shares.

`budget.ledger` decides how a budget's total is divided and keeps the shares within it.
This extension stores the ledger's changes before they are sent, keeps the configuration
with them, and calls the ledger again when something is due.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

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

CHECKS_PER_WINDOW = 8
"""How often in a budget's window the ledger looks for calls that have become free."""
MIN_CHECK_INTERVAL_US = 50_000
MAX_CHECK_INTERVAL_US = 1_000_000
RESTART_VERSION_SHIFT = 20
"""The budgets' version is at least the epoch times 2 to this power.

So it never repeats one from a state folder that was lost.
"""
UNLIMITED_WINDOW_US = 1 << 62
US_PER_MS = 1_000
log = logging.getLogger("rainfall.registry")


class _ReportedState(NamedTuple):
    """What a member's last heartbeat said of budgets."""

    demand: dict[str, dict[str, int]]
    """Calls needed, by destination and part."""
    held_shares: dict[str, tuple[int, int]]
    """Calls and number of the share that the member uses, by destination."""


class BudgetExtension(BaseHeartbeatExtension):
    """The budgets of the fleet.

    `lease_us` is the longest lease there may be. Budgets are put in force by the rows
    of `config_rows`, and stay in force over restarts, with all that was granted.
    """

    name = "budgets"

    def __init__(self, lease_us: int, drift: float) -> None:
        self.lease_us = lease_us
        self.drift = drift
        self.raw_budgets: list[dict[str, Any]] = []
        """The budgets in force, as they were written."""
        self.version = 0
        self.source = ""
        """Where they came from: `file` or `hand`."""
        self.last_file_budgets: list[dict[str, Any]] | None = None
        """The budgets last taken from the file.

        At a start the file is only taken if it differs from them.
        """
        self.ledger = Ledger((), lease_us, drift, 0)
        self._epoch = 0
        self._now_us = 0
        self._next_check_us: int | None = None
        self._last_reports: dict[Token, _ReportedState] = {}
        """What each member reported last, and the ledger knows.

        Removed where the same report may mean something else now.
        """
        self._config_pending = False
        """Whether budgets were put in force, and no plan for them is stored yet."""

    def epoch_raised(self, epoch: int) -> None:
        """See `BaseHeartbeatExtension`."""
        self._epoch = epoch

    def restore(
        self, now_us: int, state_complete: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        """Restore the configuration and the ledger; see `HeartbeatExtension`."""
        self._now_us = now_us
        configs = [] if snapshot is None else [snapshot]
        configs += [row for row in rows if "config" in row]
        histories = [config.parse_budgets(row["config"]) for row in configs]
        for row in configs:
            self._apply_config(row)
        unchanged = _unchanged_budgets(
            histories, self.drift, snapshot["opening"] if snapshot else ()
        )
        self.ledger = persistence.restore(
            unchanged,
            self.lease_us,
            self.drift,
            now_us,
            snapshot["ledger"] if snapshot else None,
            [row for row in rows if "budgets" in row],
            state_complete,
        )
        # A budget whose window grew, or that was not configured for a time, grants
        # calls only a whole window after this.
        self.ledger.configure(histories[-1] if histories else (), now_us)

    def service_started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        """See `BaseHeartbeatExtension`."""
        for member, _ in members:
            self.ledger.member_joined(member.token, member.name, None, now_us)

    def find_faults(self, body: Mapping[str, Any]) -> list[str]:
        """The faults of `needs` and `holds`."""
        faults: list[str] = []
        try:
            config.parse_demand(body.get("needs", {}))
        except config.BudgetConfigError as error:
            faults.extend(error.faults)
        try:
            config.parse_held_shares(body.get("holds", {}))
        except config.BudgetConfigError as error:
            faults.extend(error.faults)
        return faults

    def member_joined(
        self, now_us: int, name: str, token: Token, replaced_token: Token | None
    ) -> None:
        """See `HeartbeatExtension`."""
        self._last_reports.pop(token, None)
        self.ledger.member_joined(token, name, replaced_token, now_us)

    def member_resumed(
        self,
        now_us: int,
        name: str,
        token: Token,
        previous_token: Token,
        kept_reserves: Mapping[str, int],
    ) -> None:
        """See `BaseHeartbeatExtension`."""
        self._last_reports.pop(token, None)
        self.ledger.member_joined(token, name, previous_token, now_us, kept_reserves)

    def handle_heartbeat(
        self,
        now_us: int,
        _until_us: int,
        _name: str,
        token: Token,
        body: Mapping[str, Any],
    ) -> HeartbeatResult:
        """Give the ledger a changed report, and answer with the member's shares."""
        report = _ReportedState(
            config.parse_demand(body.get("needs", {})),
            config.parse_held_shares(body.get("holds", {})),
        )
        self._now_us = now_us
        changed = self._last_reports.get(token) != report
        if changed:
            self.ledger.heartbeat(token, report.demand, report.held_shares, now_us)
            self._last_reports[token] = report
        waits = self._config_pending
        if changed and not waits and report.demand and self.raw_budgets:
            waits = self._needs_more(token, report.demand)
        return HeartbeatResult(changed, waits, lambda: {"shares": self.shares(token)})

    def _needs_more(self, token: Token, demand: Mapping[str, dict[str, int]]) -> bool:
        """Whether a member needs more of any budget than its share."""
        shares = self.ledger.shares_for(token)
        for destination, parts in demand.items():
            if destination in shares:
                if sum(parts.values()) > shares[destination].calls:
                    return True
            elif destination in self.ledger.budget_accounts:
                return True
        return False

    def shares(self, token: Token) -> dict[str, Any]:
        """The shares of a member as they are sent, by destination."""
        return {
            destination: {
                "calls": share.calls,
                "number": share.number,
                "reserve": share.reserve,
                "whole": share.whole,
                "span_ms": share.span_us // US_PER_MS,
                "slack_ms": share.slack_us // US_PER_MS,
            }
            for destination, share in self.ledger.shares_for(token).items()
        }

    def lease_expired(self, now_us: int, token: Token) -> None:
        """See `HeartbeatExtension`."""
        self._last_reports.pop(token, None)
        self.ledger.lease_expired(token, now_us)

    def member_ended(self, now_us: int, token: Token) -> None:
        """See `HeartbeatExtension`."""
        self._last_reports.pop(token, None)
        self.ledger.process_ended(token, now_us)

    def plan(self, now_us: int, frozen: bool, _members: list[Member]) -> list[Row]:
        """The next change of the ledger, if there is one; see `HeartbeatExtension`."""
        self._now_us = now_us
        change = self.ledger.plan(now_us, frozen)
        if change is None:
            self._config_pending = False
            self._next_check_us = self._next_check(now_us)
            return []
        self._next_check_us = now_us + MIN_CHECK_INTERVAL_US
        return [change.to_record()]

    def _next_check(self, now_us: int) -> int | None:
        """When time alone may change something; None if only a heartbeat can."""
        due_us = list(self.ledger.presumed_until_us.values())
        for destination, accounts in self.ledger.budget_accounts.items():
            allocation = self.ledger.allocations[destination]
            if accounts.deconfigured or not _is_unsettled(accounts, allocation, now_us):
                continue
            interval_us = accounts.budget.span_us // CHECKS_PER_WINDOW
            interval_us = max(interval_us, MIN_CHECK_INTERVAL_US)
            due_us.append(now_us + min(interval_us, MAX_CHECK_INTERVAL_US))
        return min(due_us, default=None)

    def next_us(self) -> int | None:
        """See `HeartbeatExtension`."""
        return self._next_check_us

    def config_rows(
        self, _now_us: int, raw: list[dict[str, Any]], source: str
    ) -> list[Row]:
        """The rows that put checked budgets in force.

        A plan whose write failed is written again before them, since it was made for
        the former budgets.
        """
        rows: list[Row] = []
        if self.ledger.pending is not None:
            rows.append(self.ledger.pending.to_record())
        version = max(self.version + 1, self._epoch << RESTART_VERSION_SHIFT)
        rows.append({"config": raw, "version": version, "source": source})
        return rows

    def confirm_processes(self, now_us: int, token: Token | None) -> list[Row]:
        """Rows of what an operator confirms of processes.

        With a token: its process has ended. With None, after a state folder was lost:
        every process that has a reserve is known.
        """
        if token is None:
            self.ledger.confirm_reserves()
        else:
            self.ledger.process_ended(token, now_us)
        return self.plan(now_us, True, [])

    def commit(self, now_us: int, row: Row) -> None:
        """Put a stored change, or a stored configuration, in force."""
        self._now_us = now_us
        if "config" in row:
            self._commit_config(now_us, row)
        else:
            self._commit_change(row)

    def _commit_change(self, row: Row) -> None:
        change = self.ledger.pending
        if change is None or change.number != row["budgets"]:
            raise ValueError("a change that was not planned")
        self._log_grants(row)
        self.ledger.commit(change)
        self._config_pending = False

    def _commit_config(self, now_us: int, row: Row) -> None:
        budgets = config.parse_budgets(row["config"])
        self._apply_config(row)
        self.ledger.configure(budgets, now_us)
        # A new budget knows nothing of what members reported before.
        self._last_reports.clear()
        self._config_pending = True
        self._next_check_us = now_us
        log.info(
            "budgets",
            extra={
                "version": self.version,
                "source": self.source,
                "wholes": {
                    budget.destination: [budget.calls, budget.span_us // US_PER_MS]
                    for budget in budgets
                },
            },
        )

    def abandon(self, row: Row) -> None:
        """Do nothing: the ledger plans the same change again.

        A write that failed may have reached the disk all the same.
        """

    def concerned_members(self, row: Row) -> Collection[str] | None:
        """See `BaseHeartbeatExtension`.

        A new configuration concerns all members: even with the same shares, total and
        window may have changed.
        """
        return None if "config" in row else {grant[1] for grant in row["grants"]}

    def _apply_config(self, row: Row) -> None:
        self.raw_budgets = row["config"]
        self.version = int(row["version"])
        self.source = str(row["source"])
        if self.source == "file":
            self.last_file_budgets = self.raw_budgets
        else:
            self.last_file_budgets = row.get("file", self.last_file_budgets)

    def _log_grants(self, row: Row) -> None:
        """Log a line for each budget: who is granted what, and why."""
        grants: dict[str, list[Any]] = {}
        ends: dict[str, list[Any]] = {}
        for destination, name, _, number, calls, reserve in row["grants"]:
            grants.setdefault(destination, []).append([name, number, calls, reserve])
        for destination, token, how in row["ends"]:
            ends.setdefault(destination, []).append([token, how])
        for destination in {**grants, **ends}:
            log.info(
                "shares",
                extra={
                    "budget": destination,
                    "change": row["budgets"],
                    "why": self.ledger.allocations[destination].reason,
                    "grants": grants.get(destination, []),
                    "ends": ends.get(destination, []),
                },
            )

    def snapshot(self) -> Row:
        """See `HeartbeatExtension`."""
        opening = [
            destination
            for destination, accounts in sorted(self.ledger.budget_accounts.items())
            if accounts.grants_from_us > self._now_us
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
        """`Ledger.status` by destination, with when each freed call may be used again."""
        status_by_destination = self.ledger.status(now_us)
        for destination, status in status_by_destination.items():
            accounts = self.ledger.budget_accounts[destination]
            status["in_force"] = not accounts.deconfigured
            status["cooling_until"] = [
                {"calls": calls, "in_ms": max(until_us - now_us, 0) // US_PER_MS}
                for until_us, calls in sorted(accounts.cooling)
            ]
        return status_by_destination

    def metrics(self, now_us: int) -> dict[str, dict[str, int]]:
        """The gauges of each budget, by destination."""
        return {
            destination: _budget_gauges(status)
            for destination, status in self.ledger.status(now_us).items()
        }


def _budget_gauges(status: Mapping[str, Any]) -> dict[str, int]:
    """A budget's gauges, by the name that is sent."""
    members = status["members"]
    active = [member for member in members if member["state"] == "in"]
    return {
        "whole": status["whole"],
        "counted": status["counted"],
        "free": status["free"],
        "cooling": status["cooling"],
        "set_aside": status["set_aside"],
        "needed": sum(member["needs"] for member in members),
        "shared": sum(member["calls"] for member in active),
        "reserves": sum(member["reserve"] for member in members),
        "holders": sum(member["acts_on"] > 0 for member in members),
        "unacknowledged": sum(member["acked"] < member["number"] for member in active),
        "scarce": int(status["scarce"]),
        "shut": int(status["shut"]),
    }


def _unchanged_budgets(
    histories: list[tuple[Budget, ...]], drift: float, opening: Collection[str]
) -> list[Budget]:
    """The budgets in force whose window never grew and that were always configured.

    What was free of them before a start is free after it. Of all others a call may still
    be in a window that nobody waited for.
    """
    if not histories:
        return []
    windows_us: dict[str, int] = {}
    changed = set(opening)
    for budgets in histories:
        new_windows_us = {
            budget.destination: budget.window_us(drift) for budget in budgets
        }
        changed.update(
            destination
            for destination, window_us in windows_us.items()
            if window_us < new_windows_us.get(destination, UNLIMITED_WINDOW_US)
        )
        windows_us.update(new_windows_us)
    return [budget for budget in histories[-1] if budget.destination not in changed]


def _is_unsettled(
    accounts: BudgetAccounts, allocation: Allocation, now_us: int
) -> bool:
    """Whether time alone may change a member's share.

    Called after each plan for all budgets and members, so it only reads the accounts.
    """
    if accounts.grants_from_us > now_us or accounts.cooling or allocation.scarce:
        return True
    members = accounts.active_accounts()
    if any(
        account.granted_calls() != target_calls(allocation, account)
        for account in members
    ):
        return True
    has_unmet_demand = any(
        account.total_demand() > account.granted_calls() for account in members
    )
    return has_unmet_demand and accounts.free_calls({}) > 0
