"""Whether a request is taken, decided before its first stage."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TypeAlias

from sapphirehoist.decisions.targets import ClassTargets

_SHARE_EXPONENT = 3
_RETRY_AFTER_LEAST_S = 0.2
_RETRY_AFTER_MOST_S = 10.0


@dataclass(frozen=True, slots=True)
class AdmissionQuery:
    """A request and what is predicted for it.

    Attributes
    ----------
    class_name : str
        Its class of work.
    predicted_s : float
        Predicted time of all its stages, with queueing.
    unloaded_s : float
        The same without queueing.
    target_s : float
        The class's end-to-end target.
    deadline_s : float
        Time that the caller leaves.
    granted_part : float
        Its team's share divided by what the team asks for, at most 1.
    """

    class_name: str
    predicted_s: float
    unloaded_s: float
    target_s: float
    deadline_s: float
    granted_part: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is taken."""


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The request is refused; `retry_after_s` is when room is expected."""

    detail: str
    retry_after_s: float
    is_team_limit: bool = False


Admission: TypeAlias = Admitted | NotAdmitted


class AdmissionPolicy(ABC):
    """Admits or refuses a request."""

    @abstractmethod
    def decide(self, query: AdmissionQuery) -> Admission:
        """Return whether the request is taken."""


class AdmitAll(AdmissionPolicy):
    """Baseline: no admission control."""

    __slots__ = ()

    def decide(self, query: AdmissionQuery) -> Admission:
        """Take every request."""
        return Admitted()


class TargetAdmission(AdmissionPolicy):
    """Refuses what is predicted to miss its target or deadline.

    A request that would miss its target even on idle endpoints is judged by its
    deadline alone. The more a team is over its share, the less room for queueing it
    has, so that what it borrowed is the first to be taken back.

    Parameters
    ----------
    targets : ClassTargets
        Margins learned from observed attainment.
    """

    __slots__ = ("_targets",)

    def __init__(self, targets: ClassTargets) -> None:
        self._targets = targets

    def decide(self, query: AdmissionQuery) -> Admission:
        """Return whether the prediction fits the target and the deadline."""
        bound_s = min(query.target_s, query.deadline_s)
        if query.unloaded_s > bound_s:
            bound_s = query.deadline_s
        bound_s *= self._targets.margin(query.class_name)
        queueing_s = max(0.0, bound_s - query.unloaded_s)
        if query.granted_part < 1.0:
            room = query.granted_part**_SHARE_EXPONENT
            bound_s = query.unloaded_s + room * queueing_s
        if query.predicted_s <= bound_s:
            return Admitted()
        excess_s = query.predicted_s - bound_s
        retry_s = min(max(excess_s, _RETRY_AFTER_LEAST_S), _RETRY_AFTER_MOST_S)
        detail = f"predicted {query.predicted_s:.2f} s, {bound_s:.2f} s are allowed"
        return NotAdmitted(detail, retry_s, query.granted_part < 1.0)
