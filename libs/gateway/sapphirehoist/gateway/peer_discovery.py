"""Peer discovery: each node writes a row of its own and reads the rows of all nodes.

A node that starts while the store is unavailable contacts the seeds from its settings.
Seeds may no longer exist, so they are only a fallback. A store that was restored from a
copy may lack the row, so every node writes it again.
"""

from __future__ import annotations

import logging
from random import Random

import gevent
from gevent.event import Event

from sapphirehoist.clock import Clock
from sapphirehoist.membership import Fleet, Member, MemberUpdate, Status
from sapphirehoist.messages import MalformedMessage, decode_json, encode_json
from sapphirehoist.storage import (
    Committed,
    StoreEra,
    TableService,
    Unavailable,
    Write,
)

_KEY_PREFIX = "nodes/"
# All nodes start at about the same time; each finds the earlier ones in its first read,
# and all in the second one.
_INITIAL_READ_INTERVAL_S = 1.0
_INITIAL_READS = 2
# Later, each node of a larger fleet reads less often, as the nodes share the reads. New
# nodes announce themselves.
_MIN_READ_INTERVAL_S = 8.0
_READ_INTERVAL_PER_NODE_S = 2.0
# After a restore of the store, all nodes write their rows again, at this rate together.
_FLEET_REWRITES_PER_S = 50.0
# An available store responds within this time. After it, the seeds are contacted.
_SEED_FALLBACK_DELAY_S = 0.3
# Consecutive reads in which a node has to be dead before its row is removed.
_DEAD_READS_BEFORE_REMOVAL = 3

_logger = logging.getLogger(__name__)


class PeerDiscovery:
    """Maintains this node's row and adds the nodes of all other rows to the fleet.

    Parameters
    ----------
    fleet : Fleet
        Receives the members that were discovered.
    table : TableService
        The platform's table.
    clock : Clock
        Determines the time between reads.
    random : Random
        Spreads the writes of all nodes after a restore of the store.
    era : StoreEra
        Reports restores of the store.
    seeds : tuple of str
        Peer addresses to contact while no other node is known.
    """

    __slots__ = (
        "_clock",
        "_dead_read_counts",
        "_fleet",
        "_has_restored",
        "_is_own_row_written",
        "_random",
        "_read_count",
        "_seeds",
        "_table",
    )

    def __init__(
        self,
        fleet: Fleet,
        table: TableService,
        clock: Clock,
        random: Random,
        era: StoreEra,
        seeds: tuple[str, ...],
    ) -> None:
        self._fleet = fleet
        self._table = table
        self._clock = clock
        self._random = random
        self._seeds = seeds
        self._has_restored = Event()
        self._is_own_row_written = False
        self._read_count = 0
        self._dead_read_counts: dict[tuple[str, int], int] = {}
        era.on_restore(lambda _: self._has_restored.set())

    def run(self) -> None:
        """Poll the table until killed."""
        while True:
            self.poll()
            is_initial = (
                self._read_count < _INITIAL_READS or not self._is_own_row_written
            )
            node_count = len(self._fleet.present_members())
            interval_s = max(
                _MIN_READ_INTERVAL_S, _READ_INTERVAL_PER_NODE_S * node_count
            )
            if is_initial:
                interval_s = _INITIAL_READ_INTERVAL_S
            if self._clock.wait(self._has_restored, interval_s):
                self._rewrite_own_row(node_count)

    def poll(self) -> None:
        """Write this node's row until a write has succeeded, and read all rows."""
        if not self._fleet.other_members():
            gevent.spawn(self._contact_seeds)
        if not self._is_own_row_written:
            self._write_own_row()
        rows = self._table.read_prefix(_KEY_PREFIX)
        if isinstance(rows, Unavailable):
            return
        self._read_count += 1
        members = [decode_json(row.value, Member) for row in rows.rows]
        self._merge_members([m for m in members if not isinstance(m, MalformedMessage)])

    def _write_own_row(self) -> None:
        member = self._fleet.local_member
        key = _KEY_PREFIX + member.vm
        outcome = self._table.transact([], [Write(key, encode_json(member))])
        self._is_own_row_written = isinstance(outcome, Committed)
        if not self._is_own_row_written:
            _logger.warning(
                "cannot write the discovery row of this node",
                extra={"detail": str(outcome)},
            )

    def _rewrite_own_row(self, node_count: int) -> None:
        """Write this node's row again after a restore; the next poll repeats it."""
        self._has_restored.clear()
        self._is_own_row_written = False
        delay_s = self._random.uniform(0.0, node_count / _FLEET_REWRITES_PER_S)
        self._clock.sleep(delay_s)
        self._write_own_row()

    def remove_own_row(self) -> None:
        """Remove this node's row."""
        self._table.transact(
            [], [Write(_KEY_PREFIX + self._fleet.local_member.vm, None)]
        )

    def _contact_seeds(self) -> None:
        """Contact all seeds concurrently if the store has provided no node meanwhile.

        Without the delay, every node of a starting fleet would request the complete
        state of the few seeds.
        """
        self._clock.sleep(_SEED_FALLBACK_DELAY_S)
        if self._fleet.other_members():
            return
        for seed in self._seeds:
            if seed != self._fleet.local_member.peer_address:
                gevent.spawn(self._contact_seed, seed)

    def _contact_seed(self, address: str) -> None:
        if not self._fleet.sync_view(address):
            return
        _logger.info(
            "discovered peers through a seed",
            extra={"seed": address, "peers": len(self._fleet.other_members())},
        )
        self._fleet.announce()

    def _merge_members(self, members: list[Member]) -> None:
        """Add the members of rows to the fleet and remove the rows of dead nodes."""
        has_new_member = False
        for member in members:
            if member.vm == self._fleet.local_member.vm:
                continue
            if self._is_row_obsolete(member):
                self._table.transact([], [Write(_KEY_PREFIX + member.vm, None)])
                continue
            # The row does not state whether the node is serving; the node announces
            # that itself.
            update = MemberUpdate(
                member.vm,
                member.incarnation,
                0,
                Status.ALIVE,
                member=member,
                is_starting=True,
            )
            has_new_member |= self._fleet.view.merge(update)
        if has_new_member:
            _logger.info(
                "discovered peers in the store",
                extra={"peers": len(self._fleet.other_members())},
            )
            self._fleet.invalidate_neighbours()
            self._fleet.announce()
            gevent.spawn(self._fetch_serving_states)

    def _fetch_serving_states(self) -> None:
        """Fetch the view of one neighbour to learn which nodes are serving.

        Heartbeats would propagate this later. The load is spread, because each node has
        different neighbours.
        """
        for member in self._fleet.neighbours():
            if self._fleet.sync_view(member.peer_address):
                return

    def _is_row_obsolete(self, member: Member) -> bool:
        """Return whether `member` has been dead in enough consecutive reads.

        Each call counts as one read.
        """
        known = self._fleet.view.get(member.vm)
        key = (member.vm, member.incarnation)
        is_dead = (
            known is not None
            and known.incarnation == member.incarnation
            and known.status in (Status.DEAD, Status.GONE)
        )
        if not is_dead:
            self._dead_read_counts.pop(key, None)
            return False
        self._dead_read_counts[key] = self._dead_read_counts.get(key, 0) + 1
        return self._dead_read_counts[key] >= _DEAD_READS_BEFORE_REMOVAL
