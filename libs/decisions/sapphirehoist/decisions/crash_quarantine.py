"""Quarantine of requests under which endpoints crash.

It is designed for a load in which a few requests crash each endpoint that starts to run
them. Limits per request do not contain them: every such request, and every retry, takes
down another endpoint with all of its other work.

Requests are told apart by traits: the parts of their prompts, which many requests
share, and the request trait, which only copies of one request have. A crash makes
suspect the prompt parts of all requests whose output had not started there, and the
request traits of all that had not ended. The first output of a request clears its
prompt parts, and its complete answer clears its request trait. A trait that is suspect
in several crashes without being cleared in between is quarantined: its requests are
refused, but for single trials at growing intervals, of which a successful one releases
the trait.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random

from sapphirehoist.clock import Clock

# Crashes after which a trait is quarantined. Those of a trait with which a generation
# has started lately, as far as this node knows, are more likely to be coincidence.
_MIN_CRASHES = 3
_MIN_CRASHES_IF_STARTED_LATELY = 5
_START_RETENTION_S = 10.0
# Crashes within this time of each other may have one external cause, such as the loss
# of a rack, and count once.
_SIMULTANEOUS_CRASHES_S = 0.2
_SUSPICION_RETENTION_S = 120.0
_FIRST_HOLD_S = 1.0
_HOLD_GROWTH = 6.0
_MAX_HOLD_S = 600.0
# Only copies of one request depend on further trials of its request trait.
_MAX_REQUEST_TRIALS = 2
# The hold ends later at some nodes, so that few of them begin a trial at the same time.
_MAX_HOLD_STRETCH = 0.25
# A request with several quarantined traits does not tell which of them is sound, so a
# trial prefers requests with one of them for this long.
_COMBINED_TRIAL_DELAY_S = 30.0
# Quarantines that nobody tests end, so that they do not accumulate.
_STATE_RETENTION_S = 900.0
_MAX_TRACKED_TRAITS = 4_096
_MAX_TRACKED_CRASHES = 1_024
# Names of prompt parts contain no colon.
_REQUEST_TRAIT_PREFIX = "request:"


def request_trait(fingerprint: str) -> str:
    """Return the trait that only requests with `fingerprint` have."""
    return _REQUEST_TRAIT_PREFIX + fingerprint


def is_request_trait(trait: str) -> bool:
    """Return whether `trait` is that of the copies of one request."""
    return trait.startswith(_REQUEST_TRAIT_PREFIX)


@dataclass(frozen=True, slots=True)
class EngineCrash:
    """Crash of one incarnation of an engine; `incarnation` is its start time in ms."""

    engine: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class QuarantineState:
    """State of the quarantine of one trait, which all nodes replicate.

    States of a trait are ordered by `precedence`, and the highest one holds.

    Attributes
    ----------
    trait : str
        Trait of requests.
    revision : int
        Number of times that the trait was quarantined or released; odd while it is
        quarantined.
    started_trials, failed_trials : int
        Trials in this quarantine, and those of them after which an engine crashed.
    """

    trait: str
    revision: int
    started_trials: int = 0
    failed_trials: int = 0

    @property
    def is_quarantined(self) -> bool:
        """Return whether requests with the trait are refused."""
        return self.revision % 2 == 1

    @property
    def hold_s(self) -> float:
        """Return the time between two trials in seconds, before nodes stretch it."""
        if is_request_trait(self.trait) and self.failed_trials >= _MAX_REQUEST_TRIALS:
            return _STATE_RETENTION_S
        return min(_FIRST_HOLD_S * _HOLD_GROWTH**self.failed_trials, _MAX_HOLD_S)

    def precedence(self) -> tuple[int, int, int]:
        """Return the key by which states of a trait override each other."""
        return (self.revision, self.started_trials, self.failed_trials)


@dataclass(frozen=True, slots=True)
class QuarantineHold:
    """A request that may not be sent, since one of its traits is quarantined.

    Attributes
    ----------
    trait : str
        The quarantined trait.
    retry_after_s : float
        Time until the next trial of the trait.
    """

    trait: str
    retry_after_s: float


class CrashQuarantine:
    """Finds the traits under which engines crash, from the reports of all nodes.

    Methods that change the state of traits return the new states, which have to be
    published to the other nodes.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    random : Random
        Source of the difference between the holds of nodes.

    Examples
    --------
    >>> from sapphirehoist.clock import ManualClock
    >>> clock = ManualClock()
    >>> quarantine = CrashQuarantine(clock, Random(1))
    >>> clock.advance(60.0)
    >>> for number in range(3):
    ...     states = quarantine.record_crash(EngineCrash(f"e-{number}", 1), ["a"])
    ...     clock.advance(0.5)
    >>> quarantine.check(["a", "b"]).trait
    'a'
    >>> [state.is_quarantined for state in quarantine.record_start(["a"])]
    [False]
    """

    __slots__ = (
        "_clock",
        "_held_since",
        "_hold_stretch",
        "_observing_since",
        "_reported",
        "_started_at",
        "_states",
        "_suspicions",
    )

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._hold_stretch = 1.0 + random.uniform(0.0, _MAX_HOLD_STRETCH)
        # This node does not know with which traits earlier generations started.
        self._observing_since = clock.monotonic()
        self._states: dict[str, QuarantineState] = {}
        # Monotonic time since which the present state of a trait holds.
        self._held_since: dict[str, float] = {}
        # Parts that were reported for each crash, so that an echo of a report does not
        # make a trait suspect again that was cleared since.
        self._reported: OrderedDict[EngineCrash, set[str]] = OrderedDict()
        # Times of the crashes in which a trait was suspect since it was cleared.
        self._suspicions: OrderedDict[str, list[float]] = OrderedDict()
        self._started_at: OrderedDict[str, float] = OrderedDict()

    @property
    def is_idle(self) -> bool:
        """Return whether no trait is suspect or quarantined, or was lately."""
        return not self._suspicions and not self._states

    def check(self, traits: Sequence[str]) -> QuarantineHold | None:
        """Return why a request with `traits` may not be sent now, or None if it may.

        If a trait is quarantined and the request may be sent, it has to be announced by
        `begin_trial`.
        """
        held = self._quarantined(traits)
        if not held:
            return None
        delay_s = _COMBINED_TRIAL_DELAY_S if len(held) > 1 else 0.0
        trait, remaining_s = max(
            ((trait, self._remaining_hold_s(trait) + delay_s) for trait in held),
            key=lambda hold: hold[1],
        )
        return QuarantineHold(trait, remaining_s) if remaining_s > 0 else None

    def begin_trial(self, traits: Sequence[str]) -> list[QuarantineState]:
        """Record that a request with `traits` is sent although one is quarantined."""
        return [
            self._change(replace(state, started_trials=state.started_trials + 1))
            for state in self._quarantined_states(traits)
        ]

    def unreported_traits(self, crash: EngineCrash, traits: Iterable[str]) -> list[str]:
        """Return those of `traits` that no report of `crash` has named before."""
        known = self._reported.get(crash, set())
        return [trait for trait in dict.fromkeys(traits) if trait not in known]

    def record_crash(
        self, crash: EngineCrash, traits: Iterable[str]
    ) -> list[QuarantineState]:
        """Record that an engine crashed on requests with `traits`.

        Reports of one crash may come from several nodes, each with its own traits.
        """
        new_traits = self.unreported_traits(crash, traits)
        self._reported.setdefault(crash, set()).update(new_traits)
        while len(self._reported) > _MAX_TRACKED_CRASHES:
            self._reported.popitem(last=False)
        changed = [self._suspect(trait) for trait in new_traits]
        while len(self._suspicions) > _MAX_TRACKED_TRAITS:
            self._suspicions.popitem(last=False)
        return [state for state in changed if state is not None]

    def is_suspect(self, trait: str) -> bool:
        """Return whether an engine crashed on `trait` since it was cleared."""
        state = self._states.get(trait)
        return trait in self._suspicions or (state is not None and state.is_quarantined)

    def record_start(self, traits: Iterable[str]) -> list[QuarantineState]:
        """Record that requests with `traits` do not crash engines, which clears them.

        A request with prompt parts has started its output; one with a request trait has
        been answered completely.
        """
        now = self._clock.monotonic()
        changed = []
        for trait in traits:
            if not is_request_trait(trait):
                self._started_at[trait] = now
                self._started_at.move_to_end(trait)
            self._suspicions.pop(trait, None)
            state = self._states.get(trait)
            if state is not None and state.is_quarantined:
                changed.append(self._change(QuarantineState(trait, state.revision + 1)))
        while len(self._started_at) > _MAX_TRACKED_TRAITS:
            self._started_at.popitem(last=False)
        return changed

    def apply(self, state: QuarantineState) -> bool:
        """Apply the state that another node published; return whether it was new."""
        known = self._states.get(state.trait)
        if known is not None and state.precedence() <= known.precedence():
            return False
        self._change(state)
        if not state.is_quarantined:
            self._suspicions.pop(state.trait, None)
        return True

    def states(self) -> list[QuarantineState]:
        """Return the states of all traits that are or were quarantined."""
        return list(self._states.values())

    def remove_expired(self) -> list[QuarantineState]:
        """Discard old suspicions; release traits that nothing has tested for long."""
        now = self._clock.monotonic()
        for trait, crash_times in list(self._suspicions.items()):
            if now - crash_times[-1] > _SUSPICION_RETENTION_S:
                del self._suspicions[trait]
        changed = []
        for trait, since in list(self._held_since.items()):
            if now - since <= _STATE_RETENTION_S:
                continue
            state = self._states[trait]
            if state.is_quarantined:
                changed.append(self._change(QuarantineState(trait, state.revision + 1)))
            else:
                del self._states[trait], self._held_since[trait]
        return changed

    def _suspect(self, trait: str) -> QuarantineState | None:
        """Record a crash on `trait`; return its new state if the crash changes it."""
        now = self._clock.monotonic()
        self._suspicions.setdefault(trait, []).append(now)
        self._suspicions.move_to_end(trait)
        state = self._states.get(trait, QuarantineState(trait, 0))
        if not state.is_quarantined:
            if not self._is_convicted(trait, now):
                return None
            return self._change(QuarantineState(trait, state.revision + 1))
        if state.failed_trials == state.started_trials:
            return None
        return self._change(replace(state, failed_trials=state.started_trials))

    def _is_convicted(self, trait: str, now: float) -> bool:
        """Return whether `trait` was suspect in enough crashes that were not one."""
        crash_times = [
            crashed_at
            for crashed_at in self._suspicions[trait]
            if now - crashed_at <= _SUSPICION_RETENTION_S
        ]
        if is_request_trait(trait):
            # A retry follows the loss of the attempt before it, so that the crashes of
            # both have no cause in common but the request.
            return len(crash_times) >= _MIN_CRASHES
        count, counted_at = 0, float("-inf")
        for crashed_at in crash_times:
            if crashed_at - counted_at >= _SIMULTANEOUS_CRASHES_S:
                count, counted_at = count + 1, crashed_at
        known_since = max(
            self._started_at.get(trait, float("-inf")), self._observing_since
        )
        if now - known_since < _START_RETENTION_S:
            return count >= _MIN_CRASHES_IF_STARTED_LATELY
        return count >= _MIN_CRASHES

    def _quarantined_states(self, traits: Sequence[str]) -> list[QuarantineState]:
        states = (self._states.get(trait) for trait in dict.fromkeys(traits))
        return [s for s in states if s is not None and s.is_quarantined]

    def _quarantined(self, traits: Sequence[str]) -> list[str]:
        return [state.trait for state in self._quarantined_states(traits)]

    def _remaining_hold_s(self, trait: str) -> float:
        elapsed_s = self._clock.monotonic() - self._held_since[trait]
        return self._states[trait].hold_s * self._hold_stretch - elapsed_s

    def _change(self, state: QuarantineState) -> QuarantineState:
        self._states[state.trait] = state
        self._held_since[state.trait] = self._clock.monotonic()
        return state
