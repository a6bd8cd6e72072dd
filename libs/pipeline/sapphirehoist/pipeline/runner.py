"""Runs whole requests: admission, claim, stages, accounts."""

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
    ClassTargets,
    NotAdmitted,
    TeamShares,
)
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason, Unknown
from sapphirehoist.pipeline.accounts import Accounts
from sapphirehoist.pipeline.pools import EndpointPools
from sapphirehoist.pipeline.request import WorkRequest
from sapphirehoist.pipeline.stages import StageDone, StageRunner


class PipelineRunner:
    """Runs requests to their end.

    Parameters
    ----------
    stages : StageRunner
        Runs single stages.
    claims : ClaimRegistry
        Keeps calls that may not be repeated to one.
    admission : AdmissionPolicy
        Takes or refuses requests.
    shares : TeamShares
        Work under way by team.
    targets : ClassTargets
        Learns attainment.
    pools : EndpointPools
        Says which calls may be repeated.
    accounts : Accounts
        Takes ends by class.
    clock, metrics : Clock, Metrics
        Time and counters.
    """

    __slots__ = (
        "_accounts",
        "_admission",
        "_claims",
        "_clock",
        "_metrics",
        "_pools",
        "_shares",
        "_stages",
        "_targets",
        "_under_way",
        "entitlements",
    )

    def __init__(
        self,
        stages: StageRunner,
        claims: ClaimRegistry,
        admission: AdmissionPolicy,
        shares: TeamShares,
        targets: ClassTargets,
        pools: EndpointPools,
        accounts: Accounts,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._stages = stages
        self._claims = claims
        self._admission = admission
        self._shares = shares
        self._targets = targets
        self._pools = pools
        self._accounts = accounts
        self._clock = clock
        self._metrics = metrics
        self.entitlements: dict[str, float] = {}
        self._under_way: Counter[int] = Counter()

    def run(self, req: WorkRequest) -> Outcome:
        """Run `req` to its end."""
        refusal = self.admit(req)
        if refusal is not None:
            return refusal
        outcome: Outcome = Failed(Reason.CALLER_GONE, "the caller went away")
        try:
            if self.needs_claim(req):
                outcome = self._run_claimed(req)
            else:
                outcome = self._run_stages(req)
        finally:
            self.finish(req, outcome)
        return outcome

    def admit(self, req: WorkRequest) -> NotRun | None:
        """Count `req` as under way, or return why it is refused.

        Every admitted request must be passed to `finish`.
        """
        if self.needs_claim(req) and not req.idempotency_key:
            detail = "Idempotency-Key: missing; required: a stage may not be repeated"
            return NotRun(Reason.INVALID, detail)
        prediction = self._stages.predict(req, self._urgent_share(req))
        now = self._clock.monotonic()
        self._shares.ask(req.team.name, prediction.unloaded_s)
        query = AdmissionQuery(
            req.work.name,
            prediction.loaded_s,
            prediction.unloaded_s,
            req.work.target_ms / 1000,
            req.deadline - now,
            self._shares.granted_part(req.team.name, self.entitlements),
        )
        decision = self._admission.decide(query)
        if isinstance(decision, NotAdmitted):
            self._accounts.of_class(req.work.name).refused += 1
            is_limit = decision.is_team_limit
            reason = Reason.TEAM_LIMIT if is_limit else Reason.OVERLOADED
            return NotRun(reason, decision.detail, decision.retry_after_s)
        self._accounts.of_class(req.work.name).admitted += 1
        self._shares.take(req.team.name, prediction.unloaded_s)
        self._under_way[req.work.target_ms] += 1
        return None

    def finish(self, req: WorkRequest, outcome: Outcome) -> None:
        """Count the end of an admitted request."""
        self._under_way[req.work.target_ms] -= 1
        seconds = self._clock.monotonic() - req.started_at
        is_met = isinstance(outcome, Done) and seconds <= req.work.target_ms / 1000
        self._targets.observe(req.work.name, is_met, req.work.attainment)
        self._accounts.of_class(req.work.name).met += is_met
        kind = type(outcome).__name__
        self._metrics.count("requests_total", work=req.work.name, outcome=kind)
        self._metrics.observe_latency(
            "request_seconds", seconds, work=req.work.name, outcome=kind
        )

    def _urgent_share(self, req: WorkRequest) -> float:
        """Return the part of the work under way whose target is as tight as this one.

        Engines serve the least slack first, so the rest does not delay this request.
        """
        total = self._under_way.total()
        if not total:
            return 1.0
        target_ms = req.work.target_ms
        urgent = sum(n for ms, n in self._under_way.items() if ms <= target_ms)
        return urgent / total

    def needs_claim(self, req: WorkRequest) -> bool:
        """Return whether a stage of `req` may not be repeated."""
        return not all(
            self._pools.may_repeat(stage.pool, stage.name)
            for stage in req.pipeline.stages
        )

    def run_stages_before_last(self, req: WorkRequest) -> bytes | Outcome:
        """Run all stages but the last; return the last one's input."""
        body = req.body
        for stage in req.pipeline.stages[:-1]:
            done = self._stages.call(req, stage, body)
            if not isinstance(done, StageDone):
                return done
            body = done.body
        return body

    def _run_stages(self, req: WorkRequest) -> Outcome:
        body = self.run_stages_before_last(req)
        if not isinstance(body, bytes):
            return body
        done = self._stages.call(req, req.pipeline.stages[-1], body)
        return Done(done.body) if isinstance(done, StageDone) else done

    def _run_claimed(self, req: WorkRequest) -> Outcome:
        key = ClaimKey(req.team.name, req.idempotency_key)
        claim = self._claims.claim(key, req.body_sha256(), req.deadline)
        if isinstance(claim, ClaimUnavailable):
            return NotRun(Reason.STORE_UNAVAILABLE, claim.detail)
        if isinstance(claim, ClaimReused):
            detail = "Idempotency-Key: used before with another class or input"
            return Failed(Reason.KEY_REUSED, detail)
        if isinstance(claim, ClaimTaken):
            return self._claims.wait_for_end(key, claim.stored, req.deadline)
        return self._run_with_claim(req, claim)

    def _run_with_claim(self, req: WorkRequest, claim: Claim) -> Outcome:
        outcome: Outcome = Unknown(Reason.CALLER_GONE, "the caller went away")
        req.may_send = lambda: self._claims.may_send(claim, req.deadline)
        try:
            outcome = self._run_stages(req)
        finally:
            self._claims.finish(claim, outcome)
        return outcome
