"""Tests of the search: it visits all states, returns the shortest trace to a violation,
and reports its extent.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

import pytest

from rainfall.model_checker.__main__ import main
from rainfall.model_checker.network import Network
from rainfall.model_checker.search import explore

State = tuple[tuple[str, str], str]


class CriticalSectionModel:
    """Two processes that check a flag before they enter a critical section.

    Unless `locked`, the check does not set the flag, so both may enter.
    """

    def __init__(self, locked: bool = False) -> None:
        self.locked = locked

    def start(self) -> State:
        return ("out", "out"), "free"

    def steps(self, state: State) -> Iterable[tuple[str, State]]:
        places, flag = state
        for index, place in enumerate(places):

            def places_after(to: str, index: int = index) -> tuple[str, str]:
                return (to, places[1]) if index == 0 else (places[0], to)

            if place == "out" and flag == "free":
                yield (
                    f"{index} looks",
                    (places_after("looked"), "taken" if self.locked else flag),
                )
            elif place == "looked":
                yield f"{index} enters", (places_after("in"), "taken")
            elif place == "in":
                yield f"{index} leaves", (places_after("out"), "free")

    def key(self, state: State) -> Hashable:
        return state

    def violation(self, state: State) -> str:
        return "two inside" if state[0] == ("in", "in") else ""


def test_search_returns_shortest_trace_to_violation() -> None:
    result = explore(CriticalSectionModel(), 20)
    assert result.violation == "two inside"
    assert len(result.trace) == 4 and sorted(result.trace[:2]) == ["0 looks", "1 looks"]


def test_search_without_violation_reports_extent() -> None:
    complete = explore(CriticalSectionModel(locked=True), 20)
    assert (complete.violation, complete.complete, complete.states) == (
        "",
        True,
        5,
    )  # both out; one has looked; one is in
    bounded_by_depth = explore(CriticalSectionModel(locked=True), 1)
    assert (
        bounded_by_depth.complete,
        bounded_by_depth.depth,
        bounded_by_depth.states,
    ) == (False, 1, 3)
    bounded_by_states = explore(CriticalSectionModel(locked=True), 20, max_states=2)
    assert not bounded_by_states.complete and bounded_by_states.states == 2


def test_network_reorders_duplicates_and_loses_messages() -> None:
    network = Network(losses_left=1, duplicates_left=1).send("b").send("a").send("a")
    assert [message for message, _ in network.arrivals()] == [
        "a",
        "a",
        "b",
        "b",
    ]  # each once, and once more with a duplicate to come
    assert {
        after.in_transit for message, after in network.arrivals() if message == "a"
    } == {
        ("a", "b"),
        ("a", "a", "b"),
    }
    assert [after.losses_left for _, after in network.lost()] == [0, 0]
    assert not list(Network(("a",)).lost())
    assert Network(("a",), max_in_transit=1).send("b").in_transit == ("a",)


def test_command_prints_violation_and_returns_exit_status(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert (
        main(["tests.model_checker.test_search:CriticalSectionModel", "--depth", "9"])
        == 1
    )
    assert "violated: two inside" in capsys.readouterr().out
    assert main(["tests.model_checker.test_search:Nothing"]) == 2
