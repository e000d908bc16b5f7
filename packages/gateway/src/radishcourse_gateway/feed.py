"""Keeps the replica up to date by long polls of the platform's store.

Only a few nodes, the watchers, poll the store all the time; the others get
rows from peers. A node whose state has not been confirmed for a while polls
the store itself, so failed watchers do not make other nodes stale.
"""

import typing

import anyio

from radishcourse_gateway import interfaces
from radishcourse_gateway import records
from radishcourse_gateway import view as views
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import position as positions

# Wait of one long poll. A dead connection looks like a store without changes,
# so the poll is short: with its timeout it stays below the 3 s after which a VM
# counts as reachable again when a partition ends.
LONG_POLL_S = 1.5
# A node that is not a watcher polls the store when its state has not been
# confirmed for this long. Covers one poll of a watcher and the rounds in which
# the result reaches other nodes.
MAX_CONFIRMATION_TIMEOUT_S = 2.8
MIN_CONFIRMATION_TIMEOUT_S = 0.5
# Part of the time in which a change must be in force. It covers the poll, and
# changes that lost watchers had read and not yet passed on.
PROPAGATION_MARGIN_S = 0.7
CHECK_INTERVAL_S = 0.1
POLL_PAUSE_S = 0.2
RETRY_S = 0.25
MAX_RETRY_S = 1.0


class Feed:
    """Keeps one table of the replica up to date.

    Args:
      clock: Source of time.
      store: The platform's store.
      replica: Stores the rows.
      view: Receives new rows.
      table: The table to follow.
      watch_phase: Returns this node's share of the watchers' cycle, None if it
        is no watcher; see `peers.Peers`.
      propagation_s: Returns the seconds within which a change must be in force
        at all nodes.
    """

    def __init__(
        self,
        clock,
        store: interfaces.Store,
        replica: records.Replica,
        view: views.View,
        table: records.Table,
        watch_phase,
        propagation_s: typing.Callable[[], float],
    ):
        self._clock = clock
        self._store = store
        self._replica = replica
        self._view = view
        self._table = table
        self._watch_phase = watch_phase
        self._propagation_s = propagation_s
        # Whether the last poll returned a change, as it then did at the same
        # moment at all watchers.
        self._synchronous = True
        self._listed = False
        self._store_reachable: bool | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if not self._should_poll():
                await anyio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                await self._poll()
            except platform_errors.PlatformError as error:
                await self._back_off(error)

    def _should_poll(self) -> bool:
        if self._replica.position(self._table).is_start:
            return True
        confirmed_at = self._replica.confirmed_at(self._table)
        if confirmed_at is None:
            return True
        if self._watch_phase(self._table) is not None:
            return True
        age_s = self._clock.now() - confirmed_at
        return age_s > self._confirmation_timeout_s()

    def _confirmation_timeout_s(self) -> float:
        """Returns the age at which this node polls the store itself.

        Changes must be in force in time also where all watchers have just been
        lost, before other nodes have taken their place.
        """
        limit_s = self._propagation_s() - PROPAGATION_MARGIN_S
        return max(
            MIN_CONFIRMATION_TIMEOUT_S, min(MAX_CONFIRMATION_TIMEOUT_S, limit_s)
        )

    def _wait_s(self) -> float:
        """Returns the wait of the next long poll.

        A change ends the polls of all watchers at once. Their next ones end one
        after the other, so that confirmations keep coming in between.
        """
        phase = self._watch_phase(self._table)
        if not self._synchronous or phase is None:
            return LONG_POLL_S
        return LONG_POLL_S * phase

    async def _poll(self) -> None:
        position = self._replica.position(self._table)
        asked_at = self._clock.now()
        wait_s = self._wait_s()
        if position.is_start:
            changes = await self._store.read(self._table)
        else:
            changes = await self._follow(position, wait_s)
        self._record_reachability(True)
        self._synchronous = bool(changes.records)
        self._apply(changes, asked_at, wait_s)
        # Changes come in groups; a short pause lets the next poll return the
        # rest of one. It also limits polls of a store that has no rows yet.
        await anyio.sleep(POLL_PAUSE_S)

    async def _follow(
        self, position: positions.Position, wait_s: float = LONG_POLL_S
    ) -> records.Changes:
        """Returns the changes after a position, or the whole table.

        The table is read anew if the store no longer has the history, or was
        restored since: it may have given the same version to another write.
        """
        try:
            changes = await self._store.follow(self._table, position, wait_s)
        except platform_errors.HistoryGone:
            return await self._store.read(self._table)
        if self._replica.can_apply(self._table, changes):
            return changes
        return await self._store.read(self._table)

    def _apply(
        self,
        changes: records.Changes,
        asked_at: float,
        wait_s: float = LONG_POLL_S,
    ) -> None:
        known = self._replica.position(self._table)
        new_records = self._replica.apply(self._table, changes)
        if changes.position.is_of_later_era(known):
            events.log(
                events.Event.STORE_RESTORED,
                table=self._table.value,
                known=known,
                position=changes.position,
                rows=len(changes.records),
            )
        # A store without changes responds no earlier than at the end of its
        # wait, and its response confirms the state at that time.
        waited = min(wait_s, self._clock.now() - asked_at)
        self._replica.confirm(self._table, changes.position, asked_at + waited)
        self._view.apply(new_records, 'store')

    async def _back_off(self, error: Exception) -> None:
        self._record_reachability(False, error)
        delay = min(MAX_RETRY_S, RETRY_S * 2 ** min(8, self._failures))
        self._failures += 1
        await anyio.sleep(delay)

    def _record_reachability(
        self, reachable: bool, error: object = None
    ) -> None:
        self._replica.note_poll(self._table, reachable)
        if reachable:
            self._failures = 0
        if reachable is self._store_reachable:
            return
        if reachable and self._store_reachable is not None:
            self._view.note_store_recovered()
        self._store_reachable = reachable
        confirmed_at = self._replica.confirmed_at(self._table)
        age = None
        if confirmed_at is not None:
            age = round(self._clock.now() - confirmed_at, 3)
        events.log(
            events.Event.STORE_CHANGED,
            table=self._table.value,
            reached=reachable,
            error=str(error) if error else None,
            version=self._replica.position(self._table).version,
            era=self._replica.position(self._table).era,
            confirmed_age_s=age,
        )
