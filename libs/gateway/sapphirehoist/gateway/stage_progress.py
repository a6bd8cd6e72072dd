"""Results of the stages of one request, by stage and piece."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from sapphirehoist.gateway.pieces import Piece
from sapphirehoist.routes import Route


@dataclass(slots=True, eq=False)
class PendingPiece:
    """A requested piece whose result has not been processed yet."""

    stage: int
    index: int
    endpoint: str
    piece: Piece


class StageProgress:
    """Tells which pieces of a request have a result, and where the results are.

    The height of a stage is the number of stages that follow it on the longest path to
    a final stage.

    Parameters
    ----------
    route : Route
        Route of the request, with its stages.
    requested_counts : sequence of int
        Number of pieces of each stage as the caller stated it; 1 for further stages.

    Attributes
    ----------
    route : Route
        The route.
    piece_counts : list of int
        Number of pieces of each stage.
    heights : tuple of int
        Height of each stage.
    pending : list of PendingPiece
        Pieces that were requested and have no result yet.
    handles, endpoints : list of list of str
        Handle and endpoint of each result, by stage and piece; empty without a result.
    """

    __slots__ = ("endpoints", "handles", "heights", "pending", "piece_counts", "route")

    def __init__(self, route: Route, requested_counts: Sequence[int]) -> None:
        self.route = route
        self.piece_counts = [
            requested_counts[stage] if stage < len(requested_counts) else 1
            for stage in range(len(route.stages))
        ]
        self.heights = route.stage_heights()
        self.pending: list[PendingPiece] = []
        self.clear()

    def clear(self) -> None:
        """Forget all results."""
        self.handles: list[list[str]] = [[""] * count for count in self.piece_counts]
        self.endpoints: list[list[str]] = [[""] * count for count in self.piece_counts]

    def store(self, stage: int, index: int, endpoint: str, handle: str) -> None:
        """Record the result of a piece."""
        self.handles[stage][index] = handle
        self.endpoints[stage][index] = endpoint

    def is_done(self, stage: int) -> bool:
        """Return whether every piece of a stage has a result."""
        return all(self.handles[stage])

    @property
    def is_complete(self) -> bool:
        """Return whether every piece of all stages has a result."""
        return all(map(self.is_done, range(len(self.piece_counts))))

    def unfinished_stages(self) -> list[int]:
        """Return the stages with pieces that have no result yet."""
        return [
            stage for stage in range(len(self.piece_counts)) if not self.is_done(stage)
        ]

    def unfinished_stages_at(self, height: int) -> list[int]:
        """Return the stages of `height` with pieces that have no result yet."""
        return [
            stage for stage in self.unfinished_stages() if self.heights[stage] == height
        ]

    def missing_pieces(self, stage: int) -> list[int]:
        """Return the indices of the pieces of a stage without a result."""
        return [i for i, handle in enumerate(self.handles[stage]) if not handle]

    def result_endpoints(self, stage: int) -> Iterator[str]:
        """Return the endpoint of each result of a stage."""
        return filter(None, self.endpoints[stage])

    def input_handles(self, stage: int) -> tuple[str, ...]:
        """Return the handles of all results that each piece of a stage depends on."""
        return tuple(
            handle
            for input_stage in self.route.stages[stage].depends_on
            for handle in self.handles[input_stage]
        )

    def final_handles(self) -> tuple[str, ...]:
        """Return the result handles of the final stages, ordered by stage and piece."""
        return tuple(
            handle
            for stage in self.route.final_stages()
            for handle in self.handles[stage]
            if handle
        )

    def unused_inputs(self, completed_stage: int) -> list[int]:
        """Return the input stages of a stage that no unfinished stage depends on."""
        return [
            input_stage
            for input_stage in self.route.stages[completed_stage].depends_on
            if all(
                self.is_done(consumer)
                for consumer, spec in enumerate(self.route.stages)
                if input_stage in spec.depends_on
            )
        ]
