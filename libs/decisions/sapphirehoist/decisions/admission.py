"""Admission control, applied to a request before its first stage."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.decisions.class_statistics import ClassStatistics

_GRANTED_FRACTION_EXPONENT = 3
_MIN_RETRY_AFTER_S = 0.2
_MAX_RETRY_AFTER_S = 10.0


@dataclass(frozen=True, slots=True)
class AdmissionQuery:
    """Properties and predictions of a request that admission depends on.

    Attributes
    ----------
    class_name : str
        Class of work of the request.
    predicted_s : float
        Predicted time of all stages including queueing, in seconds.
    unloaded_s : float
        Predicted time of all stages without queueing, in seconds.
    target_s : float
        End-to-end latency target of the class, in seconds.
    deadline_s : float
        Time until the deadline of the caller, in seconds.
    granted_fraction : float
        Fair share of the team divided by its demand, at most 1.
    """

    class_name: str
    predicted_s: float
    unloaded_s: float
    target_s: float
    deadline_s: float
    granted_fraction: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted."""


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The request is refused.

    Attributes
    ----------
    detail : str
        Explanation for the caller.
    retry_after_s : float
        Time after which capacity is expected, in seconds.
    is_team_limit : bool
        Whether the team is over its fair share.
    """

    detail: str
    retry_after_s: float
    is_team_limit: bool = False


AdmissionDecision: TypeAlias = Admitted | NotAdmitted


class AdmissionPolicy(ABC):
    """Admits or refuses a request."""

    @abstractmethod
    def decide(self, query: AdmissionQuery) -> AdmissionDecision:
        """Return whether the request is admitted or refused."""


class AdmitAll(AdmissionPolicy):
    """Baseline: no admission control."""

    __slots__ = ()

    def decide(self, query: AdmissionQuery) -> AdmissionDecision:
        """Admit every request."""
        return Admitted()


class LatencyTargetAdmission(AdmissionPolicy):
    """Refuses requests that are predicted to miss their latency target or deadline.

    A request that would miss its target even on idle endpoints only has to meet its
    deadline. The more a team exceeds its fair share, the less queueing time is allowed
    for its requests, so that capacity borrowed from other teams is reclaimed first.

    Parameters
    ----------
    class_statistics : ClassStatistics
        Provides the admission margins, which follow observed attainment.
    """

    __slots__ = ("_class_statistics",)

    def __init__(self, class_statistics: ClassStatistics) -> None:
        self._class_statistics = class_statistics

    def decide(self, query: AdmissionQuery) -> AdmissionDecision:
        """Admit the request if the prediction meets the target and the deadline."""
        allowed_s = min(query.target_s, query.deadline_s)
        if query.unloaded_s > allowed_s:
            allowed_s = query.deadline_s
        allowed_s *= self._class_statistics.margin(query.class_name)
        max_queueing_s = max(0.0, allowed_s - query.unloaded_s)
        if query.granted_fraction < 1.0:
            queueing_fraction = query.granted_fraction**_GRANTED_FRACTION_EXPONENT
            allowed_s = query.unloaded_s + queueing_fraction * max_queueing_s
        if query.predicted_s <= allowed_s:
            return Admitted()
        excess_s = query.predicted_s - allowed_s
        retry_after_s = min(max(excess_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        detail = f"predicted {query.predicted_s:.2f} s, {allowed_s:.2f} s are allowed"
        return NotAdmitted(detail, retry_after_s, query.granted_fraction < 1.0)
