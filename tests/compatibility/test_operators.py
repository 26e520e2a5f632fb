"""Answers to operators, log lines, HTTP and the simulator's wire are as recorded."""

from __future__ import annotations

import asyncio
import json

from rainfall.dispatch import Action, RecordOutage
from rainfall.wirehost import ENDPOINT_STATE_BY_WORD, LIST_KIND_BY_WORD, OUTCOME_BY_WORD
from tests.compatibility import operators, wires
from tests.compatibility.references import as_read, kept_bytes, kept_value


def test_operators_are_answered_and_figures_have_the_keys_as_recorded() -> None:
    for name, value in asyncio.run(operators.operators_calls()).items():
        assert as_read(value) == kept_value(name), name


def test_log_lines_of_a_forwarder_are_the_recorded_ones() -> None:
    """The loggers bear the package's present name; their parts are as recorded."""
    found = asyncio.run(operators.message_lines())
    text = json.dumps(kept_value("log-forwarder"))
    text = text.replace('"logger": "lemonshunt.', '"logger": "rainfall.')
    assert as_read(found) == json.loads(text)


def test_log_lines_of_the_list_service_have_the_recorded_keys() -> None:
    found = asyncio.run(operators.registry_lines())
    assert as_read(found) == kept_value("log-registry")


def test_requests_are_read_and_sent_as_recorded() -> None:
    assert as_read(operators.asked_of_clients()) == kept_value("requests-read")
    assert asyncio.run(operators.sent_to_targets()) == kept_bytes("requests-sent")


def test_settings_are_read_from_the_configuration_s_facts_as_recorded() -> None:
    assert as_read(operators.settings_read()) == kept_value("settings-read")


def test_the_recorded_input_has_the_recorded_output() -> None:
    text = kept_bytes("wire-input").decode()
    assert wires.output(text).encode() == kept_bytes("wire-output")
    assert as_read(wires.actions()) == kept_value("wire-actions")


def test_every_kind_of_event_and_action_is_recorded() -> None:
    sent = kept_bytes("wire-input").decode()
    assert wires.types_in(sent, "inbox") == {
        "TABLE",
        "UP",
        "DOWN",
        "MEMBERS",
        "ASK",
        "CLOSED_ATTEMPT",
        "CHECK_RESULT",
        "CLIENT_LEFT",
        "DEADLINE_HIT",
        "NEVER_HEARD",
    }
    for word in (*OUTCOME_BY_WORD, *ENDPOINT_STATE_BY_WORD, *LIST_KIND_BY_WORD):
        assert f'"{word}"' in sent, word
    answered = wires.types_in(kept_bytes("wire-output").decode(), "do")
    assert answered == {
        "ISSUE",
        "ARM",
        "TURN_AWAY",
        "END_FAILED",
        "ABANDON",
        "RELEASE",
        "STREAM_CHANGES",
        "PRINT",
        "INTERNAL_ERROR",
    }
    assert {type(a) for a in wires.ACTIONS} == {*Action.__args__} - {RecordOutage}
