"""Checks admin answers, log lines, HTTP messages and the simulator's wire format against
recorded data.
"""

from __future__ import annotations

import asyncio
import json

from rainfall.dispatch import Action, RecordOutage
from rainfall.wirehost import ENDPOINT_STATE_BY_WORD, LIST_KIND_BY_WORD, OUTCOME_BY_WORD
from tests.compatibility import operators, wires
from tests.compatibility.references import as_read, kept_bytes, kept_value


def test_admin_answers_and_metric_keys_equal_the_recorded_ones() -> None:
    for name, value in asyncio.run(operators.operators_calls()).items():
        assert as_read(value) == kept_value(name), name


def test_forwarder_log_lines_equal_the_recorded_ones() -> None:
    """The recorded logger names start with the former package name, which is replaced before
    the comparison.
    """
    found = asyncio.run(operators.message_lines())
    text = json.dumps(kept_value("log-forwarder"))
    text = text.replace('"logger": "lemonshunt.', '"logger": "rainfall.')
    assert as_read(found) == json.loads(text)


def test_list_service_log_lines_have_the_recorded_keys() -> None:
    found = asyncio.run(operators.registry_lines())
    assert as_read(found) == kept_value("log-registry")


def test_client_requests_are_parsed_and_endpoint_requests_encoded_as_recorded() -> None:
    assert as_read(operators.asked_of_clients()) == kept_value("requests-read")
    assert asyncio.run(operators.sent_to_targets()) == kept_bytes("requests-sent")


def test_settings_are_parsed_from_the_configuration_as_recorded() -> None:
    assert as_read(operators.settings_read()) == kept_value("settings-read")


def test_recorded_wire_input_gives_the_recorded_output() -> None:
    text = kept_bytes("wire-input").decode()
    assert wires.output(text).encode() == kept_bytes("wire-output")
    assert as_read(wires.actions()) == kept_value("wire-actions")


def test_recorded_wire_covers_every_event_and_action_type() -> None:
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
