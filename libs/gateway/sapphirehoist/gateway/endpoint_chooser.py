"""Chooses the endpoint of each attempt and accounts for the prompt sent to it."""

from __future__ import annotations

from collections.abc import Callable, Collection

from sapphirehoist.decisions import (
    Distance,
    GenerationPlacement,
    PlacementCandidate,
    PlacementPolicy,
    PlacementRequest,
    PrefillSpeed,
)
from sapphirehoist.gateway.candidates import EndpointCandidates
from sapphirehoist.gateway.endpoint_memory_sync import EndpointMemorySync
from sapphirehoist.gateway.request_context import RequestContext, StageInputs

# Time that a request and its first event spend on the network.
_NETWORK_S = {
    Distance.SAME_ZONE: 0.001,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.041,
}
# A request behind a longer prefill of others says little about the engine's speed.
_MAX_PENDING_FRACTION = 0.1


class EndpointChooser:
    """Applies the placement policy of a request's service.

    Parameters
    ----------
    endpoints : EndpointCandidates
        Endpoints of each service, with their load.
    service_placement : PlacementPolicy
        Chooses an endpoint of a service without a model pool.
    generation_placement : GenerationPlacement
        Chooses an engine of a model pool.
    broadcast_prompt_parts : callable
        Schedules a broadcast to other nodes of the prompt parts that were sent to an
        engine.
    endpoint_memory : EndpointMemorySync
        Leaves out endpoints that have no memory for a request's body.
    prefill_speed : PrefillSpeed
        Learns the speed of the engines of each pool.
    """

    __slots__ = (
        "_broadcast_prompt_parts",
        "_endpoint_memory",
        "_endpoints",
        "_generation_placement",
        "_prefill_speed",
        "_service_placement",
    )

    def __init__(
        self,
        endpoints: EndpointCandidates,
        service_placement: PlacementPolicy,
        generation_placement: GenerationPlacement,
        broadcast_prompt_parts: Callable[[list[str], str], None],
        endpoint_memory: EndpointMemorySync,
        prefill_speed: PrefillSpeed,
    ) -> None:
        self._endpoints = endpoints
        self._service_placement = service_placement
        self._generation_placement = generation_placement
        self._broadcast_prompt_parts = broadcast_prompt_parts
        self._endpoint_memory = endpoint_memory
        self._prefill_speed = prefill_speed

    def choose(
        self,
        context: RequestContext,
        inputs: StageInputs | None,
        tried_endpoints: Collection[str],
        software_version: str | None,
    ) -> PlacementCandidate | None:
        """Return the endpoint for the next attempt; None if there is no candidate.

        Parameters
        ----------
        context : RequestContext
            The request.
        inputs : StageInputs or None
            Stage results that the endpoint has to read; None for none.
        tried_endpoints : collection of str
            Names of endpoints that are not chosen again.
        software_version : str or None
            Software version that the endpoint must have; None for any.
        """
        candidates = self._endpoint_memory.with_room(
            context.service.name,
            len(context.request.body),
            self._endpoints.candidates(
                context.service,
                tried_endpoints,
                software_version,
                context.allowed_regions,
            ),
        )
        if not candidates:
            return None
        policy = (
            self._generation_placement
            if context.service.model_engine_spec
            else self._service_placement
        )
        return policy.choose(self._placement_request(context, inputs), candidates)

    def expected_zone(self, context: RequestContext) -> str:
        """Return the availability zone of the endpoint that would be chosen now.

        The result is empty if the service has no endpoint.
        """
        candidate = self.choose(context, None, frozenset(), None)
        return candidate.zone if candidate is not None else ""

    def _placement_request(
        self, context: RequestContext, inputs: StageInputs | None
    ) -> PlacementRequest:
        generation = context.metadata.generation
        return PlacementRequest(
            context.route.latency_target_s / 4,
            generation.prompt_parts if generation is not None else (),
            inputs.bytes_by_zone() if inputs is not None else {},
            context.service.name,
        )

    def record_first_event(
        self, service: str, candidate: PlacementCandidate, elapsed_s: float
    ) -> None:
        """Learn the speed of an engine from the time to a first event.

        Parameters
        ----------
        service : str
            Service of the engine.
        candidate : PlacementCandidate
            The engine, as it was when the request was sent.
        elapsed_s : float
            Time from the start of the attempt to the first event.
        """
        tokens, loads = candidate.uncached_tokens, self._endpoints.loads
        if not tokens:
            return
        arrived_s = max(0.0, elapsed_s - _NETWORK_S[candidate.distance])
        expected_s = self._prefill_speed.expected_s(service, tokens)
        present_factor = candidate.generations_factor * loads.slowdown(candidate.name)
        work_s = expected_s * present_factor * candidate.work_time_factor
        loads.record_wait(candidate.name, max(0.0, arrived_s - work_s))
        has_waited = candidate.load + 1 > candidate.slots
        if (
            has_waited
            or candidate.pending_prefill_tokens > _MAX_PENDING_FRACTION * tokens
        ):
            return
        idle_s = arrived_s / present_factor
        loads.record_time(candidate.name, idle_s / expected_s, 1.0, True, 1.0)
        self._prefill_speed.record(service, tokens, idle_s)

    def begin_prefill(
        self, context: RequestContext, inputs: StageInputs | None, endpoint: str
    ) -> int:
        """Account for a prompt at its engine; return its pending prefill tokens."""
        if context.metadata.generation is None:
            return 0
        placement_request = self._placement_request(context, inputs)
        pending_tokens = self._generation_placement.uncached_tokens(
            placement_request, endpoint
        )
        self._endpoints.begin_prefill(endpoint, pending_tokens)
        for part in placement_request.prompt_parts:
            self._generation_placement.record_prompt_part(part.name, endpoint)
        self._broadcast_prompt_parts(
            [part.name for part in placement_request.prompt_parts], endpoint
        )
        return pending_tokens
