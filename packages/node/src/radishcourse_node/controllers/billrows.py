"""Bills and marks as the platform's rows have them."""

import msgspec

from radishcourse_model import ids
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import table
from radishcourse_policy import billing
from radishcourse_policy import intervals
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes


class Bill(msgspec.Struct, array_like=True, frozen=True):
    """Bill of a job.

    Attributes:
      sequence: Number of the bill among those of its owner, from 1.
      request_id: The billed request.
      organisation: Who pays.
      kind: Kind of job, or the service's name.
      model: Model that answered, or the service.
      version: Version of the model.
      cost: Cost in micro-units.
      at: Wall time of the record, in seconds since the epoch.
    """

    sequence: int
    request_id: ids.RequestId
    organisation: ids.OrganisationId
    kind: ids.KindId
    model: str
    version: str
    cost: int
    at: float


class Mark(msgspec.Struct):
    """Row with an owner's flushed sequence numbers."""

    flushed: intervals.Intervals = intervals.EMPTY


_decoder = msgspec.msgpack.Decoder(Bill)


def mark_key_of(owner: str) -> str:
    """Returns the key of an owner's mark."""
    return f'billmark/{owner}'


def read_mark(row) -> Mark:
    """Returns the mark of a row, an empty one for None."""
    return msgspec.convert(row.value, Mark) if row else Mark()


def validate_record(record: ttypes.BillRecord) -> billing.Record:
    """Returns a received record; a malformed one would make flushes fail.

    Raises:
      Rejected: It is no bill, or has another sequence number.
    """
    try:
        bill = _decoder.decode(record.packed or b'')
    except msgspec.MsgspecError as error:
        raise wire_errors.Rejected(f'not a bill: {error}') from error
    if bill.sequence != record.sequence:
        raise wire_errors.Rejected('the bill has another sequence number')
    return billing.Record(record.sequence, record.packed)


def make_transaction(
    owner: str, row, plan: billing.FlushPlan
) -> table.Transaction:
    """Returns the transaction that writes a row of bills and the new mark.

    Args:
      owner: Owner of the bills.
      row: Row of the owner's mark, None if there is none.
      plan: The bills to write.
    """
    mark_key = mark_key_of(owner)
    version = row.version if row else table.ABSENT
    # The row of bills is named after the version that the mark gets.
    bills_key = f'bills/{owner}/{version + 1:08d}'
    bills = [_decoder.decode(record.packed) for record in plan.records]
    mark = Mark(plan.flushed)
    return table.Transaction(
        conditions=[
            table.Condition(mark_key, version),
            table.Condition(bills_key, table.ABSENT),
        ],
        puts=[
            table.Put(mark_key, msgspec.to_builtins(mark)),
            table.Put(bills_key, {'bills': msgspec.to_builtins(bills)}),
        ],
    )


def conflicting_row(conflict: platform_errors.Conflict, key: str):
    """Returns the row of a mark that another node has written meanwhile.

    Raises:
      Conflict: The mark was not the reason of the conflict.
    """
    for row in conflict.rows:
        if row.key == key and row.version != table.ABSENT:
            return row
    raise conflict
