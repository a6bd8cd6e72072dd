"""Runs complete requests: admission, claim, stages and statistics."""

from __future__ import annotations

from collections import Counter

from sapphirehoist.claims import (
    Claim,
    ClaimKey,
    ClaimRegistry,
    ClaimReused,
    ClaimTaken,
    ClaimUnavailable,
)
from sapphirehoist.clock import Clock
from sapphirehoist.decisions import (
    AdmissionPolicy,
    AdmissionQuery,
    ClassStatistics,
    NotAdmitted,
    TeamShares,
)
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason, Unknown
from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import PipelineRequest
from sapphirehoist.pipeline.stages import StageResult, StageRunner
from sapphirehoist.pipeline.stats import PipelineStats


class PipelineRunner:
    """Runs requests from admission to their outcome.

    Parameters
    ----------
    stages : StageRunner
        Runs single stages.
    claims : ClaimRegistry
        Ensures at most one execution of stages that are not idempotent.
    admission : AdmissionPolicy
        Admits or refuses requests.
    shares : TeamShares
        Requested and admitted work of each team.
    class_statistics : ClassStatistics
        Observed attainment of each class of work.
    pools : EndpointPools
        Tells which stages are idempotent.
    stats : PipelineStats
        Counts requests by class of work.
    clock, metrics : Clock, Metrics
        Time source and counters.

    Attributes
    ----------
    entitlements : dict of str to float
        Weight of each team in the division of capacity.
    """

    __slots__ = (
        "_stats",
        "_admission",
        "_claims",
        "_clock",
        "_metrics",
        "_pools",
        "_shares",
        "_stages",
        "_class_statistics",
        "_active_requests_by_target_ms",
        "entitlements",
    )

    def __init__(
        self,
        stages: StageRunner,
        claims: ClaimRegistry,
        admission: AdmissionPolicy,
        shares: TeamShares,
        class_statistics: ClassStatistics,
        pools: EndpointPools,
        stats: PipelineStats,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._stages = stages
        self._claims = claims
        self._admission = admission
        self._shares = shares
        self._class_statistics = class_statistics
        self._pools = pools
        self._stats = stats
        self._clock = clock
        self._metrics = metrics
        self.entitlements: dict[str, float] = {}
        self._active_requests_by_target_ms: Counter[int] = Counter()

    def run(self, req: PipelineRequest) -> Outcome:
        """Admit and run `req`, and return its outcome."""
        refusal = self.admit(req)
        if refusal is not None:
            return refusal
        outcome: Outcome = Failed(Reason.CALLER_GONE, "the caller went away")
        try:
            if self.needs_claim(req):
                outcome = self._claim_and_run(req)
            else:
                outcome = self._run_stages(req)
        finally:
            self.finish(req, outcome)
        return outcome

    def admit(self, req: PipelineRequest) -> NotRun | None:
        """Admit `req` and count it as active, or return the refusal.

        Every admitted request must be passed to `finish`.
        """
        if self.needs_claim(req) and not req.idempotency_key:
            detail = "Idempotency-Key: missing; required: a stage may not be repeated"
            return NotRun(Reason.INVALID, detail)
        prediction = self._stages.predict_latency(req, self._urgent_share(req))
        now = self._clock.monotonic()
        self._shares.record_demand(req.team.name, prediction.unloaded_s)
        query = AdmissionQuery(
            req.class_of_work.name,
            prediction.loaded_s,
            prediction.unloaded_s,
            req.class_of_work.target_ms / 1000,
            req.deadline - now,
            self._shares.granted_fraction(req.team.name, self.entitlements),
        )
        decision = self._admission.decide(query)
        if isinstance(decision, NotAdmitted):
            self._stats.class_request_counts(req.class_of_work.name).refused += 1
            is_team_limit = decision.is_team_limit
            reason = Reason.TEAM_LIMIT if is_team_limit else Reason.OVERLOADED
            return NotRun(reason, decision.detail, decision.retry_after_s)
        self._stats.class_request_counts(req.class_of_work.name).admitted += 1
        self._shares.record_admitted(req.team.name, prediction.unloaded_s)
        self._active_requests_by_target_ms[req.class_of_work.target_ms] += 1
        return None

    def finish(self, req: PipelineRequest, outcome: Outcome) -> None:
        """Record the outcome of an admitted request."""
        self._active_requests_by_target_ms[req.class_of_work.target_ms] -= 1
        duration_s = self._clock.monotonic() - req.started_at
        is_latency_target_met = (
            isinstance(outcome, Done)
            and duration_s <= req.class_of_work.target_ms / 1000
        )
        self._class_statistics.record_result(
            req.class_of_work.name, is_latency_target_met, req.class_of_work.attainment
        )
        self._stats.class_request_counts(
            req.class_of_work.name
        ).met += is_latency_target_met
        outcome_name = type(outcome).__name__
        self._metrics.count(
            "requests_total", work=req.class_of_work.name, outcome=outcome_name
        )
        self._metrics.observe_latency(
            "request_seconds",
            duration_s,
            work=req.class_of_work.name,
            outcome=outcome_name,
        )

    def _urgent_share(self, req: PipelineRequest) -> float:
        """Return the share of active requests that engines may serve before `req`.

        These are the requests whose latency target is at most that of `req`.
        Engines serve the request with the least slack first, so requests with a longer
        latency target do not delay `req`.
        """
        total = self._active_requests_by_target_ms.total()
        if not total:
            return 1.0
        target_ms = req.class_of_work.target_ms
        urgent = sum(
            n for ms, n in self._active_requests_by_target_ms.items() if ms <= target_ms
        )
        return urgent / total

    def needs_claim(self, req: PipelineRequest) -> bool:
        """Return whether any stage of `req` is not idempotent."""
        return not all(
            self._pools.is_idempotent(stage.pool, stage.name)
            for stage in req.pipeline.stages
        )

    def run_stages_before_last(self, req: PipelineRequest) -> bytes | Outcome:
        """Run all stages but the last; return the input of the last or an outcome."""
        body = req.body
        for stage in req.pipeline.stages[:-1]:
            result = self._stages.run(req, stage, body)
            if not isinstance(result, StageResult):
                return result
            body = result.body
        return body

    def _run_stages(self, req: PipelineRequest) -> Outcome:
        body = self.run_stages_before_last(req)
        if not isinstance(body, bytes):
            return body
        result = self._stages.run(req, req.pipeline.stages[-1], body)
        return Done(result.body) if isinstance(result, StageResult) else result

    def _claim_and_run(self, req: PipelineRequest) -> Outcome:
        claim_key = ClaimKey(req.team.name, req.idempotency_key)
        claim = self._claims.claim(claim_key, req.body_sha256(), req.deadline)
        if isinstance(claim, ClaimUnavailable):
            return NotRun(Reason.STORE_UNAVAILABLE, claim.detail)
        if isinstance(claim, ClaimReused):
            detail = "Idempotency-Key: used before with another class or input"
            return Failed(Reason.KEY_REUSED, detail)
        if isinstance(claim, ClaimTaken):
            return self._claims.wait_for_outcome(claim_key, claim.stored, req.deadline)
        return self._run_with_claim(req, claim)

    def _run_with_claim(self, req: PipelineRequest, claim: Claim) -> Outcome:
        outcome: Outcome = Unknown(Reason.CALLER_GONE, "the caller went away")
        req.may_send = lambda: self._claims.may_send(claim, req.deadline)
        try:
            outcome = self._run_stages(req)
        finally:
            self._claims.finish(claim, outcome)
        return outcome
