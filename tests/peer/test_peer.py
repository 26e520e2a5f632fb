"""Frames and links between forwarders: what is taken, what ends a link, what is owed
when it ends.
"""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.peer import frames as f
from rainfall.peer import links
from rainfall.session import protocol as w

HAND = w.MigrationId("g", 1, 2, 3)
ITEM = w.TransferredMessage(
    "m1", "cart", 7, 250_000, b"\x00\xffbody", "idem", None, 2, 9, -5, "s-1"
)
ALL: list[Any] = [
    f.Hello(1, "g", "a", (1, 2)),
    f.CapacityReport(5, 1, 2, 0.5, False, True),
    f.SessionMoved("k", "t", 3),
    f.Forward(1, "k", 6, ("x",), 5, ITEM, True),
    f.Forwarded(1, "refused", 500, 6),
    w.Offer(HAND, "k", "a", "over", 1, 2, 3),
    w.Accept(HAND, 9),
    w.Decline(HAND, "full"),
    w.CopyPart(HAND, 9, 0, 2, (ITEM,), ("m0",)),
    w.CopyStored(HAND, (1, 2)),
    w.Commit(HAND, (1, 2)),
    w.Activated(HAND, 9),
    w.Released(HAND),
    w.Abort(HAND),
    w.Aborted(HAND),
    w.UnknownMigration(HAND),
    w.TailMessage(HAND, 9, 4, 100, ITEM),
    w.TailMessageResult(HAND, 4, "taken", 9),
    w.TailEnd(HAND),
]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(
    st.lists(st.sampled_from(ALL), max_size=12),
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
@given(st.sampled_from(ALL), st.integers(0, 10**6), st.binary(min_size=1, max_size=6))
def test_spoilt_bytes_are_a_frame_or_malformed(
    frame: Any, at: int, junk: bytes
) -> None:
    data = bytearray(f.encode(frame)[f.LENGTH_PREFIX_BYTES :])
    data[at % len(data) : at % len(data) + len(junk)] = junk
    try:
        assert f.decode(bytes(data))
    except f.MalformedFrameError as error:
        assert "\n" not in str(error)


def but(one: Any, **fields: Any) -> Any:
    return msgspec.structs.replace(one, **fields)


@pytest.mark.parametrize(
    "frame, path",
    [
        (but(ALL[3], item=but(ITEM, body=bytes(w.BODY_LIMIT_BYTES + 1))), "$[6][4]"),
        (but(ALL[5], key="k" * 201), "$[2]"),
        (w.Commit(HAND, (1, -2)), "$[2][1]"),
        (w.Commit(w.MigrationId("", 1, 1, 1), (1, 2)), "$[1][0]"),
        (w.CopyPart(HAND, 9, 0, 0), "$[4]"),
        (but(ALL[17], outcome="eaten"), "$[3]"),
        (but(ALL[1], load=-1.0), "$[4]"),
    ],
)
def test_a_field_out_of_bounds_is_told_with_its_path(frame: Any, path: str) -> None:
    with pytest.raises(
        f.MalformedFrameError,
        match=r"`" + path.replace("$", r"\$").replace("[", r"\[") + "`",
    ):
        f.decode(f.encode(frame)[f.LENGTH_PREFIX_BYTES :])


def test_no_frame_is_held_or_sent_that_is_too_long() -> None:
    with pytest.raises(f.MalformedFrameError):
        f.FrameSplitter().feed(
            (f.FRAME_LIMIT_BYTES + 1).to_bytes(f.LENGTH_PREFIX_BYTES, "big")
        )
    items = tuple(but(ITEM, body=bytes(w.BODY_LIMIT_BYTES)) for _ in range(2))
    with pytest.raises(f.MalformedFrameError):
        f.encode(w.CopyPart(HAND, 9, 0, 1, items))
    with pytest.raises(f.MalformedFrameError):
        f.decode(b"\x91" * 100_000)


def up(
    life: w.LeaseToken = (1, 2), seen: links.KnownLeases | None = None, **more: Any
) -> links.Link:
    link = links.Link(f.Hello(1, "t", "b", (1, 1)), seen or links.KnownLeases(), **more)
    assert isinstance(link.on_opened(0)[0], links.WriteBytes)
    link.on_data(f.encode(f.Hello(1, "g", "a", life)), 0)
    return link


def test_who_may_be_at_the_other_end() -> None:
    seen = links.KnownLeases()
    lives: list[w.LeaseToken] = [(1, 5), (1, 4), (0, 0), (2, 0), (1, 9)]
    assert [bool(up(life, seen).peer) for life in lives] == [
        True,
        False,
        True,
        True,
        False,
    ]
    assert not up(expected="other").peer and up(expected="g").peer
    for first in (f.Hello(2, "g", "a", (1, 1)), f.Hello(1, "t", "a", (1, 1)), ALL[1]):
        link = links.Link(f.Hello(1, "t", "b", (1, 1)), links.KnownLeases())
        assert [type(d) for d in link.on_data(f.encode(first), 0)] == [links.CloseLink]
        assert link.send(w.TailEnd(HAND)) is None


def test_forwarded_messages_end_once() -> None:
    link = up(max_pending=3)
    ask = f.Forward(0, "k", 1, ("t",), 0, but(ITEM, deadline_us=900))
    assert link.forward(ask) is None, "no stamp of theirs yet: no due can be told"
    link.on_data(f.encode(f.CapacityReport(77, 1, 1, 0.1, False, True)), 500)
    first = link.forward(ask)
    assert first is not None and isinstance(first[1][0], links.WriteBytes)
    sent = f.decode(first[1][0].data[f.LENGTH_PREFIX_BYTES :])
    assert isinstance(sent, f.Forward) and (
        sent.number,
        sent.stamp_us,
        sent.item.deadline_us,
    ) == (1, 77, 400)
    assert link.forward(ask) and link.forward(ask) and link.forward(ask) is None
    answer = f.encode(f.Forwarded(1, "taken"))
    assert (
        link.on_data(answer, 1) == [links.ForwardOutcome(1, "taken", 0)]
        and link.on_data(answer, 1) == []
    )
    assert [
        d.outcome for d in link.close("broke") if isinstance(d, links.ForwardOutcome)
    ] == [
        "unknown",
        "unknown",
    ]
    assert link.close("broke") == [] and link.on_data(answer, 1) == []


def test_a_link_ends_by_silence_disorder_and_junk_and_sends_within_bounds() -> None:
    link = up(silence_timeout_us=100)
    assert link.tick(99) == [] and isinstance(link.tick(100)[-1], links.CloseLink)
    link, one = up(), f.encode(ALL[3])
    assert [type(d) for d in link.on_data(one, 1)] == [links.FrameReceived]
    assert [type(d) for d in link.on_data(one, 1)] == [links.CloseLink], (
        "the same number again"
    )
    assert isinstance(up().on_data(b"\x00\x00\x00\x02\xc1\xc1", 1)[-1], links.CloseLink)
    link = up(max_unwritten_bytes=200)
    writes = [link.send(w.TailEnd(HAND)) for _ in range(20)]
    assert writes[0] and writes[-1] is None
    link.on_written(link.unwritten_bytes)
    assert link.send(w.TailEnd(HAND))
