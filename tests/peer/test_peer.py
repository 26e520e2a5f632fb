"""Tests of the frames and links between forwarders.

They cover decoding limits, the reasons that close a link, and the outcomes of forwarded
messages when it closes.
"""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.peer import frames as f
from rainfall.peer import links
from rainfall.session import protocol as session_protocol

MIGRATION_ID = session_protocol.MigrationId("g", 1, 2, 3)
ITEM = session_protocol.TransferredMessage(
    "m1", "cart", 7, 250_000, b"\x00\xffbody", "idem", None, 2, 9, -5, "s-1"
)
FRAMES: list[Any] = [
    f.Hello(1, "g", "a", (1, 2)),
    f.CapacityReport(5, 1, 2, 0.5, False, True),
    f.SessionMoved("k", "t", 3),
    f.Forward(1, "k", 6, ("x",), 5, ITEM, True),
    f.Forwarded(1, "refused", 500, 6),
    session_protocol.Offer(MIGRATION_ID, "k", "a", "over", 1, 2, 3),
    session_protocol.Accept(MIGRATION_ID, 9),
    session_protocol.Decline(MIGRATION_ID, "full"),
    session_protocol.CopyPart(MIGRATION_ID, 9, 0, 2, (ITEM,), ("m0",)),
    session_protocol.CopyStored(MIGRATION_ID, (1, 2)),
    session_protocol.Commit(MIGRATION_ID, (1, 2)),
    session_protocol.Activated(MIGRATION_ID, 9),
    session_protocol.Released(MIGRATION_ID),
    session_protocol.Abort(MIGRATION_ID),
    session_protocol.Aborted(MIGRATION_ID),
    session_protocol.UnknownMigration(MIGRATION_ID),
    session_protocol.TailMessage(MIGRATION_ID, 9, 4, 100, ITEM),
    session_protocol.TailMessageResult(MIGRATION_ID, 4, "taken", 9),
    session_protocol.TailEnd(MIGRATION_ID),
]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(
    st.lists(st.sampled_from(FRAMES), max_size=12),
    st.lists(st.integers(1, 40), min_size=1, max_size=20),
)
def test_frames_come_whole_however_the_bytes_do(
    sent: list[Any], cuts: list[int]
) -> None:
    data, splitter, found, at, n = (
        b"".join(map(f.encode, sent)),
        f.FrameSplitter(),
        [],
        0,
        0,
    )
    while at < len(data):
        found += splitter.feed(data[at : at + cuts[n % len(cuts)]])
        at, n = at + cuts[n % len(cuts)], n + 1
    assert found == sent and not splitter.buffer


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.sampled_from(FRAMES), st.integers(0, 10**6), st.binary(min_size=1, max_size=6)
)
def test_spoilt_bytes_are_a_frame_or_malformed(
    frame: Any, at: int, junk: bytes
) -> None:
    data = bytearray(f.encode(frame)[f.LENGTH_PREFIX_BYTES :])
    data[at % len(data) : at % len(data) + len(junk)] = junk
    try:
        assert f.decode(bytes(data))
    except f.MalformedFrameError as error:
        assert "\n" not in str(error)


def with_fields(frame: Any, **fields: Any) -> Any:
    return msgspec.structs.replace(frame, **fields)


@pytest.mark.parametrize(
    "frame, path",
    [
        (
            with_fields(
                FRAMES[3],
                item=with_fields(
                    ITEM, body=bytes(session_protocol.BODY_LIMIT_BYTES + 1)
                ),
            ),
            "$[6][4]",
        ),
        (with_fields(FRAMES[5], key="k" * 201), "$[2]"),
        (session_protocol.Commit(MIGRATION_ID, (1, -2)), "$[2][1]"),
        (
            session_protocol.Commit(session_protocol.MigrationId("", 1, 1, 1), (1, 2)),
            "$[1][0]",
        ),
        (session_protocol.CopyPart(MIGRATION_ID, 9, 0, 0), "$[4]"),
        (with_fields(FRAMES[17], outcome="eaten"), "$[3]"),
        (with_fields(FRAMES[1], load=-1.0), "$[4]"),
    ],
)
def test_decode_error_names_the_path_of_an_invalid_field(frame: Any, path: str) -> None:
    with pytest.raises(
        f.MalformedFrameError,
        match=r"`" + path.replace("$", r"\$").replace("[", r"\[") + "`",
    ):
        f.decode(f.encode(frame)[f.LENGTH_PREFIX_BYTES :])


def test_frames_over_the_size_limit_are_rejected() -> None:
    with pytest.raises(f.MalformedFrameError):
        f.FrameSplitter().feed(
            (f.FRAME_LIMIT_BYTES + 1).to_bytes(f.LENGTH_PREFIX_BYTES, "big")
        )
    items = tuple(
        with_fields(ITEM, body=bytes(session_protocol.BODY_LIMIT_BYTES))
        for _ in range(2)
    )
    with pytest.raises(f.MalformedFrameError):
        f.encode(session_protocol.CopyPart(MIGRATION_ID, 9, 0, 1, items))
    with pytest.raises(f.MalformedFrameError):
        f.decode(b"\x91" * 100_000)


def open_link(
    lease_token: session_protocol.LeaseToken = (1, 2),
    known_leases: links.KnownLeases | None = None,
    **fields: Any,
) -> links.Link:
    link = links.Link(
        f.Hello(1, "t", "b", (1, 1)), known_leases or links.KnownLeases(), **fields
    )
    assert isinstance(link.on_opened(0)[0], links.WriteBytes)
    link.on_data(f.encode(f.Hello(1, "g", "a", lease_token)), 0)
    return link


def test_link_accepts_only_a_valid_hello() -> None:
    known_leases = links.KnownLeases()
    lease_tokens: list[session_protocol.LeaseToken] = [
        (1, 5),
        (1, 4),
        (0, 0),
        (2, 0),
        (1, 9),
    ]
    assert [
        bool(open_link(lease_token, known_leases).peer) for lease_token in lease_tokens
    ] == [
        True,
        False,
        True,
        True,
        False,
    ]
    assert (
        not open_link(expected_name="other").peer and open_link(expected_name="g").peer
    )
    for first in (
        f.Hello(2, "g", "a", (1, 1)),
        f.Hello(1, "t", "a", (1, 1)),
        FRAMES[1],
    ):
        link = links.Link(f.Hello(1, "t", "b", (1, 1)), links.KnownLeases())
        assert [type(action) for action in link.on_data(f.encode(first), 0)] == [
            links.CloseLink
        ]
        assert link.send(session_protocol.TailEnd(MIGRATION_ID)) is None


def test_each_forwarded_message_gets_one_outcome() -> None:
    link = open_link(max_pending=3)
    forward = f.Forward(0, "k", 1, ("t",), 0, with_fields(ITEM, deadline_us=900))
    assert link.forward(forward) is None, (
        "no deadline can be sent before a stamp of the peer has arrived"
    )
    link.on_data(f.encode(f.CapacityReport(77, 1, 1, 0.1, False, True)), 500)
    first = link.forward(forward)
    assert first is not None and isinstance(first[1][0], links.WriteBytes)
    sent = f.decode(first[1][0].data[f.LENGTH_PREFIX_BYTES :])
    assert isinstance(sent, f.Forward) and (
        sent.number,
        sent.stamp_us,
        sent.item.deadline_us,
    ) == (1, 77, 400)
    assert (
        link.forward(forward)
        and link.forward(forward)
        and link.forward(forward) is None
    )
    answer = f.encode(f.Forwarded(1, "taken"))
    assert (
        link.on_data(answer, 1) == [links.ForwardOutcome(1, "taken", 0)]
        and link.on_data(answer, 1) == []
    )
    assert [
        action.outcome
        for action in link.close("broke")
        if isinstance(action, links.ForwardOutcome)
    ] == [
        "unknown",
        "unknown",
    ]
    assert link.close("broke") == [] and link.on_data(answer, 1) == []


def test_link_closes_on_silence_or_invalid_data_and_limits_unwritten_bytes() -> None:
    link = open_link(silence_timeout_us=100)
    assert link.tick(99) == [] and isinstance(link.tick(100)[-1], links.CloseLink)
    link, forward = open_link(), f.encode(FRAMES[3])
    assert [type(action) for action in link.on_data(forward, 1)] == [
        links.FrameReceived
    ]
    assert [type(action) for action in link.on_data(forward, 1)] == [links.CloseLink], (
        "a repeated message number"
    )
    assert isinstance(
        open_link().on_data(b"\x00\x00\x00\x02\xc1\xc1", 1)[-1], links.CloseLink
    )
    link = open_link(max_unwritten_bytes=200)
    writes = [link.send(session_protocol.TailEnd(MIGRATION_ID)) for _ in range(20)]
    assert writes[0] and writes[-1] is None
    link.on_written(link.unwritten_bytes)
    assert link.send(session_protocol.TailEnd(MIGRATION_ID))
