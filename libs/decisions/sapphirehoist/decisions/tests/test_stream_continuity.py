"""Which bytes of several answers make up one stream, without a network."""

from __future__ import annotations

from random import Random

import pytest

from sapphirehoist.decisions import StreamContinuity

EVENT_STREAM = "text/event-stream"


def event(number: int, line_end: str = "\n") -> bytes:
    return f"id: {number}{line_end}data: token-{number}{line_end}{line_end}".encode()


def events(first: int, last: int) -> bytes:
    return b"".join(map(event, range(first, last + 1)))


def begun(last: int = 3) -> StreamContinuity:
    """Return a stream of which the events up to `last` were forwarded."""
    continuity = StreamContinuity("")
    assert not continuity.begin_answer(EVENT_STREAM)
    assert continuity.admit(events(1, last)).event_count == last
    return continuity


class TestFirstAnswer:
    @pytest.mark.parametrize(
        "body", [b"data: a\n\ndata: b\n\n", b": a\n\nid: x\n\n", b"a text\n\n\n"]
    )
    def test_it_is_admitted_unchanged(self, body: bytes) -> None:
        """Guards against bytes of an endpoint's own answer that are held back."""
        continuity = StreamContinuity("")
        assert not continuity.begin_answer("text/plain")
        admitted = continuity.admit(body)
        assert admitted.data + continuity.end_answer().data == body

    @pytest.mark.parametrize("line_end", ["\n", "\r\n", "\r"])
    @pytest.mark.parametrize("seed", range(20))
    def test_any_split_gives_the_same_stream(self, line_end: str, seed: int) -> None:
        """Guards against events that a boundary of reads hides or repeats."""
        body = b"".join(event(number, line_end) for number in range(1, 9))
        random = Random(seed)
        cuts = sorted(random.sample(range(1, len(body)), 12))
        bounds = zip([0, *cuts], [*cuts, len(body)], strict=True)
        continuity = StreamContinuity("")
        continuity.begin_answer(EVENT_STREAM)
        admitted = [continuity.admit(body[start:end]) for start, end in bounds]
        rest = continuity.end_answer()
        assert b"".join(part.data for part in admitted) + rest.data == body
        assert sum(part.event_count for part in admitted) == 8
        assert (continuity.last_event_id, rest.refusal) == ("8", "")


class TestPosition:
    @pytest.mark.parametrize(
        ("body", "last_event_id"),
        [
            (events(1, 5) + b": comment\n\n", "5"),
            (events(1, 5) + b"retry: 10\n\n", "5"),
            (b"id: 4\nid: 5\ndata: a\n\n", "5"),
            (b"x-weight-versions: 2\nid: 7\ndata: a\n\n", "7"),
            (events(1, 5) + b"id: 6\ndata: cut o", "5"),
        ],
    )
    def test_last_id_is_that_of_the_last_whole_event(
        self, body: bytes, last_event_id: str
    ) -> None:
        continuity = StreamContinuity("")
        continuity.begin_answer(EVENT_STREAM)
        continuity.admit(body)
        assert (continuity.last_event_id, continuity.may_go_on) == (last_event_id, True)

    @pytest.mark.parametrize(
        "body",
        [
            events(1, 3) + b"data: a\n\n",
            events(1, 3) + event(2),
            events(1, 3) + event(3) + event(4),
            b"id: next\ndata: a\n\n",
        ],
        ids=["no id", "back", "twice", "no number"],
    )
    def test_stream_without_a_sure_position_cannot_go_on(self, body: bytes) -> None:
        continuity = StreamContinuity("")
        continuity.begin_answer(EVENT_STREAM)
        assert continuity.admit(body).data == body
        assert not continuity.may_go_on
        assert continuity.begin_answer(EVENT_STREAM)

    def test_stream_may_go_on_once_an_event_has_an_id_again(self) -> None:
        continuity = begun()
        continuity.admit(b"data: a\n\n" + event(4))
        assert (continuity.last_event_id, continuity.may_go_on) == ("4", True)


class TestContinuation:
    def test_part_of_the_answer_before_is_discarded(self) -> None:
        continuity = begun()
        continuity.admit(event(4)[:9])
        assert not continuity.begin_answer(EVENT_STREAM)
        assert continuity.admit(event(4)).data == event(4)

    def test_comments_wait_for_the_first_event(self) -> None:
        continuity = begun()
        continuity.begin_answer(EVENT_STREAM)
        assert continuity.admit(b": a\n\n").data == b""
        assert continuity.admit(event(4)).data == b": a\n\n" + event(4)

    def test_comments_without_end_are_refused(self) -> None:
        continuity = begun()
        continuity.begin_answer(EVENT_STREAM)
        block = b": " + b"x" * 65_536 + b"\n\n"
        assert any(continuity.admit(block).refusal for _ in range(40))

    @pytest.mark.parametrize("cut", [0, 1, 2])
    def test_events_before_one_that_does_not_follow_are_admitted(
        self, cut: int
    ) -> None:
        continuity = begun()
        continuity.begin_answer(EVENT_STREAM)
        good = events(4, 3 + cut)
        admitted = continuity.admit(good + event(2) + event(9))
        assert (admitted.data, admitted.event_count) == (good, cut)
        assert admitted.refusal

    def test_gap_is_accepted_where_ids_had_gaps(self) -> None:
        continuity = StreamContinuity("")
        continuity.begin_answer(EVENT_STREAM)
        continuity.admit(event(5) + event(10))
        continuity.begin_answer(EVENT_STREAM)
        assert continuity.admit(event(20)).data == event(20)

    @pytest.mark.parametrize("first", [4, 7])
    def test_stream_that_the_caller_takes_up_may_begin_at_any_later_id(
        self, first: int
    ) -> None:
        continuity = StreamContinuity("3")
        assert not continuity.begin_answer("")
        assert continuity.admit(event(first)).data == event(first)

    def test_stream_of_which_only_comments_were_forwarded_begins_with_an_event(
        self,
    ) -> None:
        continuity = StreamContinuity("")
        continuity.begin_answer(EVENT_STREAM)
        continuity.admit(b": a\n\n")
        assert continuity.begin_answer("text/plain")
        assert not continuity.begin_answer(EVENT_STREAM)
        assert continuity.admit(b"Bad Gateway\n\n").refusal
        continuity.begin_answer(EVENT_STREAM)
        assert continuity.admit(event(1)).data == event(1)


class TestFinalEvent:
    FINAL = b"event: done\ndata: {}\n\n"

    def test_answer_of_the_final_event_alone_ends_the_stream(self) -> None:
        continuity = StreamContinuity("20", "done", are_ids_offsets=True)
        continuity.begin_answer(EVENT_STREAM)
        assert continuity.admit(self.FINAL + event(30)).data == self.FINAL
        assert continuity.has_ended

    def test_its_name_in_the_data_of_an_event_ends_nothing(self) -> None:
        continuity = StreamContinuity("0", "done", are_ids_offsets=True)
        continuity.begin_answer(EVENT_STREAM)
        continuity.admit(b'id: 9\ndata: "event: done"\n\n')
        assert not continuity.has_ended
