"""Dependencies of a node that a test or a simulation can replace."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from uuid import uuid4

from sapphirehoist.clock import Clock, SystemClock
from sapphirehoist.endpoints import EndpointClient, HttpEndpointClient
from sapphirehoist.peers import CurveKeys, PeerTransport, ZmqTransport
from sapphirehoist.settings import Settings
from sapphirehoist.storage import (
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    ObjectStore,
    TableService,
    VmList,
)


@dataclass(frozen=True, slots=True)
class NodeDependencies:
    """A node's clock, random generator and connections to other processes.

    Attributes
    ----------
    clock : Clock
        Wall time, monotonic time and sleep.
    random : Random
        Random generator of all policies and protocols.
    new_id : callable
        Returns an id that is unique within the fleet.
    peer_transport : PeerTransport
        Sends messages to other daemons.
    table_service, object_store, vm_list : TableService, ObjectStore, VmList
        Clients of the platform's services.
    endpoint_client : EndpointClient
        Calls endpoints.
    """

    clock: Clock
    random: Random
    new_id: Callable[[], str]
    peer_transport: PeerTransport
    table_service: TableService
    object_store: ObjectStore
    vm_list: VmList
    endpoint_client: EndpointClient

    @classmethod
    def from_settings(cls, settings: Settings) -> NodeDependencies:
        """Return the production dependencies: system clock, ZeroMQ and HTTP clients."""
        peers = settings.peers
        curve_keys = CurveKeys(peers.public_key, peers.secret_key)
        clock = SystemClock()
        return cls(
            clock,
            Random(),
            lambda: uuid4().hex,
            ZmqTransport(peers.listen, curve_keys),
            HttpTableService(settings.platform.table),
            HttpObjectStore(settings.platform.objects),
            HttpVmList(settings.platform.vms),
            HttpEndpointClient(clock),
        )
