"""The states of the model of budgets: their copies, and when two count as one."""

from __future__ import annotations

import copy
from collections.abc import Hashable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from rainfall.budget.account import MemberAccount
from rainfall.budget.ledger import Ledger
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.sliding_window import SlidingWindow
from rainfall.lease.fencing_token import Token
from rainfall.model_checker.network import Network

T = TypeVar("T")


@dataclass(frozen=True)
class Process:
    """One member's running process."""

    pid: int
    token: Token | None
    follows: Token | None
    purse: MemberQuota
    at: int
    """Its own clock."""
    slow: bool = False
    """Its clock missed the last tick, so it does not miss the next."""


@dataclass(frozen=True)
class ModelState:
    """Never changed once made: its parts are copied before a change."""

    now: int
    ledger: Ledger
    leases: dict[Token, int]
    disk: dict[str, Any]
    members: tuple[Process, ...]
    net: Network
    sent: tuple[tuple[int, int], ...] = ()
    delays: int = 0
    slows: int = 0
    crashes: int = 0
    restarts: int = 0
    epoch: int = 1
    tokens: int = 0


def state_key(w: ModelState, ttl: int) -> Hashable:
    """What tells states apart.

    Times as ages, tokens by rank, numbers counted from the acknowledged ones.
    """
    book, aim = w.ledger.budget_accounts["d"], w.ledger.allocations["d"]
    ranks = _token_ranks(w)
    base = {p.purse.share.token: p.purse.share.number for p in w.members}
    base.update((t, a.acknowledged_number) for t, a in book.accounts.items())
    accounts = tuple(
        (
            ranks[t],
            a.state,
            a.persisted,
            a.total_demand(),
            tuple(
                (g.number - a.acknowledged_number, g.calls, g.reserve) for g in a.grants
            ),
            a.lent_until_us > 0,
            max(0, a.lent_until_us - w.now),
            max(0, a.removable_at_us - w.now),
            w.leases.get(t, w.now) - w.now,
        )
        for t, a in book.accounts.items()
    )
    settled = (
        -1
        if aim.settled_at_us is None
        else min(w.now - aim.settled_at_us, 2 * book.window_us())
    )
    ledger = (
        accounts,
        tuple(sorted((until - w.now, c) for until, c in book.cooling)),
        max(0, book.grants_from_us - w.now),
        settled,
        aim.scarce,
        aim.divided_at_us is None,
        book.inputs_changed,
        tuple((ranks[t], c) for t, c in aim.target_shares.items() if t in ranks),
        tuple((ranks[t], c) for t, c in aim.credit.items() if t in ranks),
        tuple((ranks[t], c) for t, c in aim.pending_credit.items() if t in ranks),
        tuple(
            (ranks[t], until - w.now) for t, until in w.ledger.presumed_until_us.items()
        ),
    )
    members = tuple(
        (
            p.token and ranks[p.token],
            p.follows and ranks.get(p.follows),
            p.slow,
            ranks[p.purse.share.token],
            p.purse.share.number - base[p.purse.share.token],
            p.purse.share.calls,
            p.purse.share.reserve,
            ranks.get(p.purse.fenced_token),
            max(0, p.purse.valid_until_us - p.at),
            max(0, p.purse.window.unknown_until_us + p.purse.window.length_us - p.at),
            tuple(
                (p.at - at, c)
                for _, at, c in p.purse.window.entries
                if at > p.at - p.purse.window.length_us
            ),
        )
        for p in w.members
    )
    bag = tuple(
        sorted(repr(_message_key(w, m, ranks, base, ttl)) for m in w.net.in_transit)
    )
    disk = repr(w.disk) if w.restarts else ""
    sent = tuple((w.now - at, c) for at, c in w.sent)
    return (ledger, members, bag, sent, disk, w.delays, w.slows, w.crashes, w.restarts)


def _message_key(
    w: ModelState,
    message: Any,
    ranks: dict[Token, int],
    base: dict[Token, int],
    ttl: int,
) -> Any:
    """A message by the effect that it can still have.

    Requests sent longer ago than any lease lasts count as equally old.
    """
    if message[0] == "beat":
        _, n, pid, token, follows, asked, need, holds, keeps = message
        said = holds and (holds[0], holds[1] - base.get(token, holds[1]))
        rest: tuple[Any, ...] = (
            ranks.get(token),
            ranks.get(follows),
            need,
            said,
            keeps,
        )
    else:
        _, n, pid, token, asked, shares = message
        rest = (
            ranks.get(token),
            shares
            and [
                (s.calls, s.reserve, s.number - base.get(token, s.number))
                for s in shares
            ],
        )
    p = w.members[n]
    return (message[0], n, pid == p.pid, min(p.at - asked, ttl + 1), rest)


def _token_ranks(w: ModelState) -> dict[Token, int]:
    tokens = set(w.ledger.budget_accounts["d"].accounts) | set(w.leases)
    for p in w.members:
        tokens.update(t for t in (p.token, p.follows, p.purse.share.token) if t)
    for message in w.net.in_transit:
        tokens.update(t for t in message[3:5] if isinstance(t, Token))  # type: ignore[index]
    return {token: n for n, token in enumerate(sorted(tokens))}


def describe_message(message: Any) -> str:
    """The message in a step's text."""
    if message[0] == "beat":
        return f"f{message[1]}'s beat of {message[5]}, needs {message[6]}, holds {message[7]}"
    shares = message[5]
    told = (
        "lost"
        if shares is None
        else ", ".join(f"{s.calls} (number {s.number})" for s in shares)
    )
    return f"f{message[1]}'s answer to {message[4]}: {told or 'nothing'}"


def replace_member(
    members: tuple[Process, ...], n: int, p: Process
) -> tuple[Process, ...]:
    """The members with one of them replaced."""
    return (*members[:n], p, *members[n + 1 :])


def _shallow_copy(one: T) -> T:
    twin = object.__new__(type(one))
    twin.__dict__.update(one.__dict__)
    return twin


def replace_fields(one: T, **changed: Any) -> T:
    """dataclasses.replace, three times as fast: most of a search's time goes here."""
    twin = _shallow_copy(one)
    twin.__dict__.update(changed)
    return twin


def copy_quota(purse: MemberQuota) -> MemberQuota:
    """A copy that shares only what never changes."""
    fresh = _shallow_copy(purse)
    w = purse.window
    fresh.window = SlidingWindow(
        w.length_us, w.unknown_until_us, w.call_count, copy.copy(w.entries)
    )
    return fresh


def copy_ledger(ledger: Ledger) -> Ledger:
    """A copy that shares only what never changes."""
    fresh = _shallow_copy(ledger)
    fresh.budget_accounts, fresh.allocations = {}, {}
    fresh.names, fresh.presumed_until_us = (
        dict(ledger.names),
        dict(ledger.presumed_until_us),
    )
    for destination, book in ledger.budget_accounts.items():
        twin = fresh.budget_accounts[destination] = _shallow_copy(book)
        twin.accounts = {
            t: MemberAccount(
                a.name,
                t,
                list(a.grants),
                a.acknowledged_number,
                a.state,
                a.removable_at_us,
                a.lent_until_us,
                a.persisted,
                a.demand,
            )
            for t, a in book.accounts.items()
        }
        twin.cooling = list(book.cooling)
        fresh.allocations[destination] = replace(ledger.allocations[destination])
    return fresh
