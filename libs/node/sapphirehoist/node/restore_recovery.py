"""Recovery from a restore of the platform's table from an older copy."""

from __future__ import annotations

import logging
from random import Random
from typing import ClassVar

import gevent

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import ConfigReplicator
from sapphirehoist.membership import Fleet
from sapphirehoist.node.roster_joiner import RosterJoiner
from sapphirehoist.observability import Timeline
from sapphirehoist.peers import PeerMessage
from sapphirehoist.storage import StoreEra

# Within the time after which claims and changes are made again.
_MAX_INITIAL_DELAY_S = 1.0
_RETRY_INTERVAL_S = 0.5
_MAX_ATTEMPTS = 40

_logger = logging.getLogger(__name__)


class TableRestored(PeerMessage, frozen=True, array_like=True):
    """Tells that the table was restored and is in a new era."""

    KIND: ClassVar[str] = "node.table_restored"

    era: int


class RestoreRecovery:
    """Writes this node's part of the lost rows again, and tells the other nodes.

    A node may not contact the table for a while, but has to write its recent claims
    again soon.

    Parameters
    ----------
    era : StoreEra
        Era of the table as observed by this node.
    fleet : Fleet
        Floods the new era.
    replicator : ConfigReplicator
        Writes lost versions of the configuration again.
    roster_joiner : RosterJoiner
        Writes the row of the local member again.
    clock : Clock
        Times retries.
    random : Random
        Spreads the writes of all nodes.
    timeline : Timeline
        Receives an event for each restore.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_fleet",
        "_random",
        "_replicator",
        "_roster_joiner",
        "_timeline",
    )

    def __init__(
        self,
        era: StoreEra,
        fleet: Fleet,
        replicator: ConfigReplicator,
        roster_joiner: RosterJoiner,
        clock: Clock,
        random: Random,
        timeline: Timeline,
    ) -> None:
        self._era = era
        self._fleet = fleet
        self._replicator = replicator
        self._roster_joiner = roster_joiner
        self._clock = clock
        self._random = random
        self._timeline = timeline
        era.on_restore(self._handle_restore)
        fleet.subscribe_updates(TableRestored, self._handle_update)

    def _handle_restore(self, era: int) -> None:
        self._timeline.record("table_restored", f"era {era}")
        gevent.spawn(self._fleet.broadcast, TableRestored(era))
        gevent.spawn(self._recover)

    def _handle_update(self, update: TableRestored) -> bool:
        """Observe the era; return whether it is new."""
        if self._era.value is not None and update.era <= self._era.value:
            return False
        self._era.observe(update.era)
        return True

    def _recover(self) -> None:
        self._clock.sleep(self._random.uniform(0.0, _MAX_INITIAL_DELAY_S))
        for _ in range(_MAX_ATTEMPTS):
            if (
                self._replicator.restore_lost_versions()
                and self._roster_joiner.join_again()
            ):
                _logger.info("wrote lost rows again", extra={"era": self._era.value})
                return
            self._clock.sleep(_RETRY_INTERVAL_S)
        _logger.error("cannot write lost rows again", extra={"era": self._era.value})
