"""Budgets in heartbeats: members report demand and held shares, and receive shares.

`budget.ledger` divides a budget's total among members and keeps the sum of their shares
within it. This extension stores the ledger's changes and the configuration in
`fleet.log`, sends a change only once it is stored, and schedules the ledger's plans.
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
"""Checks for calls that have become free, in each window of a budget."""
MIN_CHECK_INTERVAL_US = 50_000
MAX_CHECK_INTERVAL_US = 1_000_000
RESTART_VERSION_SHIFT = 20
"""The version of the budgets is at least the epoch shifted left by this many bits.

A version from a lost state folder is therefore never used again.
"""
UNLIMITED_WINDOW_US = 1 << 62
US_PER_MS = 1_000
log = logging.getLogger("rainfall.registry")


class _ReportedState(NamedTuple):
    """The budget fields of a member's last heartbeat."""

    demand: dict[str, dict[str, int]]
    """Calls needed, by destination and part."""
    held_shares: dict[str, tuple[int, int]]
    """Calls and number of the share in use by the member, by destination."""


class BudgetExtension(BaseHeartbeatExtension):
    """The budgets of the fleet.

    `lease_us` is the longest possible lease. Committing the rows of `config_rows` puts
    budgets in force. Budgets and granted shares survive restarts.
    """

    name = "budgets"

    def __init__(self, lease_us: int, drift: float) -> None:
        self.lease_us = lease_us
        self.drift = drift
        self.raw_budgets: list[dict[str, Any]] = []
        """The budgets in force, as configured."""
        self.version = 0
        self.source = ""
        """The origin of the budgets in force: `file` or `hand`."""
        self.last_file_budgets: list[dict[str, Any]] | None = None
        """The budgets last applied from the file.

        At a start the file is applied only if it differs from them.
        """
        self.ledger = Ledger((), lease_us, drift, 0)
        self._epoch = 0
        self._now_us = 0
        self._next_check_us: int | None = None
        self._last_reports: dict[Token, _ReportedState] = {}
        """The last report of each member that the ledger has received.

        Removed when the ledger has to receive an unchanged report again, as after a
        rejoin or a new configuration.
        """
        self._config_pending = False
        """Whether the budgets in force have no stored plan yet."""

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
        # A budget whose window grew, or that was temporarily not configured, grants
        # calls only after a full window from here.
        self.ledger.configure(histories[-1] if histories else (), now_us)

    def service_started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        """See `BaseHeartbeatExtension`."""
        for member, _ in members:
            self.ledger.member_joined(member.token, member.name, None, now_us)

    def find_faults(self, body: Mapping[str, Any]) -> list[str]:
        """Return the faults of the heartbeat fields `needs` and `holds`."""
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
        """Pass a changed report to the ledger, and answer with the member's shares."""
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
        """Return whether a member's demand exceeds its share of any budget."""
        shares = self.ledger.shares_for(token)
        for destination, parts in demand.items():
            if destination in shares:
                if sum(parts.values()) > shares[destination].calls:
                    return True
            elif destination in self.ledger.budget_accounts:
                return True
        return False

    def shares(self, token: Token) -> dict[str, Any]:
        """Return a member's shares in wire format, by destination."""
        return {
            destination: {
                "calls": share.calls,
                "number": share.number,
                "reserve": share.reserve,
                "whole": share.total,
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
        """Return the ledger's next change, if any; see `HeartbeatExtension`."""
        self._now_us = now_us
        change = self.ledger.plan(now_us, frozen)
        if change is None:
            self._config_pending = False
            self._next_check_us = self._next_check(now_us)
            return []
        self._next_check_us = now_us + MIN_CHECK_INTERVAL_US
        return [change.to_record()]

    def _next_check(self, now_us: int) -> int | None:
        """Return when to plan again without a heartbeat; None if only heartbeats trigger it."""
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
        """Return the rows that put validated budgets in force.

        A plan whose write failed comes first, because it was made for the previous
        budgets.
        """
        rows: list[Row] = []
        if self.ledger.pending is not None:
            rows.append(self.ledger.pending.to_record())
        version = max(self.version + 1, self._epoch << RESTART_VERSION_SHIFT)
        rows.append({"config": raw, "version": version, "source": source})
        return rows

    def confirm_processes(self, now_us: int, token: Token | None) -> list[Row]:
        """Apply an operator's confirmation, and return the rows to store.

        With a token: its process has ended. With None, after a state folder was lost:
        every process that has a reserve is registered with the ledger.
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
            raise ValueError(
                f"budget change {row['budgets']} is not the pending change"
            )
        self._log_grants(row)
        self.ledger.commit(change)
        self._config_pending = False

    def _commit_config(self, now_us: int, row: Row) -> None:
        budgets = config.parse_budgets(row["config"])
        self._apply_config(row)
        self.ledger.configure(budgets, now_us)
        # The ledger has to receive the reports again for a new budget.
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

        A write that was reported as failed may still have reached the disk.
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
        """Log the grants and the ended shares of each budget, with the reason."""
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
        """Return `Ledger.status` by destination, with the end times of cooling calls."""
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
        """Return the gauges of each budget, by destination."""
        return {
            destination: _budget_gauges(status)
            for destination, status in self.ledger.status(now_us).items()
        }


def _budget_gauges(status: Mapping[str, Any]) -> dict[str, int]:
    """Return a budget's gauges, by exported name."""
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
    """Return the budgets in force that were always configured and whose window never grew.

    Their free calls stay free over a restart. Calls of any other budget may still count
    in a window that has not passed yet.
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
    """Return whether a member's share may change without a heartbeat.

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
