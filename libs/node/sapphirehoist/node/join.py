"""How a node joins the roster, also while the table is unavailable."""

from __future__ import annotations

import logging
from collections.abc import Callable

from sapphirehoist.clock import Clock
from sapphirehoist.configuration import ConfigReplica, ConfigSpread, ConfigStore
from sapphirehoist.membership import Fleet, Joined, Member, MemberNews, Roster, Status
from sapphirehoist.observability import Timeline
from sapphirehoist.peers import NoReply
from sapphirehoist.storage import Unavailable

_RETRY_S = 1.0
_BACKSTOP_LEAST_S = 15.0
_BACKSTOP_PER_MEMBER_S = 2.0

_logger = logging.getLogger(__name__)


class Joiner:
    """Brings one node onto the roster with the newest configuration.

    Parameters
    ----------
    fleet : Fleet
        Takes the members that were found.
    replica, store, spread : ConfigReplica, ConfigStore, ConfigSpread
        The configuration.
    roster : Roster
        The table's record of members.
    seeds : list of str
        Peers to ask while the table is unavailable.
    clock : Clock
        Paces tries.
    timeline : Timeline
        Takes the joining.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_on_joined",
        "_replica",
        "_roster",
        "_seeds",
        "_spread",
        "_store",
        "_timeline",
        "is_on_roster",
    )

    def __init__(
        self,
        fleet: Fleet,
        replica: ConfigReplica,
        store: ConfigStore,
        spread: ConfigSpread,
        roster: Roster,
        seeds: list[str],
        clock: Clock,
        timeline: Timeline,
        on_joined: Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._replica = replica
        self._store = store
        self._spread = spread
        self._roster = roster
        self._seeds = seeds
        self._clock = clock
        self._timeline = timeline
        self._on_joined = on_joined
        self.is_on_roster = False

    def run(self) -> None:
        """Try until this node is on the roster."""
        while not self.try_join():
            self._ask_a_peer()
            self._clock.sleep(_RETRY_S)

    def may_serve(self) -> bool:
        """Return whether acceptance of configuration waits for this node."""
        return self.is_on_roster or self._spread.vouching.is_counted()

    def try_join(self) -> bool:
        """Read the configuration and join the roster in one transaction."""
        loaded = self._store.load()
        if isinstance(loaded, Unavailable):
            return False
        self._replica.apply_snapshot(loaded.catalog.snapshot())
        joined = self._roster.join(self._fleet.member, loaded.condition)
        if not isinstance(joined, Joined):
            return False
        self._spread.vouching.tell_joined()
        self.is_on_roster = True
        # Of two nodes that join at once, the later reader sees both.
        self._meet_roster()
        self._timeline.record("roster_joined", self._fleet.member.vm)
        _logger.info("joined the roster", extra={"version": self._replica.version})
        self._on_joined()
        return True

    def run_backstop(self) -> None:
        """Read the roster now and then; less often as the fleet grows."""
        while True:
            wanted_s = _BACKSTOP_PER_MEMBER_S * len(self._fleet.present())
            self._clock.sleep(max(_BACKSTOP_LEAST_S, wanted_s))
            self._meet_roster()

    def _meet_roster(self) -> None:
        members = self._roster.read()
        if not isinstance(members, Unavailable):
            self._meet(members)

    def _ask_a_peer(self) -> None:
        known = [member.peer_address for member in self._fleet.others()]
        # One voucher is kept as long as it answers, so that no other waits for us.
        first = self._spread.vouching.voucher_address()
        for address in dict.fromkeys([first, *known, *self._seeds]):
            if address in ("", self._fleet.member.peer_address):
                continue
            members = self._spread.vouching.ask(address)
            if not isinstance(members, NoReply):
                self._meet(members)
                return

    def _meet(self, members: list[Member]) -> None:
        is_any_new = False
        for member in members:
            if member.vm != self._fleet.member.vm:
                news = MemberNews(
                    member.vm, member.incarnation, 0, Status.ALIVE, False, member
                )
                is_any_new |= self._fleet.view.merge(news)
        if is_any_new:
            self._fleet.forget_neighbours()
            self._fleet.announce()
