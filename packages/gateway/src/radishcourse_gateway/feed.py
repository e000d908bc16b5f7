"""Follows the platform's tables, from the store or through peers.

Few nodes follow the store; the others take rows from them. A node whose
state was not confirmed for a while asks the store itself, so it does not
matter whether the chosen nodes work.
"""

import anyio

from radishcourse_gateway import ports
from radishcourse_gateway import records
from radishcourse_gateway import view as views
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors

# A silent connection looks like a quiet store, so a call ends after this
# time; with its time limit it stays below the three seconds in which a VM
# counts as reached again after a partition.
WAIT_S = 1.5
# A state that was not confirmed for this long is asked for at the store.
# It covers a watcher's call and the rounds in which others hear of it.
CONFIRMED_S = 2.8
IDLE_S = 0.1
PAUSE_S = 0.2
RETRY_S = 0.25
MOST_RETRY_S = 1.0


class Feed:
    """Keeps one table of the replica up to date.

    Args:
      clock: Source of time.
      store: The platform's store.
      replica: Takes the rows.
      view: Told of rows that are new.
      table: The table to follow.
      is_watcher: Tells whether this node is one that follows the store.
    """

    def __init__(
        self,
        clock,
        store: ports.Store,
        replica: records.Replica,
        view: views.View,
        table: records.Table,
        is_watcher,
    ):
        self._clock = clock
        self._store = store
        self._replica = replica
        self._view = view
        self._table = table
        self._is_watcher = is_watcher
        self._listed = False
        self._reached: bool | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if not self._needed():
                await anyio.sleep(IDLE_S)
                continue
            try:
                await self._step()
            except platform_errors.PlatformError as error:
                await self._note_failure(error)

    def _needed(self) -> bool:
        if not self._replica.version(self._table):
            return True
        confirmed_at = self._replica.confirmed_at(self._table)
        if confirmed_at is None:
            return True
        if self._is_watcher(self._table):
            return True
        return self._clock.now() - confirmed_at > CONFIRMED_S

    async def _step(self) -> None:
        version = self._replica.version(self._table)
        asked_at = self._clock.now()
        if not version:
            changes = await self._store.read(self._table)
        else:
            try:
                changes = await self._store.follow(self._table, version, WAIT_S)
            except platform_errors.HistoryGone:
                changes = await self._store.read(self._table)
        self._note_reached(True)
        self._take(changes, asked_at)
        # Changes come in groups; a short pause takes the rest of one along.
        # A store that has nothing yet is not asked without a pause.
        await anyio.sleep(PAUSE_S)

    def _take(self, changes: records.Changes, asked_at: float) -> None:
        taken = self._replica.apply(self._table, changes)
        # The store answered at the end of its wait at the earliest.
        waited = min(WAIT_S, self._clock.now() - asked_at)
        self._replica.confirm(self._table, changes.version, asked_at + waited)
        self._view.apply(taken, 'store')

    async def _note_failure(self, error: Exception) -> None:
        self._note_reached(False, error)
        delay = min(MOST_RETRY_S, RETRY_S * 2 ** min(8, self._failures))
        self._failures += 1
        await anyio.sleep(delay)

    def _note_reached(self, reached: bool, error: object = None) -> None:
        if reached:
            self._failures = 0
        if reached is self._reached:
            return
        if reached and self._reached is not None:
            self._view.note_store_recovered()
        self._reached = reached
        confirmed_at = self._replica.confirmed_at(self._table)
        age = None
        if confirmed_at is not None:
            age = round(self._clock.now() - confirmed_at, 3)
        events.log(
            events.Event.STORE_CHANGED,
            table=self._table.value,
            reached=reached,
            error=str(error) if error else None,
            version=self._replica.version(self._table),
            confirmed_age_s=age,
        )
