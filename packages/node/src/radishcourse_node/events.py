"""Numbered log events; docs/EVENTS.md is their catalogue."""

import enum
import json
import typing

import eliot


class Event(enum.Enum):
    """Events by number: 1xx process, 2xx configuration, 3xx membership,
    4xx upstreams, 5xx requests, 6xx bills and claims, 7xx decisions.
    """  # noqa: D205

    NODE_STARTED = 101
    NODE_READY = 102
    NODE_DRAINING = 103
    NODE_STOPPED = 104
    TASK_FAILED = 105
    LOG_DROPPED = 106
    REVISION_IN_FORCE = 201
    REVISION_REJECTED = 202
    VIEW_CHANGED = 203
    PLATFORM_FAILED = 204
    STORE_CHANGED = 205
    RECORD_UNREADABLE = 206
    ZONE_CHANGED = 207
    SETTINGS_CHANGED = 208
    STORE_RESTORED = 209
    MEMBER_CHANGED = 301
    PEER_REJECTED = 302
    LEASE_ACQUIRED = 303
    LEASE_LOST = 304
    DUTY_ACQUIRED = 311
    DUTY_LOST = 312
    DUTY_FAILED = 313
    DUTY_CALL_FAILED = 314
    UPSTREAM_CHANGED = 401
    PERMIT_REFUSED = 402
    ORDER_SENT = 403
    UPSTREAM_CRASHED = 404
    UPSTREAM_LIMITED = 405
    UPSTREAM_PAUSED = 406
    PANIC_CHANGED = 407
    UPSTREAM_SPEED_CHANGED = 408
    SERVICE_UNREACHABLE = 409
    SERVICE_REACHABLE = 410
    RELAY_FAILED = 411
    RELAY_UNAVAILABLE = 412
    UPSTREAM_BRITTLE = 413
    REQUEST_REFUSED = 501
    ATTEMPT_FAILED = 502
    ANSWER_INTERRUPTED = 503
    REQUEST_FAILED = 504
    STREAM_RESUMED = 505
    STREAM_PARKED = 506
    CALLER_LEFT = 507
    REQUEST_ANSWERED = 508
    ATTEMPT_STARTED = 509
    LIBRARY_WARNED = 510
    CLIENT_LIMITED = 511
    ATTEMPT_EXCUSED = 512
    BILLS_FLUSHED = 601
    BILL_FLUSH_FAILED = 602
    BILLS_AT_RISK = 603
    CLAIM_RESOLVED = 604
    BILLS_LEFT = 605
    USAGE_CLOSED = 611
    USAGE_REPORTED = 612
    USAGE_MISSED = 613
    ROLLOUT_CHANGED = 701
    STEP_ESCALATED = 702
    RATING_FAILED = 703
    QUALITY_CHANGED = 704
    RECORD_REJECTED = 705
    ROLLOUT_ORDERED = 706
    ROLLOUT_PUBLISHED = 707
    UPSTREAM_DOUBTED = 708
    PROMPT_QUARANTINED = 709
    QUARANTINE_ENDED = 710
    SCALING_DECIDED = 711
    SCALING_SENT = 712
    REQUEST_SHED = 721
    ANSWER_KEPT = 722
    STREAM_MOVED = 723
    MODEL_CHOSEN = 724


def log(event: Event, **fields: object) -> None:
    """Logs an event with its name, number and fields."""
    eliot.log_message(
        message_type=event.name.lower(), event=event.value, **fields
    )


def write_to(stream: typing.TextIO) -> typing.Callable[[dict], None]:
    """Returns an eliot destination that writes one JSON object per line."""

    def write(message: dict) -> None:
        stream.write(json.dumps(message, default=str) + '\n')
        stream.flush()

    return write
