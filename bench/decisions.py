"""Benchmark of routing, admission and retry policies, compared with baselines.

All policies run on the same seeded load with the same injected faults.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

import gevent
from load import (
    TARGET_MS,
    TEAM_FRACTIONS,
    Arrival,
    CompletedRequest,
    make_load,
    mean_tokens,
    run_load,
)

from sapphirehoist.configuration import (
    ClassOfWork,
    ConfigObject,
    EndpointKind,
    Pipeline,
    Stage,
    Team,
)
from sapphirehoist.testing import Deployment, EndpointSpec, post_control

REGIONS = ("montreal", "quebec", "sherbrooke")
ENGINES_BY_REGION = (4, 3, 3)
ENGINE_CAPACITY = 4
SERVICE_BASE_S = 0.04
SERVICE_PER_TOKEN_S = 0.01
LOAD_DURATION_S = 7.0
_STAGES = ("encode", "retrieve", "rerank")
_PAUSE_BETWEEN_CASES_S = 2.0

POLICIES: dict[str, dict[str, str]] = {
    "sapphirehoist": {},
    "least_in_flight": {
        "routing": "least_in_flight",
        "admission": "none",
        "retry": "unlimited",
    },
    "round_robin": {
        "routing": "round_robin",
        "admission": "none",
        "retry": "unlimited",
    },
    "random": {"routing": "random", "admission": "none", "retry": "unlimited"},
}


@dataclass(frozen=True, slots=True)
class CaseResult:
    """Result of one case with one policy.

    Attributes
    ----------
    case, policy : str
        Names of the case and the policy.
    offered, refused, met : int
        Number of all requests, of those refused without being run, and of those that
        met their latency target.
    goodput_slots : float
        Mean number of engine slots occupied by requests that met their target.
    attainment : dict of str to float
        Fraction of admitted requests that met their target, by class of work.
    team_attainment : dict of str to float
        Fraction of offered requests that met their target, by team.
    refusal_p99_ms : float
        99th percentile of the time until a refusal, in milliseconds.
    retries, calls : int
        Number of retries and calls in the daemons' reports.
    cross_region_bytes : int
        Bytes between regions in the daemons' reports.
    busy_s : float
        Total time for which engines processed calls, in seconds.
    """

    case: str
    policy: str
    offered: int
    refused: int
    met: int
    goodput_slots: float
    attainment: dict[str, float]
    team_attainment: dict[str, float]
    refusal_p99_ms: float
    retries: int
    calls: int
    cross_region_bytes: int
    busy_s: float

    @property
    def admitted_attainment(self) -> float:
        """Return the fraction of admitted requests that met their target."""
        return self.met / max(1, self.offered - self.refused)

    @property
    def offered_attainment(self) -> float:
        """Return the fraction of all requests that met their target."""
        return self.met / max(1, self.offered)


@dataclass(frozen=True, slots=True)
class Case:
    """A load, and a fault that is injected before it and cleared after it."""

    name: str
    load: Callable[[], list[Arrival]]
    inject_fault: Callable[[Deployment], None] = lambda deployment: None
    clear_fault: Callable[[Deployment], None] = lambda deployment: None


def service_s(tokens: int) -> float:
    """Return the time that an engine slot needs for an answer, in seconds."""
    return SERVICE_BASE_S + tokens * SERVICE_PER_TOKEN_S


def capacity_requests_per_s() -> float:
    """Return the requests per second that occupy every engine slot."""
    return (
        sum(ENGINES_BY_REGION)
        * ENGINE_CAPACITY
        / (SERVICE_BASE_S + mean_tokens() * SERVICE_PER_TOKEN_S)
    )


def make_cases() -> list[Case]:
    """Return all cases in the order in which they run."""
    capacity_per_s = capacity_requests_per_s()

    def steady(
        load_fraction: float, team_fractions: dict[str, float] | None = None
    ) -> list[Arrival]:
        return make_load(
            11,
            LOAD_DURATION_S,
            lambda at_s: load_fraction * capacity_per_s,
            team_fractions,
        )

    def burst_rate(at_s: float) -> float:
        return capacity_per_s * (2.1 if 2.0 <= at_s < 4.0 else 0.7)

    burst_fractions = {**TEAM_FRACTIONS, "west": 10 * TEAM_FRACTIONS["west"]}
    return [
        Case("warm", lambda: make_load(7, 4.0, lambda at_s: 0.4 * capacity_per_s)),
        Case("steady_70", lambda: steady(0.7)),
        Case("steady_200", lambda: steady(2.0)),
        Case("burst_3x", lambda: make_load(12, LOAD_DURATION_S, burst_rate)),
        Case(
            "slow_engine",
            lambda: steady(0.6),
            _slow_down_engine(5.0),
            _slow_down_engine(1.0),
        ),
        Case(
            "dead_engine",
            lambda: steady(0.6),
            _drop_calls_of_engine(True),
            _drop_calls_of_engine(False),
        ),
        Case(
            "half_pool",
            lambda: steady(0.7),
            _drop_calls_of_half(True),
            _drop_calls_of_half(False),
        ),
        Case(
            "late_reports",
            lambda: steady(0.7),
            _delay_load_reports(2.0),
            _delay_load_reports(0.0),
        ),
        Case("team_burst", lambda: steady(1.35, burst_fractions)),
    ]


def run_policy(policy: str, case_names: set[str]) -> list[CaseResult]:
    """Run the cases in `case_names` with one policy in one deployment.

    The case ``warm`` runs first to warm up the deployment; its result is discarded.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            _start_deployment(deployment, POLICIES[policy])
            results = []
            for case in make_cases():
                if case.name == "warm" or case.name in case_names:
                    results.append(_run_case(deployment, case, policy))
            return [result for result in results if result.case != "warm"]
        finally:
            deployment.close()


def _run_case(deployment: Deployment, case: Case, policy: str) -> CaseResult:
    reports_before = _sum_reports(deployment)
    case.inject_fault(deployment)
    entry_urls = [daemon.caller_url for daemon in deployment.daemons.values()]
    completed = run_load(case.load(), entry_urls)
    case.clear_fault(deployment)
    reports_after = _sum_reports(deployment)
    gevent.sleep(_PAUSE_BETWEEN_CASES_S)
    return _summarise(case.name, policy, completed, reports_before, reports_after)


def _summarise(
    case: str,
    policy: str,
    completed: list[CompletedRequest],
    reports_before: dict[str, float],
    reports_after: dict[str, float],
) -> CaseResult:
    met_requests = [r for r in completed if r.is_target_met]
    refusal_times_s = sorted(r.elapsed_s for r in completed if r.is_refused)
    report_deltas = {
        name: reports_after[name] - reports_before.get(name, 0)
        for name in reports_after
    }
    return CaseResult(
        case,
        policy,
        len(completed),
        len(refusal_times_s),
        len(met_requests),
        sum(service_s(r.arrival.tokens) for r in met_requests) / LOAD_DURATION_S,
        {
            class_name: _met_fraction(
                [
                    r
                    for r in completed
                    if r.class_name == class_name and not r.is_refused
                ]
            )
            for class_name in TARGET_MS
        },
        {
            team: _met_fraction([r for r in completed if r.arrival.team == team])
            for team in TEAM_FRACTIONS
        },
        1000 * refusal_times_s[int(0.99 * (len(refusal_times_s) - 1))]
        if refusal_times_s
        else 0.0,
        int(report_deltas["retries"]),
        int(report_deltas["calls"]),
        int(report_deltas["cross_region_bytes"]),
        report_deltas["generate_busy_s"],
    )


def _met_fraction(completed: list[CompletedRequest]) -> float:
    return (
        sum(r.is_target_met for r in completed) / len(completed) if completed else 1.0
    )


def _sum_reports(deployment: Deployment) -> dict[str, float]:
    totals = {"retries": 0.0, "calls": 0.0, "cross_region_bytes": 0.0}
    totals["generate_busy_s"] = 0.0
    for daemon in deployment.daemons.values():
        stages: dict[str, Any] = deployment.call_operator_api(
            daemon, "GET", "/v1/report"
        )["stages"]
        for name, stage in stages.items():
            for field_name in ("retries", "calls", "cross_region_bytes"):
                totals[field_name] += stage[field_name]
            if name == "generate":
                totals["generate_busy_s"] += stage["busy_s"]
    return totals


def _start_deployment(deployment: Deployment, policies: dict[str, str]) -> None:
    deployment.start_platform()
    for region, engine_count in zip(REGIONS, ENGINES_BY_REGION, strict=True):
        specs = [
            EndpointSpec(
                f"engine-{region}-{n}",
                "assistant",
                region,
                EndpointKind.ENGINE,
                ENGINE_CAPACITY,
                SERVICE_BASE_S,
                SERVICE_PER_TOKEN_S,
                ["generate"],
            )
            for n in range(engine_count)
        ]
        specs += [
            EndpointSpec(
                f"{stage}-{region}",
                stage,
                region,
                capacity=64,
                base_s=0.003,
                idempotent_calls=[stage],
            )
            for stage in _STAGES
        ]
        deployment.start_endpoints(specs, separate_processes=False)
    for number, region in enumerate(REGIONS):

        def set_policies(settings: dict[str, Any]) -> None:
            settings["policies"] = policies

        deployment.start_daemon(f"entry-{number}", region, set_policies)
    deployment.publish_vm_list()
    deployment.wait_serving()
    result = deployment.commit_config(_make_configuration(deployment))
    assert result["state"] == "accepted", result


def _make_configuration(deployment: Deployment) -> list[ConfigObject]:
    stages = [Stage(name, name) for name in _STAGES]
    stages.append(Stage("generate", "assistant", streams=True))
    teams = [
        Team(name, sha256(f"token-of-{name}".encode()).hexdigest())
        for name in TEAM_FRACTIONS
    ]
    classes = [ClassOfWork(name, "answers", ms) for name, ms in TARGET_MS.items()]
    return [
        *teams,
        Pipeline("answers", stages),
        *classes,
        *deployment.endpoints.values(),
    ]


def _post_controls(
    deployment: Deployment, endpoint_names: list[str], **switches: object
) -> None:
    for name in endpoint_names:
        post_control(deployment.endpoints[name].url, **switches)


def _engine_names(deployment: Deployment) -> list[str]:
    return sorted(name for name in deployment.endpoints if name.startswith("engine-"))


def _slow_down_engine(slowdown_factor: float) -> Callable[[Deployment], None]:
    return lambda d: _post_controls(d, ["engine-montreal-0"], slow=slowdown_factor)


def _drop_calls_of_engine(is_dropping: bool) -> Callable[[Deployment], None]:
    return lambda d: _post_controls(d, ["engine-montreal-0"], drop=is_dropping)


def _drop_calls_of_half(is_dropping: bool) -> Callable[[Deployment], None]:
    return lambda d: _post_controls(d, _engine_names(d)[::2], drop=is_dropping)


def _delay_load_reports(lag_s: float) -> Callable[[Deployment], None]:
    return lambda d: _post_controls(d, _engine_names(d), load_lag_s=lag_s)
