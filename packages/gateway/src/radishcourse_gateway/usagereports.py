"""Reports to the platform how many requests ran for each organisation.

Each node counts the requests of its own callers and pushes its counts to the
holder of the duty and to one deputy. The holder closes a window by recording
its counts in the store, and then sends what is recorded.
"""

import anyio
import msgspec

from radishcourse_gateway import duties
from radishcourse_gateway import dutyrows
from radishcourse_gateway import interfaces
from radishcourse_gateway import usagepush
from radishcourse_model import decoding
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import usagewindows
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

TABLE = 'usage'
# Row with the first window whose report has not been accepted.
ACCEPTED_KEY = 'accepted'
# Rows of windows are kept for longer than the counts, so that a window whose
# row is gone is never closed again.
KEPT_ROWS_FACTOR = 2
# Rows removed in one transaction.
MAX_REMOVALS = 8
# Pauses after a failed report, doubled with each one.
MIN_RETRY_S = 0.25
MAX_RETRY_S = 4.0


class _Accepted(msgspec.Struct):
    # The first window that is not accepted, and the first whose row is kept.
    below: int
    rows_from: int


class _Window(msgspec.Struct):
    counts: dict[str, int]


class _Retry:
    """When a report is sent again.

    Attributes:
      at: Earliest time of the next call.
      pause_s: Pause after the next failure.
    """

    def __init__(self):
        self.at = 0.0
        self.pause_s = MIN_RETRY_S


@duties.register(duties.Duty.USAGE)
class UsageReports(duties.BackgroundHandler):
    """The usage reports of the fleet, and this node's part in them.

    Args:
      gateway: Provides the settings, store, second interface and peers.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.environment.clock
        self._store = gateway.store
        self._peers = gateway.peers
        self._bounds = gateway.current_settings.value.bounds
        self._own = usagewindows.Source(
            gateway.current_settings.value.node, gateway.peers.incarnation
        )
        self._tallies = usagewindows.Tallies(self._own)
        self._reports = usagewindows.Reports()
        self._push = usagepush.Push(
            gateway, self._own, self._tallies, self._reports
        )
        self._token: int | None = None
        self._rows_from: int | None = None
        self._retries: dict[int, _Retry] = {}
        gateway.peers.server.register(
            messages.MessageKind.PUSH_USAGE, self._answer_push
        )

    @property
    def _length_s(self) -> float:
        return self._bounds.usage_window_s

    @property
    def _kept(self) -> int:
        return usagewindows.kept_windows(self._length_s)

    def _current(self) -> int:
        """Returns the current window."""
        true_time = self._gateway.duties.true_time()
        return usagewindows.window_at(true_time, self._length_s)

    def note_run(self, request, plan) -> None:
        """Counts a request once, when an upstream has begun to run it.

        Args:
          request: The request; those without an organisation are not counted.
          plan: Its progress.
        """
        if plan.metered or request.organisation is None:
            return
        plan.metered = True
        self._tallies.note(self._current(), request.organisation.name)

    async def run(self) -> None:
        """Pushes counts to the holder and its deputy until cancelled."""
        while True:
            self._tidy()
            await self._push_due()
            await anyio.sleep(usagepush.TICK_S)

    def _tidy(self) -> None:
        """Completes windows that have ended, and drops old ones."""
        current = self._current()
        self._tallies.complete(current)
        first_kept = current - self._kept
        self._tallies.forget(max(first_kept, self._reports.closed_below))
        self._reports.forget(first_kept)
        self._push.relayed &= set(self._tallies.sources)

    async def _push_due(self, last: bool = False) -> None:
        keeper = self._gateway.duties.keeper(duties.Duty.USAGE)
        await self._push.push_due(keeper.holder_peer, keeper.candidates, last)

    async def finish(self) -> None:
        """Pushes the last counts, as no more requests run."""
        self._tallies.complete(self._current() + 2)
        await self._push_due(last=True)

    async def _answer_push(
        self, sender, request: ttypes.PushUsage
    ) -> ttypes.PushUsageReply:
        """Merges the counts of another node."""
        current = self._current()
        for item in request.nodes or ():
            source = usagewindows.Source(item.node, item.incarnation or '')
            self._tallies.merge(
                source,
                item.complete_below or 0,
                dutyrows.decode_counts(item.windows),
                current,
            )
            if request.relay and item.node == sender.node:
                self._push.relayed.add(source)
        for window, counts in dutyrows.decode_counts(request.fixed).items():
            if current - self._kept <= window <= current:
                known = usagewindows.valid_counts(counts)
                self._reports.recorded.setdefault(window, known)
                self._reports.note_closed_below(window + 1)
        self._reports.note_closed_below(
            min(request.closed_below or 0, current + 1)
        )
        return ttypes.PushUsageReply(self._reports.closed_below)

    async def step(self, term: duties.Term) -> None:
        """Closes and reports the windows that are due."""
        if term.token != self._token:
            await self._begin(term)
        try:
            await self._close_due(term)
        finally:
            await self._send_due(term)

    async def _begin(self, term: duties.Term) -> None:
        """Begins a term with the windows that are not known to be accepted."""
        row = await self._store.read_row(TABLE, ACCEPTED_KEY)
        try:
            accepted = msgspec.json.decode(row.value or b'', type=_Accepted)
        except decoding.ERRORS:
            accepted = None
        current = self._current()
        first = current - self._kept + 1
        if accepted is None:
            # Nothing was ever reported: begin where this fleet began.
            known = self._tallies.first_window
            first = max(first, current if known is None else known)
        self._reports.start(accepted and accepted.below, first, current)
        self._rows_from = accepted and accepted.rows_from
        self._retries.clear()
        self._token = term.token

    async def _close_due(self, term: duties.Term) -> None:
        true_time = self._gateway.duties.true_time()
        current = self._current()
        self._tallies.complete(current)
        while self._reports.next_window < current:
            window = self._reports.next_window
            if window < current - self._kept:
                self._log_missed(window, 'too old')
            elif not self._is_due(window, true_time):
                return
            elif not self._reports.was_lost(window):
                await self._record(term, window)
            elif not await self._recover(window):
                # It may have been sent with counts that are lost.
                self._log_missed(window, 'record lost')
            self._reports.next_window = window + 1
            self._reports.note_closed_below(window + 1)

    def _is_due(self, window: int, true_time: float) -> bool:
        live = [
            usagewindows.Source(peer.node, peer.incarnation)
            for peer in self._peers.alive
        ]
        return usagewindows.is_due(
            window,
            self._length_s,
            self._bounds.usage_late_s,
            true_time,
            self._tallies.is_settled(window, live),
        )

    async def _record(self, term: duties.Term, window: int) -> None:
        """Records a window's counts in the store, unless they are there.

        Raises:
          PlatformError: The store did not respond; a later step tries again.
        """
        # The store may have lost counts that were recorded, and sent.
        counts = self._reports.recorded.get(window)
        if counts is None:
            counts = self._tallies.total(window)
        key = interfaces.RowKey(TABLE, str(window))
        first_row = window if self._rows_from is None else self._rows_from
        removed = range(
            first_row,
            min(
                first_row + MAX_REMOVALS,
                window - KEPT_ROWS_FACTOR * self._kept,
            ),
        )
        accepted = _Accepted(
            self._reports.accepted_below(),
            max(first_row, removed.stop),
        )
        term.check()
        try:
            await self._store.write_rows(
                {key: 0},
                {
                    key: msgspec.json.encode(_Window(counts)),
                    interfaces.RowKey(TABLE, ACCEPTED_KEY): msgspec.json.encode(
                        accepted
                    ),
                },
                [interfaces.RowKey(TABLE, str(item)) for item in removed],
            )
        except platform_errors.Conflict:
            # Recorded by an earlier holder, or by a write whose response was
            # lost.
            if not await self._recover(window):
                raise platform_errors.UnexpectedResponse(
                    f'window {window}: conflict without a row'
                ) from None
        else:
            self._rows_from = accepted.rows_from
            self._reports.record(window, counts)
            self._log_closed(window, counts)
        await self._push.push_fixed()

    async def _recover(self, window: int) -> bool:
        """Takes the counts of a window from the store, if it has them."""
        row = await self._store.read_row(TABLE, str(window))
        try:
            recorded = msgspec.json.decode(row.value or b'', type=_Window)
        except decoding.ERRORS:
            return False
        self._reports.record(window, recorded.counts)
        self._log_closed(window, recorded.counts, recovered=True)
        return True

    def _log_closed(self, window: int, counts, recovered=False) -> None:
        events.log(
            events.Event.USAGE_CLOSED,
            window=window,
            organisations=len(counts),
            requests=sum(counts.values()),
            sources=len(self._tallies.sources),
            seconds_after_end=self._seconds_after(window),
            recovered=recovered,
        )

    def _log_missed(self, window: int, reason: str) -> None:
        events.log(
            events.Event.USAGE_MISSED,
            window=window,
            reason=reason,
            seconds_after_end=self._seconds_after(window),
        )

    def _seconds_after(self, window: int) -> float:
        end = (window + 1) * self._length_s
        return round(self._gateway.duties.true_time() - end, 2)

    async def _send_due(self, term: duties.Term) -> None:
        """Sends the reports of closed windows that are not accepted yet."""
        control_api: interfaces.ControlApi = self._gateway.control_api
        for window in self._reports.unsent():
            retry = self._retries.setdefault(window, _Retry())
            if self._clock.now() < retry.at:
                continue
            counts = self._reports.recorded[window]
            try:
                await term.call(control_api.report_usage, window, counts)
            except platform_errors.PlatformError:
                # Logged by the term.
                retry.at = self._clock.now() + retry.pause_s
                retry.pause_s = min(MAX_RETRY_S, 2 * retry.pause_s)
                continue
            self._reports.accepted.add(window)
            del self._retries[window]
            events.log(
                events.Event.USAGE_REPORTED,
                window=window,
                token=term.token,
                seconds_after_end=self._seconds_after(window),
            )
