"""Evidence of crashes of upstreams, by the parts of the prompts in progress."""

import enum
import hashlib
import typing

from radishcourse_model import ids

# Crashes that are kept of a part.
MAX_CRASHES = 64


def digest(*names: str) -> int:
    """Returns a 64-bit digest of names, as a signed integer."""
    data = '\0'.join(names).encode()
    value = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(value, 'big', signed=True)


class Stage(enum.Enum):
    """How far an answer had come when its upstream ended.

    BEGUN: its head had come some time before. WAITING: it had no head. FRESH:
    its head had just come.
    """

    BEGUN = 'begun'
    WAITING = 'waiting'
    FRESH = 'fresh'

    @property
    def weight(self) -> float:
        """Share of a crash that it counts as."""
        return _WEIGHTS[self]


# What crashes an upstream mostly does so where its answer begins. An upstream
# works on several prompts that have no head yet, most of them victims.
_WEIGHTS = {Stage.BEGUN: 0.5, Stage.WAITING: 0.75, Stage.FRESH: 1.0}


class Answer(typing.NamedTuple):
    """An answer that was not complete when its upstream ended.

    Attributes:
      parts: The shared parts of its prompt.
      prompt: Identifies the prompt.
      stage: How far it had come.
      broke_at: When it broke off or was given up, if that was before the end
        of the upstream was noticed, in seconds.
    """

    parts: tuple[ids.PartId, ...]
    prompt: int
    stage: Stage = Stage.FRESH
    broke_at: float | None = None


class Crash(typing.NamedTuple):
    """A crash under an answer with a certain part.

    Attributes:
      crash_id: Identifies the run of the upstream that ended.
      ended_at: When it ended, on this node's clock in seconds.
      prompt: Identifies the prompt of the answer.
      stage: The stage with the most weight of the answers with the part.
    """

    crash_id: ids.CrashId
    ended_at: float
    prompt: int
    stage: Stage = Stage.FRESH


class Evidence:
    """What is known of a part that was in an answer at a crash.

    Args:
      part: The part.
      crashes: Crashes under answers with the part.
      completed_at: When an answer with it last completed, on this node's clock
        in seconds; None if that is not known.
      quarantined: The parts that, together, are quarantined by a verdict on
        this part; empty without one.

    Attributes:
      part: The part.
      completed_at: As above.
      quarantined: As above.
      unresolved: Crashes since the last completed answer, in order.
    """

    def __init__(
        self,
        part: ids.PartId,
        crashes: typing.Iterable[Crash] = (),
        completed_at: float | None = None,
        quarantined: frozenset[ids.PartId] = frozenset(),
    ):
        self.part = part
        self.completed_at = completed_at
        self.quarantined = quarantined
        self._crashes: dict[ids.CrashId, Crash] = {}
        self.unresolved: list[Crash] = []
        for crash in crashes:
            self.add(crash)

    def add(self, crash: Crash) -> bool:
        """Adds a crash; returns whether that changes the evidence."""
        known = self._crashes.get(crash.crash_id)
        if known is not None:
            # All nodes agree on the same one of the answers' prompts.
            crash = known._replace(
                prompt=min(crash.prompt, known.prompt),
                stage=max(crash.stage, known.stage, key=_weight_of),
            )
            if crash == known:
                return False
        self._crashes[crash.crash_id] = crash
        if len(self._crashes) > MAX_CRASHES:
            oldest = min(self._crashes.values(), key=_ended_at)
            del self._crashes[oldest.crash_id]
        self._resolve()
        return True

    def complete(self, completed_at: float | None) -> bool:
        """Records a completed answer; returns whether crashes are resolved."""
        if completed_at is None or completed_at <= (self.completed_at or 0.0):
            return False
        self.completed_at = completed_at
        before = len(self.unresolved)
        self._resolve()
        return len(self.unresolved) < before

    def _resolve(self) -> None:
        since = self.completed_at
        self.unresolved = sorted(
            (
                crash
                for crash in self._crashes.values()
                if since is None or crash.ended_at > since
            ),
            key=_ended_at,
        )
        if not self.unresolved:
            self.quarantined = frozenset()


def _weight_of(stage: Stage) -> float:
    return stage.weight


def _ended_at(crash: Crash) -> float:
    return crash.ended_at
