"""A node's view: configuration, ordered roll-outs, zones and upstreams.

A view is built from the rows that are new in the node's replica of the
platform's tables. A configuration row that can't be decoded leaves the
previous one in force; an upstream whose row can't be decoded counts as
removed.
"""

import dataclasses
import typing

from radishcourse_gateway import directory as directories
from radishcourse_gateway import errors
from radishcourse_gateway import interfaces
from radishcourse_gateway import records
from radishcourse_gateway import upstreams
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import canary
from radishcourse_policy import position as positions

# Entries that expired during an outage of the store are renewed within about
# two seconds of its recovery if the upstream is alive. For this long after the
# recovery, upstreams whose entries disappear are still used where no other is
# left. It must stay below two seconds, after which an upstream that was removed
# must not get new requests.
EXPIRED_ENTRY_GRACE_S = 1.8
# Requests take no longer than this after their upstream's entry disappears.
FORMER_SERVICE_S = 60.0


@dataclasses.dataclass
class ListedUpstream:
    """An upstream's entry and this node's own state about it.

    Attributes:
      upstream: The entry.
      cold_until: Time on this node's clock at which it becomes warm.
      gone_at: Time on this node's clock at which the entry disappeared, None
        while it is listed.
      leaving: Whether it has said in an answer that it is about to stop; its
        entry may say so later, or never.
      paused_until: Time on this node's clock until which it wants no requests
        from this node.
    """

    upstream: upstreams.Upstream
    cold_until: float = 0.0
    gone_at: float | None = None
    leaving: bool = False
    paused_until: float = 0.0

    @property
    def incarnation(self) -> tuple:
        """Identifies one run of the upstream at one address."""
        entry = self.upstream
        return (entry.upstream_id, entry.address, entry.started_ms)


@dataclasses.dataclass(frozen=True)
class OrderRow:
    """An operator's order of a roll-out.

    Attributes:
      order: The order.
      identity: Where in the store's history it was written first.
      written_at: Where it was written last: an order that the store has lost is
        written again and stays the same.
    """

    order: interfaces.RolloutOrder
    identity: positions.Position
    written_at: positions.Position


class View:
    """The current state of the followed tables, decoded.

    Attributes:
      directory: The configuration in force, None until there is one.
      disabled_zones: Availability zones that get no new requests.
      orders: Ordered roll-outs by service.
      upstreams: Upstreams by id, including those whose entry disappeared.
      unreadable_rows: Number of rows that could not be used.
      on_replaced: Called with an upstream when an entry of another run has its
        id or its address.
    """

    def __init__(self, clock, decoder: interfaces.Decoder):
        self._clock = clock
        self._decoder = decoder
        self._started_at = clock.now()
        self._zones: dict[str, ids.ZoneId] = {}
        self.directory: directories.Directory | None = None
        self._former_services: dict[ids.ServiceId, directories.Service] = {}
        self.disabled_zones: set[ids.ZoneId] = set()
        self.orders: dict[ids.ServiceId, OrderRow] = {}
        self.upstreams: dict[ids.UpstreamId, ListedUpstream] = {}
        self._store_recovered_at: float | None = None
        self.unreadable_rows = 0
        self._removed_orders: dict[ids.ServiceId, OrderRow] = {}
        self._by_address: dict[str, ids.UpstreamId] = {}
        self.on_replaced: typing.Callable[[ListedUpstream], None] = _ignore

    def apply(self, new_records: list[records.Record], source: str) -> None:
        """Applies rows that are new in the replica.

        Args:
          new_records: The rows.
          source: Where they came from, for the log: the store or a peer.
        """
        for record in new_records:
            try:
                self._apply_record(record, source)
            except Exception as error:
                # The other rows hold, whatever one of them brings about.
                self.unreadable_rows += 1
                events.log(
                    events.Event.RECORD_UNREADABLE,
                    table=record.table.value,
                    key=record.key,
                    version=record.position.version,
                    error=str(error)
                    if isinstance(error, errors.Unreadable)
                    else repr(error),
                )

    def _apply_record(self, record: records.Record, source: str) -> None:
        if record.table is records.Table.UPSTREAMS:
            self._apply_upstream(record)
            return
        decoded = None
        if record.value is not None:
            decoded = self._decoder.decode(record)
        if isinstance(decoded, directories.Directory):
            self._apply_directory(decoded, source)
        elif isinstance(decoded, interfaces.RolloutOrder):
            self._apply_order(decoded, record.position, source)
        else:
            self._apply_other(record)

    def _apply_order(
        self,
        order: interfaces.RolloutOrder,
        position: positions.Position,
        source: str,
    ) -> None:
        known = self.orders.get(order.service) or self._removed_orders.get(
            order.service
        )
        identity = position
        if (
            known is not None
            and known.order == order
            and position.is_of_later_era(known.written_at)
        ):
            identity = known.identity
        self.orders[order.service] = OrderRow(order, identity, position)
        events.log(
            events.Event.ROLLOUT_ORDERED,
            service=order.service,
            version=order.to_version,
            within_s=order.within_s,
            order=identity.version,
            era=identity.era,
            written_at=position,
            source=source,
        )

    def identify_order(
        self, service: ids.ServiceId, identity: positions.Position
    ) -> None:
        """Records where an order was written first, as others know it."""
        row = self.orders[service]
        self.orders[service] = dataclasses.replace(row, identity=identity)

    def _apply_directory(self, directory, source: str) -> None:
        if self.directory and directory.version <= self.directory.version:
            return
        if self.directory is not None:
            self._keep_former_services(self.directory.services, directory)
        self.directory = directory
        events.log(
            events.Event.REVISION_IN_FORCE,
            revision=directory.version,
            routes=len(directory.routes),
            source=source,
        )

    def _keep_former_services(
        self,
        before: dict[ids.ServiceId, directories.Service],
        directory: directories.Directory,
    ) -> None:
        """Keeps services that a new configuration does not hold.

        They are forgotten some time after their last upstream has gone.
        """
        gone_after = self._clock.now() - FORMER_SERVICE_S
        listed = {
            item.upstream.service
            for item in self.upstreams.values()
            if item.gone_at is None or item.gone_at > gone_after
        }
        self._former_services = {
            name: service
            for name, service in {**self._former_services, **before}.items()
            if name in listed and name not in directory.services
        }

    def service(self, name: ids.ServiceId) -> directories.Service | None:
        """Returns a service, None if it is not known.

        Also one that the configuration no longer holds, as requests that began
        before are still in progress there.
        """
        if self.directory is None:
            return None
        known = self.directory.services.get(name)
        return known or self._former_services.get(name)

    def _apply_other(self, record: records.Record) -> None:
        kind, name = self._decoder.identify(record)
        if kind == 'rollout' and record.value is None:
            row = self.orders.pop(ids.ServiceId(name), None)
            if row is not None:
                self._removed_orders[row.order.service] = row
        if kind != 'zone':
            return
        zone = ids.ZoneId(name)
        was_disabled = zone in self.disabled_zones
        if record.value is None:
            self.disabled_zones.discard(zone)
            if was_disabled:
                self._mark_zone_cold(zone)
        else:
            self.disabled_zones.add(zone)
        events.log(
            events.Event.ZONE_CHANGED,
            zone=zone,
            out=zone in self.disabled_zones,
            version=record.position.version,
        )

    def _mark_zone_cold(self, zone: ids.ZoneId) -> None:
        """Treats the upstreams of a zone as cold when it is enabled again."""
        now = self._clock.now()
        for listed in self.upstreams.values():
            if listed.upstream.zone == zone:
                cold_s = self._cold_start_s(listed.upstream.service)
                listed.cold_until = max(listed.cold_until, now + cold_s)

    def _apply_upstream(self, record: records.Record) -> None:
        upstream_id = ids.UpstreamId(record.key)
        known = self.upstreams.get(upstream_id)
        if record.value is None:
            if known is not None and known.gone_at is None:
                known.gone_at = self._clock.now()
                self._log_upstream(known, 'gone')
            return
        try:
            entry = self._decoder.decode(record)
        except Exception:
            # It names no upstream, whatever the entry before did.
            if known is not None and known.gone_at is None:
                known.gone_at = self._clock.now()
            raise
        if entry is None:
            return
        listed = self._make_listed(known, entry)
        replaced = self._find_replaced(listed)
        self.upstreams[upstream_id] = listed
        self._by_address[entry.address] = upstream_id
        for item in replaced:
            self.on_replaced(item)
        self._log_upstream(listed, entry.state.value)

    def _find_replaced(self, listed: ListedUpstream) -> list[ListedUpstream]:
        """Returns the earlier runs with the id or the address of one."""
        entry = listed.upstream
        names = {entry.upstream_id, self._by_address.get(entry.address)}
        known = [self.upstreams[name] for name in names & self.upstreams.keys()]
        return [
            item
            for item in known
            if item.incarnation != listed.incarnation
            and item.upstream.started_ms <= entry.started_ms
        ]

    def _make_listed(
        self, known: ListedUpstream | None, entry
    ) -> ListedUpstream:
        now = self._clock.now()
        if known is not None and known.upstream.started_ms == entry.started_ms:
            cold_until = known.cold_until
        elif self.directory and now - self._started_at > 1.0:
            # An upstream that this node did not find at its own start has
            # just started.
            cold_until = now + self._cold_start_s(entry.service)
        else:
            cold_until = 0.0
        if entry.cold_s > 0:
            cold_until = max(cold_until, now + entry.cold_s)
        listed = ListedUpstream(entry, cold_until)
        if known is not None and known.incarnation == listed.incarnation:
            # What it has said itself holds for as long as it runs.
            listed.leaving = known.leaving
            listed.paused_until = known.paused_until
        return listed

    def _cold_start_s(self, service: ids.ServiceId) -> float:
        known = self.service(service)
        return known.cold_start_s if known else 0.0

    def _log_upstream(self, listed: ListedUpstream, state: str) -> None:
        entry = listed.upstream
        events.log(
            events.Event.UPSTREAM_CHANGED,
            upstream=entry.upstream_id,
            state=state,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            version=entry.version,
            cold_s=round(max(0.0, listed.cold_until - self._clock.now()), 3),
        )

    def usable(self, service: ids.ServiceId) -> list[ListedUpstream]:
        """Returns the upstreams of a service that may get new requests."""
        ready = [
            listed
            for listed in self.upstreams.values()
            if listed.upstream.service == service
            and listed.upstream.state is upstreams.ListedState.READY
            and not listed.leaving
            and listed.upstream.zone not in self.disabled_zones
        ]
        present = [listed for listed in ready if listed.gone_at is None]
        return present or [
            item for item in ready if self.may_have_expired(item)
        ]

    def note_leaving(self, listed: ListedUpstream) -> None:
        """Records that an upstream has said that it is about to stop."""
        current = self._current(listed)
        if current is not None and not current.leaving:
            current.leaving = True
            self._log_upstream(current, 'leaving')

    def pause(self, listed: ListedUpstream, seconds: float) -> None:
        """Records that an upstream wants no requests of this node for now."""
        current = self._current(listed)
        if current is not None:
            until = self._clock.now() + seconds
            current.paused_until = max(current.paused_until, until)

    def is_leaving(self, listed: ListedUpstream) -> bool:
        """Tells whether an upstream is leaving, by its entry or its answers."""
        current = self._current(listed)
        return current is None or (
            current.leaving
            or current.upstream.state is upstreams.ListedState.DRAINING
        )

    def _current(self, listed: ListedUpstream) -> ListedUpstream | None:
        """Returns the state of the same run, None if it is not listed."""
        known = self.upstreams.get(listed.upstream.upstream_id)
        if known is None or known.incarnation != listed.incarnation:
            return None
        return known

    def note_store_recovered(self) -> None:
        """Starts the grace period for entries that expired in an outage."""
        self._store_recovered_at = self._clock.now()

    def may_have_expired(self, listed: ListedUpstream) -> bool:
        """Tells whether an entry may have expired in an outage of the store."""
        recovered_at = self._store_recovered_at
        if (
            recovered_at is None
            or self._clock.now() - recovered_at > EXPIRED_ENTRY_GRACE_S
        ):
            return False
        return listed.gone_at >= recovered_at

    def is_listed(
        self, service: ids.ServiceId, version: ids.VersionId | None
    ) -> bool:
        """Tells whether an upstream of a version is listed, usable or not."""
        return any(
            listed.gone_at is None
            and listed.upstream.service == service
            and listed.upstream.version == version
            for listed in self.upstreams.values()
        )

    def versions(self, service: ids.ServiceId) -> dict[ids.VersionId, int]:
        """Returns the number of usable upstreams of each version."""
        counts: dict[ids.VersionId, int] = {}
        for listed in self.usable(service):
            version = listed.upstream.version
            counts[version] = counts.get(version, 0) + 1
        return counts


def _ignore(listed: ListedUpstream) -> None:
    del listed


def arm_of(
    order: interfaces.RolloutOrder, version: ids.VersionId
) -> canary.Arm:
    """Returns the arm of a roll-out to which a version belongs."""
    if version == order.to_version:
        return canary.Arm.NEW
    return canary.Arm.OLD
