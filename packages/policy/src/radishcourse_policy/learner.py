"""What a node learned about models, shared with the other nodes."""

import collections
import dataclasses
import enum
import typing

import msgspec

from radishcourse_model import ids
from radishcourse_policy import cascade
from radishcourse_policy import estimates

MAX_KEYS = 4096
# Good answers that the fleet holds in reserve above the target of a kind.
RESERVE_ANSWERS = 1.0


class Entry(enum.Enum):
    """How a job came to a model."""

    DIRECT = 0
    ESCALATED = 1


class Key(typing.NamedTuple):
    """What a sum is kept for."""

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
    """Sums of one node as they are shared.

    Attributes:
      counter: Grows with each change; the record with the higher one wins.
      sums: The packed sums.
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
        any of an earlier process of the node, whose records may be around.
    """

    def __init__(self, counter: int = 0):
        self._counter = counter
        self._changed = False
        self._own_by_key: dict[Key, estimates.Sums] = {}
        self._remote_by_node: dict[ids.NodeId, _RemoteSums] = {}
        self._own_by_model: dict[_PooledKey, estimates.Sums] = {}
        # Totals over the other nodes, so that a decision does not add up
        # the records of hundreds of nodes.
        self._remote_by_key: dict[Key, estimates.Sums] = {}
        self._remote_by_model: dict[_PooledKey, estimates.Sums] = {}
        self._balances: dict[tuple, cascade.Balance] = collections.defaultdict(
            cascade.Balance
        )

    def balance(self, organisation, kind) -> cascade.Balance:
        """Returns the balance of this node's answers to a kind of jobs."""
        return self._balances[(organisation, kind)]

    def deficit(self, organisation, kind) -> float:
        """Returns the missing good answers, with this node's reserve."""
        reserve = RESERVE_ANSWERS / (1 + len(self._remote_by_node))
        return self.balance(organisation, kind).deficit + reserve

    def note_rating(self, key: Key, good: bool) -> bool:
        """Adds a rating; tells whether a change of quality was found."""
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
        """Returns what is known of the models of a cascade.

        Args:
          organisation: The organisation.
          kind: The kind of jobs.
          models: Models from the cheapest.
          default_costs: Costs to assume of models that never ran.
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
        """Returns the odds that an answer is good."""
        return estimates.make_posterior(
            self._total(key), self._pooled_total(key)
        )

    def record(self) -> Record:
        """Returns this node's sums; the counter grows if they changed."""
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
        """Takes over the sums of another node; False if they are not newer.

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
        """Drops the sums of a node."""
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
            # The key that was added first; its sums come again with use.
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
