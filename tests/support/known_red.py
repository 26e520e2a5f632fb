"""Pytest plugin: reports known failing tests as expected failures and prints them.

KNOWN-RED.txt at the root lists the known failing tests, one per line, at most MOST:

    tests/test_x.py::test_y | command and seed | observed failure | issue 26

The run fails if a listed test passes or is skipped, and, unless the run is limited to some
of the tests, if a listed test was not run. It ends before any test if the list cannot be
parsed. A missing or empty file has no effect.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = "KNOWN-RED.txt"
MOST = 40
TEST = re.compile(r"[^\s:|]+\.py(::\w+)+(\[.+\])?")
ISSUE = re.compile(r"(issue |#)?[0-9]+")
NARROWED = (
    "keyword",
    "markexpr",
    "deselect",
    "ignore",
    "ignore_glob",
    "lf",
    "failedfirst",
    "collectonly",
)
"""Options that limit a run to some of the tests."""


@dataclass(frozen=True)
class Known:
    """One listed test."""

    test: str
    command: str
    """The command and seed that reproduce the failure."""
    seen: str
    """The observed failure."""
    issue: str

    def __str__(self) -> str:
        return f"{self.test} | {self.command} | {self.seen} | {self.issue}"


class KnownRedListError(Exception):
    """The list is malformed; the message is one line."""


def is_entry(parts: list[str]) -> bool:
    """Returns whether a line's parts are a test, a command, an observed failure and an issue."""
    if len(parts) != 4 or not all(parts):
        return False
    return bool(TEST.fullmatch(parts[0]) and ISSUE.fullmatch(parts[3]))


def read(path: Path) -> dict[str, Known]:
    """Reads the list and returns its entries by test. Raises KnownRedListError."""
    text = path.read_text() if path.is_file() else ""
    known: dict[str, Known] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.rsplit(" | ", 3)]
        if not is_entry(parts):
            raise KnownRedListError(
                f"{path.name}:{number}: not 'test | command and seed | observed failure | "
                f"issue': {line.strip()[:200]}"
            )
        if parts[0] in known:
            raise KnownRedListError(f"{path.name}:{number}: listed twice: {parts[0]}")
        known[parts[0]] = Known(*parts)
    if len(known) > MOST:
        raise KnownRedListError(
            f"{path.name}: {len(known)} tests listed, {MOST} at most"
        )
    return known


class KnownRed:
    """Evaluates the listed tests.

    Each worker process replaces the outcomes of listed tests; the reporting process
    collects them, sets the exit status and prints the summary.
    """

    def __init__(self, known: dict[str, Known], whole: bool) -> None:
        self.known, self.whole = known, whole
        self.red: set[str] = set()
        """Listed tests that have already failed in this process."""
        self.ran: dict[str, str] = {}
        self.faults: list[str] = []

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        entry = self.known.get(item.nodeid)
        if entry is None:
            return report
        if report.failed and (report.when != "teardown" or item.nodeid in self.red):
            self.red.add(item.nodeid)
            report.outcome, report.wasxfail = "skipped", f"{LIST}: {entry.seen}"
            report.known_red = "red"  # type: ignore[attr-defined]
        elif report.skipped or (report.passed and report.when == "call"):
            report.known_red = "skipped" if report.skipped else "green"  # type: ignore[attr-defined]
            report.outcome = "failed"
            report.longrepr = f"listed in {LIST}, and {report.known_red}"
            vars(report).pop("wasxfail", None)
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if (outcome := getattr(report, "known_red", None)) is not None:
            self.ran.setdefault(report.nodeid, outcome)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if hasattr(session.config, "workerinput"):
            return
        self.faults = [
            f"{test}: listed, and {self.ran[test]}: strike it from the list"
            for test in self.known
            if self.ran.get(test, "red") != "red"
        ]
        if self.whole:
            self.faults += [
                f"{test}: listed, and not run"
                for test in self.known
                if test not in self.ran
            ]
        if self.faults and session.exitstatus in (
            pytest.ExitCode.OK,
            pytest.ExitCode.NO_TESTS_COLLECTED,
        ):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        expected_failures = [
            entry for test, entry in self.known.items() if self.ran.get(test) == "red"
        ]
        if expected_failures:
            terminalreporter.section(
                f"known red, passed over: {len(expected_failures)}", red=True
            )
            for entry in expected_failures:
                terminalreporter.write_line(str(entry))
        if self.faults:
            terminalreporter.section(f"{LIST} does not hold", red=True)
            for fault in self.faults:
                terminalreporter.write_line(fault)


def pytest_configure(config: pytest.Config) -> None:
    try:
        known = read(config.rootpath / LIST)
    except (KnownRedListError, OSError, UnicodeDecodeError) as error:
        raise pytest.UsageError(" ".join(str(error).split())) from None
    if known:
        whole = config.args_source is not pytest.Config.ArgsSource.ARGS and not any(
            getattr(config.option, name, None) for name in NARROWED
        )
        config.pluginmanager.register(KnownRed(known, whole), "known-red-list")
