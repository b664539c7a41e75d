"""Tests of the frame codec with valid, malformed and damaged input."""

import dataclasses
import typing as t

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from savorytally.peer import codec
from savorytally.peer import messages

TEXT = strategies.text(max_size=20)
NUMBERS = strategies.integers(0, 2**63 - 1)
VALUES = {
    int: NUMBERS,
    str: TEXT,
    bytes: strategies.binary(max_size=200),
    bool: strategies.booleans(),
    float: strategies.floats(allow_nan=False),
    messages.Pairs: strategies.lists(
        strategies.tuples(TEXT, TEXT), max_size=5
    ).map(tuple),
}
STREAM_KINDS = [cls for kind, cls in messages.all_kinds().items() if kind < 20]


@strategies.composite
def any_message(draw: t.Any) -> messages.Message:
    """Draw a message of the kinds for streams and calls."""
    cls = draw(strategies.sampled_from(STREAM_KINDS))
    hints = t.get_type_hints(cls)
    values = [
        draw(VALUES[hints[field.name]]) for field in dataclasses.fields(cls)
    ]
    return cls(*values)


def split(splitter: codec.FrameSplitter, data: bytes) -> list[codec.Frame]:
    return list(splitter.feed(data))


class TestRoundTrip:
    @hypothesis.given(
        strategies.lists(any_message(), min_size=1, max_size=5),
        strategies.integers(1, 50),
    )
    def test_messages_are_decoded_from_chunks_of_any_size(self, sent, size):
        data = b"".join(codec.encode(item, 3) for item in sent)
        splitter = codec.FrameSplitter()
        decoded = []
        for start in range(0, len(data), size):
            decoded += split(splitter, data[start : start + size])
        assert [frame.message for frame in decoded] == sent
        assert {frame.configuration_version for frame in decoded} == {3}

    def test_header_bytes_that_are_not_utf8_are_preserved(self):
        not_utf8 = b"caf\xe9".decode("utf-8", "surrogateescape")
        sent = messages.AnswerHead(
            1, 200, (("X-Place", not_utf8),), 0, 0, 0, False, 0, b""
        )
        (frame,) = split(codec.FrameSplitter(), codec.encode(sent, 1))
        assert frame.message == sent


class TestMalformed:
    @hypothesis.given(strategies.binary(max_size=300))
    def test_random_bytes_are_rejected_or_incomplete(self, data):
        try:
            split(codec.FrameSplitter(max_bytes=1 << 16), data)
        except codec.FrameError:
            pass

    @hypothesis.given(
        any_message(),
        strategies.integers(4, 200),
        strategies.integers(0, 255),
    )
    def test_damaged_frame_is_rejected_or_well_typed(
        self, message, position, value
    ):
        data = bytearray(codec.encode(message, 1))
        data[min(position, len(data) - 1)] = value
        try:
            decoded = split(codec.FrameSplitter(), bytes(data))
        except codec.FrameError:
            return
        for frame in decoded:
            codec.encode(frame.message, frame.configuration_version)

    @pytest.mark.parametrize(
        "value",
        [
            17,
            [],
            [1],
            [[1], 2],
            [{}, 2],
            [True, 2],
            [999, 2],
            [2, 1, 5],
            [2, 1, 5, 1],
            [2, 1, True, True],
            [2, "1", 5, True],
            [13, 1, 5, 0, "text"],
            [12, 1, 5, 200, [["a"]], 0, 0, 0, False, 0, b""],
            [12, 1, 5, 200, [["a", 1]], 0, 0, 0, False, 0, b""],
            [12, 1, 5, 200, {"a": "b"}, 0, 0, 0, False, 0, b""],
        ],
    )
    def test_payload_of_wrong_structure_is_rejected(self, value):
        payload = msgpack.packb(value)
        with pytest.raises(codec.FrameError):
            codec.decode(payload)

    def test_frames_before_a_malformed_one_are_delivered(self):
        valid = codec.encode(messages.Cancel(5), 1)
        feed = codec.FrameSplitter().feed(valid + b"\x00\x00\x00\x01\xc1")
        assert next(feed).message == messages.Cancel(5)
        with pytest.raises(codec.FrameError):
            next(feed)

    def test_oversized_frame_is_rejected_by_its_length(self):
        with pytest.raises(codec.FrameError, match="too long"):
            split(codec.FrameSplitter(max_bytes=100), b"\x00\x00\x01\x00")
