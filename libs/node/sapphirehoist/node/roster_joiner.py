"""Joins a node to the roster, with a peer as sponsor while the table is unavailable."""

from __future__ import annotations

import logging
from collections.abc import Callable

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import ConfigReplica, ConfigReplicator, ConfigStore
from sapphirehoist.membership import Fleet, Joined, Member, MemberUpdate, Roster, Status
from sapphirehoist.observability import Timeline
from sapphirehoist.peers import NoReply
from sapphirehoist.storage import Unavailable

_JOIN_RETRY_DELAY_S = 1.0
_MIN_ROSTER_POLL_INTERVAL_S = 15.0
_ROSTER_POLL_INTERVAL_PER_MEMBER_S = 2.0

_logger = logging.getLogger(__name__)


class RosterJoiner:
    """Loads the latest configuration and adds the local member to the roster.

    Parameters
    ----------
    fleet : Fleet
        View of the members; receives the members that are found.
    config_replica : ConfigReplica
        Local copy of the configuration.
    config_store : ConfigStore
        The configuration in the table.
    replicator : ConfigReplicator
        Replication of the configuration.
    roster : Roster
        The members in the table.
    seeds : list of str
        Peer addresses of possible sponsors while the table is unavailable.
    clock : Clock
        Times retries and polling.
    timeline : Timeline
        Records an event when the node has joined.
    on_joined : callable
        Called after the local member was added to the roster.

    Attributes
    ----------
    is_on_roster : bool
        Whether the current incarnation has joined the roster.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_on_joined",
        "_config_replica",
        "_roster",
        "_seeds",
        "_replicator",
        "_config_store",
        "_timeline",
        "is_on_roster",
    )

    def __init__(
        self,
        fleet: Fleet,
        config_replica: ConfigReplica,
        config_store: ConfigStore,
        replicator: ConfigReplicator,
        roster: Roster,
        seeds: list[str],
        clock: Clock,
        timeline: Timeline,
        on_joined: Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._config_replica = config_replica
        self._config_store = config_store
        self._replicator = replicator
        self._roster = roster
        self._seeds = seeds
        self._clock = clock
        self._timeline = timeline
        self._on_joined = on_joined
        self.is_on_roster = False

    def run(self) -> None:
        """Try to join until the local member is on the roster.

        After each failed attempt, a peer is asked to sponsor this node.
        """
        while not self.try_join():
            self._request_sponsorship()
            self._clock.sleep(_JOIN_RETRY_DELAY_S)

    def join_again(self) -> bool:
        """Write the local member's row again, which a restored table may have lost.

        Returns
        -------
        bool
            Whether the roster contains the local member.
        """
        return not self.is_on_roster or self.try_join()

    def may_serve(self) -> bool:
        """Return whether this node may serve requests.

        A node may serve only if no configuration change is accepted before the node has
        applied it. That holds while it is on the roster or a sponsor reports for it.
        """
        return self.is_on_roster or self._replicator.sponsorship.is_sponsored()

    def try_join(self) -> bool:
        """Load the configuration and join the roster if it is still the latest version.

        Returns
        -------
        bool
            Whether the local member is on the roster now. False if the table is
            unavailable or the configuration has changed after it was read.
        """
        stored_config = self._config_store.load()
        if isinstance(stored_config, Unavailable):
            return False
        self._config_replica.apply_snapshot(stored_config.catalog.snapshot())
        join_result = self._roster.join(
            self._fleet.local_member, stored_config.condition
        )
        if not isinstance(join_result, Joined):
            return False
        self._replicator.sponsorship.notify_joined()
        self.is_on_roster = True
        # The roster is read after the join was written, so that of two nodes that join
        # concurrently, the later reader sees both.
        self._merge_roster()
        self._timeline.record("roster_joined", self._fleet.local_member.vm)
        _logger.info(
            "joined the roster", extra={"version": self._config_replica.version}
        )
        self._on_joined()
        return True

    def run_roster_polling(self) -> None:
        """Poll the roster until killed; the interval grows with the fleet."""
        while True:
            scaled_interval_s = _ROSTER_POLL_INTERVAL_PER_MEMBER_S * len(
                self._fleet.present_members()
            )
            self._clock.sleep(max(_MIN_ROSTER_POLL_INTERVAL_S, scaled_interval_s))
            self._merge_roster()

    def _merge_roster(self) -> None:
        members = self._roster.read()
        if not isinstance(members, Unavailable):
            self._merge_members(members)

    def _request_sponsorship(self) -> None:
        known_addresses = [
            member.peer_address for member in self._fleet.other_members()
        ]
        # The current sponsor comes first: a change of sponsor would make two members
        # hold acceptance back for this node.
        sponsor_address = self._replicator.sponsorship.sponsor_address()
        for address in dict.fromkeys([sponsor_address, *known_addresses, *self._seeds]):
            if address in ("", self._fleet.local_member.peer_address):
                continue
            members = self._replicator.sponsorship.request_sponsorship(address)
            if not isinstance(members, NoReply):
                self._merge_members(members)
                return

    def _merge_members(self, members: list[Member]) -> None:
        has_new_members = False
        for member in members:
            if member.vm != self._fleet.local_member.vm:
                update = MemberUpdate(
                    member.vm, member.incarnation, 0, Status.ALIVE, False, member
                )
                has_new_members |= self._fleet.view.merge(update)
        if has_new_members:
            self._fleet.invalidate_neighbours()
            self._fleet.announce()
