"""Evidence of crashes in messages between nodes."""

from radishcourse_model import ids
from radishcourse_policy import crashevidence
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes


def encode(item: crashevidence.Evidence, now: float) -> ttypes.CrashEvidence:
    """Returns evidence with ages in milliseconds instead of times."""
    return ttypes.CrashEvidence(
        item.part,
        [
            ttypes.CrashRecord(
                crash.crash_id,
                _age_ms(crash.ended_at, now),
                crash.prompt,
                crash.stage is crashevidence.Stage.FRESH,
                crash.stage is crashevidence.Stage.WAITING or None,
            )
            for crash in item.unresolved
        ],
        None if item.completed_at is None else _age_ms(item.completed_at, now),
        sorted(item.quarantined) or None,
    )


def decode(record: ttypes.CrashEvidence, now: float) -> crashevidence.Evidence:
    """Returns the evidence of a message.

    Raises:
      Malformed: A field is missing.
    """
    if record.part is None or record.crashes is None:
        raise wire_errors.Malformed('crash evidence without a part or crashes')
    completed_at = None
    if record.completed_age_ms is not None:
        completed_at = now - record.completed_age_ms / 1000
    return crashevidence.Evidence(
        ids.PartId(record.part),
        [
            crashevidence.Crash(
                ids.CrashId(crash.crash or 0),
                now - (crash.age_ms or 0) / 1000,
                crash.prompt or 0,
                _stage(crash),
            )
            for crash in record.crashes[: crashevidence.MAX_CRASHES]
        ],
        completed_at,
        frozenset(map(ids.PartId, record.quarantined or ())),
    )


def _stage(record: ttypes.CrashRecord) -> crashevidence.Stage:
    if record.waiting:
        return crashevidence.Stage.WAITING
    if record.fresh:
        return crashevidence.Stage.FRESH
    return crashevidence.Stage.BEGUN


def _age_ms(at: float, now: float) -> int:
    return max(0, int(1000 * (now - at)))
