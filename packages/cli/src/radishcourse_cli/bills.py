"""Totals of the bills stored in the platform's table."""

import typing

import msgspec

from radishcourse_platform import table

PREFIX = 'bills/'
PAGE_ROWS = 500
GroupKey = tuple[str, str, str]


class BillTotal(msgspec.Struct):
    """Jobs and cost of an organisation's kind of job on one model.

    Attributes:
      organisation: The organisation's name.
      kind: The kind of job.
      model: The model's name.
      jobs: Number of jobs.
      cost: Sum of their cost, in micro-units.
    """

    organisation: str
    kind: str
    model: str
    jobs: int = 0
    cost: int = 0


class _Bill(msgspec.Struct, array_like=True):
    sequence: int
    request_id: str
    organisation: str
    kind: str
    model: str
    version: str
    cost: int
    at: float


class _Bills(msgspec.Struct):
    bills: list[_Bill]


async def sum_bills(
    rows: table.Table, organisation: str | None, since: float
) -> list[BillTotal]:
    """Returns totals by organisation, kind and model, in that order.

    Args:
      rows: The platform's table.
      organisation: Counts only bills of this organisation; None for all.
      since: Counts only bills made at this time or later, in seconds since
        the epoch.

    Raises:
      PlatformError: The platform did not respond.
    """
    totals: dict[GroupKey, BillTotal] = {}
    async for bill in _read_all(rows):
        if bill.at < since or organisation not in (None, bill.organisation):
            continue
        key = (bill.organisation, bill.kind, bill.model)
        total = totals.setdefault(key, BillTotal(*key))
        total.jobs += 1
        total.cost += bill.cost
    return [totals[key] for key in sorted(totals)]


async def _read_all(rows: table.Table) -> typing.AsyncIterator[_Bill]:
    after = ''
    while page := await rows.scan(PREFIX, after, PAGE_ROWS):
        for row in page:
            for bill in msgspec.convert(row.value, _Bills).bills:
                yield bill
        after = page[-1].key
