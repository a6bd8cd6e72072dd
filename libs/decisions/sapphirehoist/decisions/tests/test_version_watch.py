"""Which version began a stream at an endpoint that may have started again."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest

from sapphirehoist.decisions import VersionWatch, VersionWatches

# No process ends before it has written its entry: its streams would not be told from
# those of the processes before and after it.
_ENTRY_DELAY_S = 0.1


class Engine:
    """Entries of one engine whose last attempt was lost at 10.0, and a stream there.

    The stream begins at 11.0, on a new connection.
    """

    def __init__(self, base_version: str = "v1") -> None:
        self.watches = VersionWatches()
        self.read(10.8)
        self.watch: VersionWatch = self.watches.begin("e", base_version, 10.0, 11.0)

    def read(self, at: float, *versions: str) -> None:
        """Read the entries, which state new incarnations with these versions."""
        for version in versions:
            self.watches.apply_entry("e", version, at)
        self.watches.apply_read(at - 0.01, at)


class TestVersionWatch:
    def test_entry_that_is_read_too_early_may_be_of_the_process_before(self) -> None:
        engine = Engine()
        engine.read(11.2, "v1")
        assert not engine.watch.is_decided

    def test_entries_of_one_version_tell_it_though_the_stream_has_ended(self) -> None:
        engine = Engine()
        engine.watch.end()
        engine.read(11.2, "v1")
        engine.read(11.9, "v1")
        assert engine.watch.software_version == "v1"

    def test_stream_that_ended_between_two_versions_stays_in_doubt(self) -> None:
        engine = Engine()
        engine.watch.end()
        engine.read(11.9, "v2")
        assert engine.watch.is_decided
        assert engine.watch.software_version is None

    def test_stream_that_goes_on_is_of_the_process_that_the_entry_states(self) -> None:
        engine = Engine()
        engine.read(11.9, "v2")
        # Bytes that were waited for since before the read prove nothing.
        engine.watch.record_event(11.85)
        assert not engine.watch.is_decided
        engine.watch.record_event(11.95)
        assert engine.watch.software_version == "v2"

    def test_stream_that_ends_before_it_goes_on_stays_in_doubt(self) -> None:
        engine = Engine()
        engine.read(11.9, "v2")
        engine.watch.end()
        engine.read(12.6)
        assert engine.watch.is_decided
        assert engine.watch.software_version is None

    def test_engine_may_come_and_go_unseen_while_the_store_is_not_read(self) -> None:
        engine = Engine()
        engine.watch.end()
        engine.read(14.0, "v1")
        assert engine.watch.is_decided
        assert engine.watch.software_version is None

    def test_entry_from_before_the_loss_tells_nothing_of_a_stream_that_ended(
        self,
    ) -> None:
        engine = Engine()
        engine.watch.end()
        for at in (11.9, 12.6, 13.3):
            engine.read(at)
            assert not engine.watch.is_decided
        engine.read(14.0)
        assert engine.watch.software_version is None

    def test_entry_from_before_the_loss_holds_if_the_process_does_not_write_another(
        self,
    ) -> None:
        engine = Engine()
        engine.read(12.6)
        engine.watch.record_event(12.7)
        assert not engine.watch.is_decided
        engine.read(13.6)
        engine.watch.record_event(13.7)
        assert engine.watch.software_version == "v1"


@dataclass(frozen=True, slots=True)
class Process:
    """One incarnation of an engine, with the times of its start and end in seconds."""

    start_at: float
    end_at: float
    version: str


def crashing_processes(random: Random) -> list[Process]:
    """Return the processes of an engine that crashes again and again for a minute."""
    processes, start_at, version = [], 0.0, "v1"
    while start_at < 60.0:
        end_at = start_at + random.uniform(_ENTRY_DELAY_S, 4.0)
        processes.append(Process(start_at, end_at, version))
        start_at = end_at + random.uniform(0.3, 3.0)
        if random.random() < 0.3:
            version = random.choice(["v1", "v2"])
    return processes


@pytest.mark.parametrize("seed", range(200))
def test_no_stream_is_taken_for_one_of_another_version(seed: int) -> None:
    random = Random(seed)
    processes = crashing_processes(random)
    watches = VersionWatches()
    watched: list[tuple[Process, VersionWatch]] = []
    stated = processes[0]
    now, next_read_at = 0.0, 0.3
    while now < 60.0:
        now += 0.05
        for process, watch in watched:
            if process.end_at <= now:
                watch.end()
            else:
                watch.record_event(now - 0.05)
        if now >= next_read_at:
            written = [p for p in processes if p.start_at + _ENTRY_DELAY_S <= now]
            if written and written[-1] is not stated:
                stated = written[-1]
                watches.apply_entry("e", stated.version, now)
            watches.apply_read(now - 0.02, now)
            next_read_at = now + random.uniform(0.5, 0.75)
        running = [p for p in processes if p.start_at <= now < p.end_at]
        ended = [p.end_at for p in processes if p.end_at <= now]
        if running and ended and random.random() < 0.3:
            watch = watches.begin("e", stated.version, ended[-1], now)
            watched.append((running[0], watch))
    found = [(p.version, w.software_version) for p, w in watched if w.software_version]
    assert all(version == software_version for version, software_version in found)
    assert len(found) > len(watched) / 2
