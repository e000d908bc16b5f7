"""Sums of bills."""

import typing

import msgspec

from radishcourse_platform import table

PREFIX = 'bills/'
PAGE_ROWS = 500
GroupKey = tuple[str, str, str]


class BillTotal(msgspec.Struct):
    """Jobs and cost, in micro-units, of one kind on one model."""

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
    """Returns sums by organisation, kind and model.

    Args:
      rows: The platform's table.
      organisation: Only this organisation's, or None for all.
      since: Only bills made at this time or later, in seconds since 1970.

    Raises:
      PlatformError: The platform did not answer.
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
