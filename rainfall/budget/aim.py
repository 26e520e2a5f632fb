"""When a budget is divided anew, to what, and which grants lead there. Decides; the
book keeps it safe.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rainfall.budget.book import Account, Book, Grant
from rainfall.budget.divide import Division, Want, divide, fill
from rainfall.lease.token import Token

SOON = 4  # a member with work and no share waits for a pause over this at most
STEPS = (
    8  # raises are made in so many steps of a window, not for each call that gets free
)
TURN = 2  # windows that a turn lasts: a new process waits out the first


@dataclass(slots=True)
class Aim:
    """One budget's division in force: what every member shall come to have."""

    shares: dict[Token, int] = field(default_factory=dict)
    why: str = ""
    scarce: bool = False
    divided_us: int | None = None
    thought_us: int = 0
    moved_us: int | None = None
    settled_us: int | None = None
    """Since then every member acknowledged what it shall have."""
    lowered: bool = False
    """The whole was lowered since."""
    credit: dict[Token, int] = field(default_factory=dict)
    credit_next: dict[Token, int] = field(default_factory=dict)
    """Comes to count once the division is carried out: a turn that was never had is not
    paid for.
    """


def redivide(aim: Aim, book: Book, now_us: int) -> None:
    """Divide anew if there is cause to."""
    members = book.in_force()
    if aim.settled_us is None and all(
        a.acked == a.newest() and a.calls() == target(aim, a) for a in members
    ):
        aim.settled_us, aim.credit = now_us, aim.credit_next
    why = _cause(aim, book, members, now_us)
    if not why:
        return
    fresh, book.stirred, aim.thought_us = _divided(aim, book, members), False, now_us
    least = max(1, book.budget.change * book.budget.calls)
    if why == "demand" and _gain(book, members, fresh.shares) < least:
        return
    for a in members:
        a.lent_us = (
            0 if why == "whole" else a.lent_us
        )  # a lowered whole binds what was lent as well
    aim.shares, aim.scarce, aim.credit_next = fresh.shares, fresh.scarce, fresh.credit
    aim.why, aim.divided_us, aim.settled_us, aim.lowered = why, now_us, None, False


def target(aim: Aim, account: Account) -> int:
    return max(aim.shares.get(account.token, 0), account.reserve())


def _cause(aim: Aim, book: Book, members: list[Account], now_us: int) -> str:
    if not members:
        return ""
    if aim.divided_us is None:
        return "first"
    if aim.lowered:
        return "whole"
    since, pause = now_us - aim.divided_us, book.budget.pause_us
    unserved = any(
        a.work() and not a.calls() and not aim.shares.get(a.token) for a in members
    )
    if aim.scarce and unserved:
        turn_us = max(TURN * book.window_us(), pause)
        left = since >= pause // SOON and any(
            a.calls() > a.reserve() and not a.work() for a in members
        )
        if aim.settled_us is not None and (left or now_us - aim.settled_us >= turn_us):
            return "turn"
    elif unserved and since >= pause // SOON:
        return "unserved"
    if since < pause:
        return ""
    if {a.token for a in members} != set(aim.shares):
        return "members"
    thought = (
        now_us - aim.thought_us >= pause // SOON
    )  # needs change with every beat: not thought of at each
    return (
        "demand" if book.stirred and thought and not (aim.scarce and unserved) else ""
    )


def _divided(aim: Aim, book: Book, members: list[Account]) -> Division[Token]:
    budget = book.budget
    floors = {a.token: a.reserve() for a in members}
    # Reserves of all others are no part of what can be divided: of the lost, and of
    # those who may yet come.
    others = sum(a.reserve() for a in book.accounts.values() if a.token not in floors)
    whole = max(budget.calls - others - book.unseated(), sum(floors.values()))
    return divide(
        whole,
        {a.token: a.needs for a in members},
        budget.weights,
        floors,
        budget.least,
        aim.credit,
        int(budget.loose * budget.calls),
    )


def _gain(book: Book, members: list[Account], shares: dict[Token, int]) -> int:
    """Calls that would find room and do not now, or belong to another by fairness."""
    return sum(
        max(0, min(a.work(), shares[a.token]) - min(a.work(), a.calls()))
        for a in members
    )


def moves(aim: Aim, book: Book, now_us: int) -> dict[Token, Grant]:
    """The next grants towards the aim: lower at once, raise from what is free, lend
    what is left of it.
    """
    members = book.in_force()
    proposed: dict[Token, Grant] = {}
    missed = any(a.calls() < target(aim, a) for a in members) or book.free_with({}) < 0
    seats = 0 if book.shut else book.budget.members_max - book.seats()
    for a in members:
        if 0 < a.lent_us <= now_us:
            # Lent on while the burst goes on and nobody misses it; what was never lent
            # is no loan.
            on = not missed and a.work() >= a.calls() > target(aim, a)
            a.lent_us = now_us + book.window_us() if on else 0
        grant = _seat_and_lower(aim, book, a, seats > 0, now_us)
        if grant is not None:
            seats -= grant.reserve > 0 and not a.reserve()
            proposed[a.token] = grant
    free = book.free_with(proposed)
    if free <= 0:
        return proposed

    def now_has(a: Account) -> int:
        return proposed[a.token].calls if a.token in proposed else a.calls()

    short = [
        Want(a.token, 1, 0, max(0, aim.shares.get(a.token, 0) - now_has(a)))
        for a in members
    ]
    waited = aim.moved_us is None or now_us - aim.moved_us >= book.window_us() // STEPS
    if not waited and sum(w.high for w in short) > free:
        return proposed
    given, _ = fill(free, short, {})
    free -= sum(given.values())
    bursts = [
        Want(a.token, 1, 0, max(0, a.work() - now_has(a) - given[a.token]))
        for a in members
    ]
    lent, _ = fill(free, bursts, {})
    for a in members:
        if given[a.token] + lent[a.token] > 0:
            calls = now_has(a) + given[a.token] + lent[a.token]
            reserve = proposed[a.token].reserve if a.token in proposed else a.reserve()
            proposed[a.token] = Grant(a.newest() + 1, calls, reserve)
            aim.moved_us = now_us
            if lent[a.token]:
                a.lent_us = now_us + book.window_us()
    return proposed


def _seat_and_lower(
    aim: Aim, book: Book, a: Account, seat: bool, now_us: int
) -> Grant | None:
    """A reserve where a seat is left, and no more than the aim. None where it has that
    already.
    """
    wanted = book.budget.reserve
    newest = a.grants[-1].reserve if a.grants else 0
    reserve = newest
    if newest > wanted or (0 < newest < wanted <= a.calls()):
        reserve = wanted
    elif not newest and wanted and seat and not a.reserve():
        reserve = wanted
    calls = max(a.calls(), reserve)
    aimed = max(aim.shares.get(a.token, 0), reserve)
    if calls > aimed and now_us >= a.lent_us:
        calls = aimed
    return (
        Grant(a.newest() + 1, calls, reserve)
        if calls != a.calls() or reserve != newest
        else None
    )
