"""Releases stage results that are no longer needed."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.discovery import EndpointDirectory, EndpointPhase, EndpointRecord
from sapphirehoist.gateway.endpoint_queue import EndpointQueue, QueueDependencies
from sapphirehoist.gateway.stage_messages import ReleaseNotification
from sapphirehoist.http1 import EndpointResponse
from sapphirehoist.membership import Member
from sapphirehoist.peers import PeerBus

# Handles are collected for this interval and released in batches.
_RELEASE_INTERVAL_S = 0.02
_RELEASE_TIMEOUT_S = 1.0
_MAX_HANDLES_PER_CALL = 200


class ResultReleaser:
    """Collects handles of unneeded results and releases them through the owners.

    Parameters
    ----------
    bus : PeerBus
        Sends messages to other nodes.
    directory : EndpointDirectory
        Resolves endpoint names.
    find_owner : callable
        Returns the node that owns an endpoint; None if this node owns it.
    find_queue : callable
        Returns this node's queue for an endpoint name; None if it has none.
    dependencies : QueueDependencies
        Shared with the endpoint queues.
    """

    __slots__ = (
        "_bus",
        "_clock",
        "_dependencies",
        "_directory",
        "_find_owner",
        "_find_queue",
        "_pending_handles",
    )

    def __init__(
        self,
        bus: PeerBus,
        directory: EndpointDirectory,
        find_owner: Callable[[EndpointRecord], Member | None],
        find_queue: Callable[[str], EndpointQueue | None],
        dependencies: QueueDependencies,
    ) -> None:
        self._bus = bus
        self._directory = directory
        self._find_owner = find_owner
        self._find_queue = find_queue
        self._dependencies = dependencies
        self._clock: Clock = dependencies.clock
        self._pending_handles: dict[str, list[str]] = {}
        bus.subscribe(ReleaseNotification, self._handle_release)

    def add(self, endpoint: str, handle: str) -> None:
        """Schedule the release of a result."""
        self._pending_handles.setdefault(endpoint, []).append(handle)

    def run(self) -> None:
        """Release the collected results at a fixed interval, until killed."""
        while True:
            self._clock.sleep(_RELEASE_INTERVAL_S)
            pending_handles, self._pending_handles = self._pending_handles, {}
            for endpoint, handles in pending_handles.items():
                self._forward_to_owner(endpoint, handles)

    def release_at_endpoint(self, endpoint: str, handles: list[str]) -> None:
        """Ask `endpoint`, which this node owns, to release results.

        An endpoint that is leaving needs no space; one that asked for a pause is called
        after it.
        """
        record = self._directory.get(endpoint)
        if record is None or record.phase is EndpointPhase.DRAINING:
            return
        if self._dependencies.endpoint_candidates.backoff_s(record):
            self._pending_handles.setdefault(endpoint, []).extend(handles)
            return
        for first in range(0, len(handles), _MAX_HANDLES_PER_CALL):
            batch = handles[first : first + _MAX_HANDLES_PER_CALL]
            gevent.spawn(self._send_release, record, batch)

    def _handle_release(self, sender: str, notification: ReleaseNotification) -> None:
        self.release_at_endpoint(notification.endpoint, notification.handles)

    def _forward_to_owner(self, endpoint: str, handles: list[str]) -> None:
        record = self._directory.get(endpoint)
        if record is None:
            return
        owner = self._find_owner(record)
        if owner is None:
            self.release_at_endpoint(endpoint, handles)
        else:
            self._bus.notify(owner.peer_address, ReleaseNotification(endpoint, handles))

    def _send_release(self, record: EndpointRecord, handles: list[str]) -> None:
        """Send one release call; repeat it only after a pause that is asked for.

        Results that are not released expire.
        """
        dependencies = self._dependencies
        dependencies.metrics.count("stage_results_released_total", len(handles))
        dependencies.endpoint_candidates.record_send(record)
        sent_at = self._clock.monotonic()
        with gevent.Timeout(_RELEASE_TIMEOUT_S, False):
            reply = dependencies.connections.call(
                record.address,
                dependencies.codec.encode_release_call(handles),
                lambda head, is_reused: True,
            )
            if isinstance(reply, EndpointResponse):
                metadata = dependencies.codec.decode_reply_head(reply.head)
                dependencies.endpoint_candidates.record_reply(record, metadata, sent_at)
                reply.read_all()
                reply.close()
                if metadata.retry_after_s is not None:
                    self._pending_handles.setdefault(record.name, []).extend(handles)
                    return
        queue = self._find_queue(record.name)
        if queue is not None:
            queue.mark_released(handles)
