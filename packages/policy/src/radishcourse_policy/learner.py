"""Estimates of models' quality, time and cost, shared between nodes."""

import collections
import dataclasses
import enum
import typing

import msgspec

from radishcourse_model import ids
from radishcourse_policy import cascade
from radishcourse_policy import estimates

MAX_KEYS = 4096
# Good answers above the target of a kind that all nodes together aim for.
RESERVE_ANSWERS = 1.0


class Entry(enum.Enum):
    """Whether a job started on a model or was escalated to it."""

    DIRECT = 0
    ESCALATED = 1


class Key(typing.NamedTuple):
    """Key under which sums are kept."""

    organisation: ids.OrganisationId
    kind: ids.KindId
    model: ids.ModelId
    entry: Entry


class _PooledKey(typing.NamedTuple):
    model: ids.ModelId
    entry: Entry


class _Item(msgspec.Struct, array_like=True):
    key: Key
    sums: estimates.Sums


class Record(typing.NamedTuple):
    """Sums of one node as they are exchanged between nodes.

    Attributes:
      counter: Version of the sums; the record with the higher one wins.
      sums: The sums, encoded as MessagePack.
    """

    counter: int
    sums: bytes


@dataclasses.dataclass
class _RemoteSums:
    counter: int
    packed: bytes
    sums: dict[Key, estimates.Sums]


class Learner:
    """Keeps this node's sums and those of the other nodes.

    Args:
      counter: First counter of this node's record. It must be higher than
        those of earlier processes of the node, since their records may still
        be in circulation.
    """

    def __init__(self, counter: int = 0):
        self._counter = counter
        self._changed = False
        self._own_by_key: dict[Key, estimates.Sums] = {}
        self._remote_by_node: dict[ids.NodeId, _RemoteSums] = {}
        self._own_by_model: dict[_PooledKey, estimates.Sums] = {}
        # Totals over the other nodes, so that a choice does not have to add up
        # the records of hundreds of nodes.
        self._remote_by_key: dict[Key, estimates.Sums] = {}
        self._remote_by_model: dict[_PooledKey, estimates.Sums] = {}
        self._balances: dict[tuple, cascade.Balance] = collections.defaultdict(
            cascade.Balance
        )

    def balance(self, organisation, kind) -> cascade.Balance:
        """Returns the balance of this node's answers to a kind."""
        return self._balances[(organisation, kind)]

    def deficit(self, organisation, kind) -> float:
        """Returns the balance's deficit plus this node's part of the reserve.

        The reserve is divided among the nodes, so that the fleet aims for
        RESERVE_ANSWERS above the target.
        """
        reserve = RESERVE_ANSWERS / (1 + len(self._remote_by_node))
        return self.balance(organisation, kind).deficit + reserve

    def note_rating(self, key: Key, good: bool) -> bool:
        """Adds a rating; returns whether a change of quality was detected."""
        self._changed = True
        changed = self._own_sums(key).note_rating(good)
        self._own_pooled_sums(key).note_rating(good)
        return changed

    def note_run(self, key: Key, cost: float, seconds: float) -> None:
        """Adds the cost and the time of an answer."""
        self._changed = True
        self._own_sums(key).note_run(cost, seconds)
        self._own_pooled_sums(key).note_run(cost, seconds)

    def make_steps(
        self,
        organisation,
        kind,
        models: list[ids.ModelId],
        default_costs: list[float],
    ) -> list[cascade.Step]:
        """Returns the steps of a cascade with their estimates.

        Args:
          organisation: The organisation.
          kind: The kind of jobs.
          models: Models of the cascade, cheapest first.
          default_costs: Cost in micro-units to assume for each model until it
            has run.
        """
        return [
            self._make_step(organisation, kind, model, default_cost)
            for model, default_cost in zip(models, default_costs, strict=True)
        ]

    def _make_step(
        self, organisation, kind, model, default_cost
    ) -> cascade.Step:
        direct = Key(organisation, kind, model, Entry.DIRECT)
        escalated = Key(organisation, kind, model, Entry.ESCALATED)
        runs = self._total(direct)
        runs.add(self._total(escalated))
        if not runs.runs:
            runs.add(self._pooled_total(direct))
        cost, seconds, variance = default_cost, 0.0, 0.0
        if runs.runs:
            cost = runs.cost / runs.runs
            seconds = runs.seconds / runs.runs
            variance = runs.seconds_squared / runs.runs - seconds * seconds
        return cascade.Step(
            model,
            cost,
            seconds,
            max(0.0, variance),
            self.posterior(direct),
            self.posterior(escalated),
        )

    def posterior(self, key: Key) -> estimates.Posterior:
        """Returns the posterior of the share of good answers."""
        return estimates.make_posterior(
            self._total(key), self._pooled_total(key)
        )

    def record(self) -> Record:
        """Returns this node's sums; increments the counter if they changed."""
        if self._changed:
            self._counter += 1
            self._changed = False
        items = [_Item(key, sums) for key, sums in self._own_by_key.items()]
        return Record(self._counter, _encoder.encode(items))

    def records(self) -> dict[ids.NodeId, Record]:
        """Returns the sums of the other nodes as they were received."""
        return {
            node: Record(remote.counter, remote.packed)
            for node, remote in self._remote_by_node.items()
        }

    def merge(self, node: ids.NodeId, record: Record) -> bool:
        """Replaces the sums of another node if the record is newer.

        Returns:
          Whether it was newer.

        Raises:
          ValueError: The record is malformed.
        """
        known = self._remote_by_node.get(node)
        if known is not None and record.counter <= known.counter:
            return False
        try:
            items = _decoder.decode(record.sums)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from error
        self.remove_node(node)
        sums = {item.key: item.sums for item in items[:MAX_KEYS]}
        self._remote_by_node[node] = _RemoteSums(
            record.counter, record.sums, sums
        )
        self._add_remote(sums, 1)
        return True

    def remove_node(self, node: ids.NodeId) -> None:
        """Removes the sums of another node."""
        remote = self._remote_by_node.pop(node, None)
        if remote is not None:
            self._add_remote(remote.sums, -1)

    def _add_remote(self, sums: dict[Key, estimates.Sums], factor: int) -> None:
        for key, item in sums.items():
            pooled = _PooledKey(key.model, key.entry)
            self._remote_by_key.setdefault(key, estimates.Sums()).add(
                item, factor
            )
            self._remote_by_model.setdefault(pooled, estimates.Sums()).add(
                item, factor
            )

    def _total(self, key: Key) -> estimates.Sums:
        return _add_up(self._own_by_key.get(key), self._remote_by_key.get(key))

    def _pooled_total(self, key: Key) -> estimates.Sums:
        pooled = _PooledKey(key.model, key.entry)
        return _add_up(
            self._own_by_model.get(pooled), self._remote_by_model.get(pooled)
        )

    def _own_sums(self, key: Key) -> estimates.Sums:
        if key not in self._own_by_key and len(self._own_by_key) >= MAX_KEYS:
            # Evicts the oldest key; its sums are rebuilt if it is still used.
            del self._own_by_key[next(iter(self._own_by_key))]
        return self._own_by_key.setdefault(key, estimates.Sums())

    def _own_pooled_sums(self, key: Key) -> estimates.Sums:
        pooled = _PooledKey(key.model, key.entry)
        return self._own_by_model.setdefault(pooled, estimates.Sums())


def _add_up(*parts: estimates.Sums | None) -> estimates.Sums:
    total = estimates.Sums()
    for part in parts:
        if part is not None:
            total.add(part)
    return total


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[_Item])
