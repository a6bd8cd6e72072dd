"""Makes claims, stores their calls' outcomes and waits for those of other attempts.

A claim is a conditional insert of a row that contains a unique attempt id. If the
table's response is lost, the same insert is sent again. It either commits, or conflicts
with a row that contains the id of this attempt or of another one; each of these results
tells which attempt holds the claim.

If the table is restored from an older copy, rows that it had acknowledged are lost.
Each node then writes the last state of its recent claims again, and none makes a new
claim until all have had time for that.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import msgspec

from sapphirehoist.claims.claim import (
    Claim,
    ClaimKey,
    ClaimReused,
    ClaimState,
    ClaimTaken,
    ClaimUnavailable,
    StoredClaim,
)
from sapphirehoist.claims.recent_claims import RecentClaim, RecentClaims
from sapphirehoist.claims.write_batcher import RowConflict, WriteBatcher
from sapphirehoist.clock import Clock
from sapphirehoist.messages import decode_json, encode_json
from sapphirehoist.observability import Metrics
from sapphirehoist.outcomes import Done, Failed, NotRun, Outcome, Reason, Unknown
from sapphirehoist.storage import (
    Committed,
    Condition,
    ObjectStore,
    RestoreGuard,
    Rows,
    TableService,
    Unavailable,
    Undecided,
    Write,
    revision_era,
)

AGE_INDEX_PREFIX = "claim-age/"
_MINUTE_MS = 60_000
_MAX_STORED_BODY_BYTES = 65_536
# Also the interval between retries of an undecided insert.
_INITIAL_POLL_INTERVAL_S = 0.05
_MAX_POLL_INTERVAL_S = 1.0
_MAX_FINISH_ATTEMPTS = 40
_FINISH_RETRY_INTERVAL_S = 0.5
_RESTORED_DETAIL = "the table was restored; lost claims are being written again"


@dataclass(frozen=True, slots=True)
class ClaimTimeouts:
    """Time limits of claims, in seconds.

    Attributes
    ----------
    resolve_s : float
        How long an insert with an undecided outcome is retried.
    send_s : float
        How long after sending the claim its call may still be sent.
    outcome_grace_s : float
        How long after the deadline of a claim duplicate requests still wait for its
        outcome.
    """

    resolve_s: float = 1.5
    send_s: float = 3.0
    outcome_grace_s: float = 2.0


def age_index_key(row_key: str, claimed_at_ms: int) -> str:
    """Return the key of the index row by which the sweeper finds expired claims."""
    return f"{AGE_INDEX_PREFIX}{claimed_at_ms // _MINUTE_MS}/{row_key}"


class ClaimRegistry:
    """Makes and completes claims in the platform's table.

    Parameters
    ----------
    vm : str
        This VM.
    table : TableService
        The platform's table.
    objects : ObjectStore
        Stores response bodies that are too large for a row.
    clock : Clock
        Wall time for rows, monotonic time for timeouts.
    new_attempt_id : callable
        Returns a unique id.
    metrics : Metrics
        Receives ``claims_total`` by outcome, ``claims_without_end_total``,
        ``claims_lost_total`` (claims that another attempt made again after a restore)
        and the counters of `WriteBatcher`.
    restore_guard : RestoreGuard, optional
        Tells whether lost rows were written again after a restore of the table; shared
        with other components that rest on the table.
    timeouts : ClaimTimeouts, optional
        Time limits of claims.
    """

    __slots__ = (
        "_batcher",
        "_clock",
        "_row_update_tasks",
        "_metrics",
        "_new_attempt_id",
        "_objects",
        "_recent_claims",
        "_restore_guard",
        "_table",
        "_timeouts",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        new_attempt_id: Callable[[], str],
        metrics: Metrics,
        restore_guard: RestoreGuard | None = None,
        timeouts: ClaimTimeouts | None = None,
    ) -> None:
        self._vm = vm
        self._table = table
        self._objects = objects
        self._clock = clock
        self._new_attempt_id = new_attempt_id
        self._metrics = metrics
        self._timeouts = timeouts or ClaimTimeouts()
        self._batcher = WriteBatcher(table, metrics)
        self._row_update_tasks: set[gevent.Greenlet] = set()
        self._restore_guard = restore_guard or RestoreGuard(table, clock)
        self._recent_claims = RecentClaims(clock)
        table.era.on_restore(lambda _: self._spawn(self._rewrite_recent_claims))

    def claim(
        self, key: ClaimKey, body_sha256: str, deadline: float
    ) -> Claim | ClaimTaken | ClaimReused | ClaimUnavailable:
        """Claim `key` for a new attempt.

        Parameters
        ----------
        key : ClaimKey
            Idempotency key of the request, with its team.
        body_sha256 : str
            Hash of the class of work and the body of the request.
        deadline : float
            Monotonic time of the request's deadline, in seconds.

        Returns
        -------
        Claim, ClaimTaken, ClaimReused or ClaimUnavailable
            Only `Claim` permits the call.
        """
        result = self._insert_claim(key, body_sha256, deadline)
        self._metrics.count("claims_total", outcome=type(result).__name__)
        return result

    def may_send(self, claim: Claim, deadline: float) -> bool:
        """Return whether the call may be sent now; call this right before sending.

        The limit `send_s` keeps a process that was paused between the claim and the
        call from sending the call late.
        """
        now = self._clock.monotonic()
        return now < min(deadline, claim.sent_at + self._timeouts.send_s)

    def release(self, claim: Claim) -> None:
        """Delete a claim whose call was never sent, so that the key can be reused.

        The row is deleted in a background task.
        """
        self._spawn_row_update(claim, None)

    def finish(self, claim: Claim, outcome: Outcome) -> None:
        """Store the outcome of the call in a background task.

        `NotRun` releases the claim instead.
        """
        if isinstance(outcome, NotRun):
            self.release(claim)
            return
        self._spawn_row_update(claim, _with_outcome(claim.stored, outcome))

    def _spawn(self, function: Callable[..., None], *args: Any) -> None:
        task = gevent.spawn(function, *args)
        self._row_update_tasks.add(task)
        task.link(self._row_update_tasks.discard)

    def wait_for_outcome(
        self, key: ClaimKey, stored: StoredClaim, deadline: float
    ) -> Outcome:
        """Wait for the outcome of another attempt's call.

        Parameters
        ----------
        key : ClaimKey
            Idempotency key that both requests use.
        stored : StoredClaim
            Row of the other attempt.
        deadline : float
            Monotonic time of this request's deadline, in seconds.

        Returns
        -------
        Outcome
            The stored outcome; `Unknown` if none is stored before this request's
            deadline or the end of the claim's grace period; or `NotRun` if the other
            attempt released the claim.
        """
        era = self._table.era.value
        poll_interval_s = _INITIAL_POLL_INTERVAL_S
        while stored.state is ClaimState.CLAIMED:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0 or self._is_abandoned(stored):
                detail = f"attempt {stored.attempt_id} on {stored.vm} has no known end"
                return Unknown(Reason.IN_PROGRESS, detail)
            self._clock.sleep(min(poll_interval_s, remaining_s))
            poll_interval_s = min(poll_interval_s * 2, _MAX_POLL_INTERVAL_S)
            rows = self._table.read([key.row_key])
            if isinstance(rows, Unavailable):
                continue
            current = _decode_row(rows)
            if current is not None:
                stored = current
            elif self._table.era.value == era:
                return _build_key_released_outcome()
            # Otherwise a restore of the table may have lost the row, and the call may
            # have run.
        return self._load_outcome(stored)

    def flush(self, timeout_s: float) -> bool:
        """Wait for all background row updates; return whether `timeout_s` sufficed."""
        gevent.joinall(list(self._row_update_tasks), timeout=timeout_s)
        return not self._row_update_tasks

    def _insert_claim(
        self, key: ClaimKey, body_sha256: str, deadline: float
    ) -> Claim | ClaimTaken | ClaimReused | ClaimUnavailable:
        now_ms = int(self._clock.now().timestamp() * 1000)
        remaining_s = deadline - self._clock.monotonic()
        if not self._restore_guard.is_settled():
            return ClaimUnavailable(_RESTORED_DETAIL)
        new_claim = StoredClaim(
            self._new_attempt_id(),
            body_sha256,
            self._vm,
            now_ms,
            now_ms + int(remaining_s * 1000),
        )
        writes = (
            Write(key.row_key, encode_json(new_claim)),
            Write(age_index_key(key.row_key, now_ms), b""),
        )
        started_at = self._clock.monotonic()
        give_up_at = min(deadline, started_at + self._timeouts.resolve_s)
        is_undecided = False
        while True:
            sent_at = self._clock.monotonic()
            write_outcome = self._batcher.write(Condition(key.row_key, 0), *writes)
            if isinstance(write_outcome, Committed):
                claim = Claim(key, new_claim, write_outcome.revision, sent_at)
                if not self._restore_guard.is_settled():
                    self.release(claim)
                    return ClaimUnavailable(_RESTORED_DETAIL)
                self._recent_claims.record(key, new_claim, new_claim)
                return claim
            if isinstance(write_outcome, RowConflict):
                return _resolve_conflict(key, new_claim, write_outcome, started_at)
            is_undecided = is_undecided or isinstance(write_outcome, Undecided)
            if not is_undecided or self._clock.monotonic() >= give_up_at:
                break
            self._clock.sleep(_INITIAL_POLL_INTERVAL_S)
        if is_undecided:
            # The insert may still take effect, and its row would block the key although
            # no call is made.
            self._spawn_row_update(Claim(key, new_claim, 0, started_at), None)
        return ClaimUnavailable(write_outcome.detail)

    def _is_abandoned(self, stored: StoredClaim) -> bool:
        now_ms = int(self._clock.now().timestamp() * 1000)
        return now_ms > stored.deadline_ms + int(self._timeouts.outcome_grace_s * 1000)

    def _spawn_row_update(
        self, claim: Claim, finished_claim: StoredClaim | None
    ) -> None:
        self._recent_claims.record(claim.key, claim.stored, finished_claim)
        self._spawn(self._update_row, claim, finished_claim)

    def _update_row(self, claim: Claim, finished_claim: StoredClaim | None) -> None:
        """Replace the claim's row with `finished_claim`, or delete it if None."""
        revision = claim.revision
        row_key = claim.key.row_key
        if finished_claim is not None:
            finished_claim = self._with_body_apart(finished_claim)
        writes = [
            Write(
                row_key, None if finished_claim is None else encode_json(finished_claim)
            )
        ]
        if finished_claim is None:
            writes.append(
                Write(age_index_key(row_key, claim.stored.claimed_at_ms), None)
            )
        for _ in range(_MAX_FINISH_ATTEMPTS):
            if revision:
                write_outcome = self._batcher.write(
                    Condition(row_key, revision), *writes
                )
                if isinstance(write_outcome, Committed):
                    return
                if isinstance(write_outcome, RowConflict):
                    if revision_era(revision) == (self._table.era.value or 0):
                        return
                    # The table was restored; the row is being written again.
                    revision = 0
            else:
                revision = self._find_own_revision(claim.key, claim.stored.attempt_id)
                if revision:
                    continue
            self._clock.sleep(_FINISH_RETRY_INTERVAL_S)
        self._metrics.count("claims_without_end_total")

    def _with_body_apart(self, finished_claim: StoredClaim) -> StoredClaim:
        """Move a large response body to the object store; return the row to write."""
        if len(finished_claim.body) <= _MAX_STORED_BODY_BYTES:
            return finished_claim
        for _ in range(_MAX_FINISH_ATTEMPTS):
            if isinstance(
                self._objects.put(finished_claim.object_key, finished_claim.body),
                Committed,
            ):
                return msgspec.structs.replace(
                    finished_claim, body=b"", is_body_apart=True
                )
            self._clock.sleep(_FINISH_RETRY_INTERVAL_S)
        detail = (
            f"done; its answer of {len(finished_claim.body)} bytes could not be stored"
        )
        return msgspec.structs.replace(
            finished_claim,
            body=b"",
            state=ClaimState.UNKNOWN,
            reason=Reason.STORE_UNAVAILABLE,
            detail=detail,
        )

    def _load_outcome(self, stored: StoredClaim) -> Outcome:
        if stored.state is ClaimState.DONE:
            body: bytes | None | Unavailable = stored.body
            if stored.is_body_apart:
                body = self._objects.get(stored.object_key)
            if isinstance(body, bytes):
                return Done(body, is_replayed=True)
            detail = "done; its answer cannot be read from the object store now"
            return Unknown(Reason.STORE_UNAVAILABLE, detail)
        reason = stored.reason or Reason.IN_PROGRESS
        if stored.state is ClaimState.FAILED:
            return Failed(reason, stored.detail)
        return Unknown(reason, stored.detail)

    def _rewrite_recent_claims(self) -> None:
        """Write the last state of recent claims to a table that was restored."""
        for recent in self._recent_claims.list_all():
            for _ in range(_MAX_FINISH_ATTEMPTS):
                if self._rewrite(recent):
                    break
                self._clock.sleep(_FINISH_RETRY_INTERVAL_S)
            else:
                self._metrics.count("claims_without_end_total")

    def _rewrite(self, recent: RecentClaim) -> bool:
        """Write one claim's last state; return whether no further attempt is needed."""
        row_key = recent.key.row_key
        revision = self._find_own_revision(recent.key, recent.attempt_id)
        if recent.stored is None:
            if not revision:
                return True
            writes = [Write(row_key, None)]
        else:
            stored = self._with_body_apart(recent.stored)
            writes = [
                Write(row_key, encode_json(stored)),
                Write(age_index_key(row_key, recent.claimed_at_ms), b""),
            ]
        outcome = self._batcher.write(Condition(row_key, revision), *writes)
        if isinstance(outcome, RowConflict) and not revision:
            current = decode_json(outcome.row.value, StoredClaim)
            is_own = (
                isinstance(current, StoredClaim)
                and current.attempt_id == recent.attempt_id
            )
            if not is_own:
                self._metrics.count("claims_lost_total")
            return not is_own
        return isinstance(outcome, Committed)

    def _find_own_revision(self, key: ClaimKey, attempt_id: str) -> int:
        """Return the revision of an attempt's row, or 0 if the row is not found."""
        rows = self._table.read([key.row_key])
        if isinstance(rows, Unavailable) or not rows.rows:
            return 0
        stored = decode_json(rows.rows[0].value, StoredClaim)
        is_own = isinstance(stored, StoredClaim) and stored.attempt_id == attempt_id
        return rows.rows[0].revision if is_own else 0


def _resolve_conflict(
    key: ClaimKey, own_claim: StoredClaim, conflict: RowConflict, started_at: float
) -> Claim | ClaimTaken | ClaimReused | ClaimUnavailable:
    stored_claim = decode_json(conflict.row.value, StoredClaim)
    if not isinstance(stored_claim, StoredClaim):
        return ClaimUnavailable(f"{key.row_key}: {stored_claim.detail}")
    if stored_claim.attempt_id == own_claim.attempt_id:
        return Claim(key, stored_claim, conflict.row.revision, started_at)
    if stored_claim.body_sha256 != own_claim.body_sha256:
        return ClaimReused()
    return ClaimTaken(stored_claim)


def _decode_row(rows: Rows) -> StoredClaim | None:
    if not rows.rows:
        return None
    stored = decode_json(rows.rows[0].value, StoredClaim)
    return stored if isinstance(stored, StoredClaim) else None


def _build_key_released_outcome() -> NotRun:
    detail = "the attempt that held the key did not run; the key can be used again"
    return NotRun(Reason.ENDPOINT_FAILED, detail, retry_after_s=0.1)


def _with_outcome(stored: StoredClaim, outcome: Done | Failed | Unknown) -> StoredClaim:
    """Return the claim's row with `outcome` stored in it."""
    state, reason, detail, body = ClaimState.DONE, None, "", b""
    if isinstance(outcome, Done):
        body = outcome.body
    else:
        is_failed = isinstance(outcome, Failed)
        state = ClaimState.FAILED if is_failed else ClaimState.UNKNOWN
        reason, detail = outcome.reason, outcome.detail
    return StoredClaim(
        stored.attempt_id,
        stored.body_sha256,
        stored.vm,
        stored.claimed_at_ms,
        stored.deadline_ms,
        state,
        reason,
        detail,
        body,
    )
