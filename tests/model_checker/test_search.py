"""The explorer itself: it visits all there is, stops at the shortest breach, and says
how far it went.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

import pytest

from rainfall.model_checker.__main__ import main
from rainfall.model_checker.network import Network
from rainfall.model_checker.search import explore

State = tuple[tuple[str, str], str]


class TwoAtOneDoor:
    """Two who look at a flag before they go in. Without a lock between look and step
    both may be in.
    """

    def __init__(self, locked: bool = False) -> None:
        self.locked = locked

    def start(self) -> State:
        return ("out", "out"), "free"

    def steps(self, state: State) -> Iterable[tuple[str, State]]:
        who, flag = state
        for n, at in enumerate(who):

            def moved(to: str, n: int = n) -> tuple[str, str]:
                return (to, who[1]) if n == 0 else (who[0], to)

            if at == "out" and flag == "free":
                yield f"{n} looks", (moved("looked"), "taken" if self.locked else flag)
            elif at == "looked":
                yield f"{n} goes in", (moved("in"), "taken")
            elif at == "in":
                yield f"{n} leaves", (moved("out"), "free")

    def key(self, state: State) -> Hashable:
        return state

    def broken(self, state: State) -> str:
        return "two inside" if state[0] == ("in", "in") else ""


def test_the_shortest_way_to_a_breach_is_told() -> None:
    found = explore(TwoAtOneDoor(), 20)
    assert found.violation == "two inside"
    assert len(found.trace) == 4 and sorted(found.trace[:2]) == ["0 looks", "1 looks"]


def test_a_search_without_a_breach_says_how_far_it_went() -> None:
    whole = explore(TwoAtOneDoor(locked=True), 20)
    assert (whole.violation, whole.complete, whole.states) == (
        "",
        True,
        5,
    )  # both out; either looked, either in
    short = explore(TwoAtOneDoor(locked=True), 1)
    assert (short.complete, short.depth, short.states) == (False, 1, 3)
    few = explore(TwoAtOneDoor(locked=True), 20, max_states=2)
    assert not few.complete and few.states == 2


def test_messages_arrive_in_any_order_once_or_as_often_as_allowed() -> None:
    net = Network(losses_left=1, duplicates_left=1).send("b").send("a").send("a")
    assert [m for m, _ in net.arrivals()] == [
        "a",
        "a",
        "b",
        "b",
    ]  # each alone, and each with a copy to come
    assert {after.in_transit for m, after in net.arrivals() if m == "a"} == {
        ("a", "b"),
        ("a", "a", "b"),
    }
    assert [after.losses_left for _, after in net.lost()] == [0, 0]
    assert not list(Network(("a",)).lost())
    assert Network(("a",), max_in_transit=1).send("b").in_transit == ("a",)


def test_the_command_tells_the_steps_and_fails(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["tests.model_checker.test_search:TwoAtOneDoor", "--depth", "9"]) == 1
    assert "broken: two inside" in capsys.readouterr().out
    assert main(["tests.model_checker.test_search:Nothing"]) == 2
