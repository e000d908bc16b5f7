"""Encodes and decodes the rows of duties, in the store and between nodes."""

import msgspec

from radishcourse_gateway import interfaces
from radishcourse_model import decoding
from radishcourse_policy import dutylease
from radishcourse_policy import position as positions
from radishcourse_policy import usagewindows
from radishcourse_wire.gen.peer import ttypes

LEASE_TABLE = 'duties'


class _Lease(msgspec.Struct):
    holder: str
    incarnation: str
    token: int
    nonce: str


def lease_key(duty: dutylease.Duty) -> interfaces.RowKey:
    """Returns the key of a duty's lease."""
    return interfaces.RowKey(LEASE_TABLE, duty.value)


def encode_lease(row: dutylease.Row, incarnation: str) -> bytes:
    """Returns the value of a lease's row.

    Args:
      row: The lease.
      incarnation: Run of the process that writes it, for operators.
    """
    return msgspec.json.encode(
        _Lease(row.holder, incarnation, row.token, row.nonce)
    )


def decode_lease(stored: interfaces.StoreRow) -> dutylease.Row:
    """Returns a lease from its row; an unreadable one counts as released."""
    try:
        lease = msgspec.json.decode(stored.value or b'', type=_Lease)
    except decoding.ERRORS:
        return dutylease.Row(stored.position)
    return dutylease.Row(
        stored.position, lease.holder, lease.token, lease.nonce
    )


def encode_news(
    duty: dutylease.Duty, news: dutylease.News, now: float
) -> ttypes.DutyLease:
    """Returns the message that tells peers of a lease."""
    return ttypes.DutyLease(
        duty.value,
        news.holder,
        news.token,
        news.position.version,
        news.position.era,
        min(3_600_000, max(0, int(1000 * (now - news.known_at)))),
    )


def decode_news(
    message: ttypes.DutyLease, now: float
) -> tuple[dutylease.Duty, dutylease.News] | None:
    """Returns what a peer tells of a lease, None for an unknown duty.

    Args:
      message: The message.
      now: When it arrived. The age counts from then, not from when it was
        sent: a lease that seems to have changed later is taken over later.
    """
    try:
        duty = dutylease.Duty(message.duty)
    except ValueError:
        # A newer version of the program has more duties.
        return None
    if not message.token or not message.version:
        return None
    known_at = now - max(0, message.age_ms or 0) / 1000
    position = positions.Position(message.era or 0, message.version)
    return duty, dutylease.News(
        message.node or '', message.token, position, known_at
    )


def encode_counts(
    windows: dict[int, usagewindows.Counts],
) -> list[ttypes.UsageCounts]:
    """Returns counts by window for a message."""
    return [
        ttypes.UsageCounts(window, list(counts), list(counts.values()))
        for window, counts in windows.items()
    ]


def decode_counts(
    messages: list[ttypes.UsageCounts] | None,
) -> dict[int, usagewindows.Counts]:
    """Returns counts by window from a message."""
    return {
        item.window or 0: dict(
            zip(item.organisations or (), item.counts or (), strict=False)
        )
        for item in messages or ()
    }
