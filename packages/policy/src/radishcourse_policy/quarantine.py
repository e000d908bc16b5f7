"""Quarantine of prompt parts that crash the upstreams that answer them.

Each node sees only some of the crashes, and at each crash several answers are
cut, most of them victims. Nodes exchange which parts were in an answer that an
ended upstream had begun, or was to begin. The part at fault is the one that
several crashes, under different prompts, have in common, and with which no
answer completes. An answer that completes clears its parts, as a crash does not
depend on the rest of the prompt.

Load pattern: prompts that differ but for one part, through any node, among
sound ones that share their other parts; and upstreams that end for other
reasons, alone or many at once.
"""

import collections
import itertools
import math
import typing

from radishcourse_model import ids
from radishcourse_policy import crashevidence

# Crashes after which a part is quarantined. Below the users' five, after which
# the fleet has only as long as a few exchanges take. A crash under an answer
# that had not just begun counts as less, as that is more likely a victim.
MIN_CRASHES = 3
# The same for a part that answers have completed with before: it is most likely
# a victim of upstreams that crash for another reason.
MIN_CRASHES_OF_SOUND_PART = 6
# A single prompt, retried, has all its parts in common with itself.
MIN_PROMPTS = 2
# A part in a single crash is not common to crashes and explains none.
MIN_COMMON_CRASHES = 2
# Upstreams that end within this time may share a reason, such as a failed rack,
# and count as one crash.
SIMULTANEOUS_S = 0.01
# An answer had just begun for this long after its head.
FRESH_S = 0.3
# A crash without a verdict is forgotten after this time.
EVIDENCE_TTL_S = 300.0
# Time from the last crash to a trial; it doubles with each trial that fails.
QUARANTINE_S = 120.0
MAX_DOUBLINGS = 5
# The same for a part that may be a victim, as verdicts on other parts account
# for its crashes; one prompt without those parts tells.
VICTIM_TRIAL_S = 2.0
# Crashes at longer intervals than this come from trials.
TRIAL_GAP_S = QUARANTINE_S / 2
# Cleared parts are reported for this long, so that all nodes clear them.
CLEARED_TTL_S = 10.0
# Bounds of a node's memory and of a report.
MAX_PARTS = 128
MAX_COMPLETED = 10_000
# Crashes in a report, about 10 KB.
MAX_REPORTED_CRASHES = 512
# Answers that a node reports of one crash.
MAX_ANSWERS = 8
TRIM_INTERVAL_S = 1.0


class Verdict(typing.NamedTuple):
    """A quarantine that applies to a prompt.

    Attributes:
      parts: The parts that are quarantined together.
      crashes: Number of crashes that are known.
      trial_at: When a prompt with them may be tried again, on this node's
        clock in seconds.
    """

    parts: frozenset[ids.PartId]
    crashes: int
    trial_at: float


class Quarantine:
    """Evidence of crashes at one node, and the verdicts that follow from it.

    Attributes:
      hold_s: Seconds from the decisive crash to a verdict, for the evidence and
        the completed answers of all nodes to become known.
    """

    def __init__(self, hold_s: float = 0.0):
        self.hold_s = hold_s
        self._evidence: dict[ids.PartId, crashevidence.Evidence] = {}
        self._completed: collections.OrderedDict[ids.PartId, float] = (
            collections.OrderedDict()
        )
        self._review_at: float | None = None
        self._trim_at = 0.0
        self._digest: int | None = 0

    @property
    def quarantined(self) -> list[crashevidence.Evidence]:
        """Evidence of the parts under a verdict."""
        return [item for item in self._evidence.values() if item.quarantined]

    @property
    def state_digest(self) -> int:
        """Digest of the evidence; nodes with the same one need no exchange."""
        if self._digest is None:
            self._digest = crashevidence.digest(
                *(
                    f'{part} {sorted(crash.crash_id for crash in crashes)} '
                    f'{sorted(item.quarantined)}'
                    for part, item in sorted(self._evidence.items())
                    if (crashes := item.unresolved)
                )
            )
        return self._digest

    def note_crash(
        self,
        now: float,
        crash_id: ids.CrashId,
        answers: list[crashevidence.Answer],
    ) -> None:
        """Records that an upstream ended.

        Args:
          now: Current time in seconds.
          crash_id: Identifies its run.
          answers: The answers of it that this node lost, newest first.
        """
        # An answer is a likelier cause if one of its parts never completed.
        likeliest = sorted(
            answers,
            key=lambda answer: self._completed.keys() >= {*answer.parts},
        )
        for answer in likeliest[:MAX_ANSWERS]:
            broke_at = now if answer.broke_at is None else answer.broke_at
            crash = crashevidence.Crash(
                crash_id, broke_at, answer.prompt, answer.stage
            )
            for part in answer.parts:
                self._add(now, crashevidence.Evidence(part, [crash]))
        self._trim(now)

    def note_completed(
        self, now: float, parts: typing.Iterable[ids.PartId]
    ) -> list[ids.PartId]:
        """Records a completed answer; returns the parts that it releases."""
        released = []
        for part in parts:
            self._completed[part] = now
            self._completed.move_to_end(part)
            item = self._evidence.get(part)
            if item is None:
                continue
            was_quarantined = bool(item.quarantined)
            if item.complete(now):
                self._note_change(now)
            if was_quarantined and not item.quarantined:
                released.append(part)
        while len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        return released

    def reports(self) -> list[crashevidence.Evidence]:
        """Returns the evidence to report to other nodes, most important first.

        The report ends at MAX_REPORTED_CRASHES.
        """
        ranked = sorted(self._evidence.values(), key=_importance, reverse=True)
        totals = itertools.accumulate(len(item.unresolved) for item in ranked)
        return [
            item
            for item, total in zip(ranked, totals, strict=True)
            if total <= MAX_REPORTED_CRASHES
        ]

    def merge(self, now: float, reports: list[crashevidence.Evidence]) -> None:
        """Adds the evidence of another node."""
        for item in reports[:MAX_PARTS]:
            self._add(now, item)
        self._trim(now)

    def find(
        self, now: float, parts: typing.Iterable[ids.PartId]
    ) -> Verdict | None:
        """Returns the verdict that applies to a prompt with these parts."""
        if not self._evidence:
            return None
        self.review(now)
        present = frozenset(parts)
        found = [
            item
            for item in map(self._evidence.get, sorted(present))
            if item is not None
            and item.quarantined
            and self._still_suspected(item) <= present
        ]
        if not found:
            return None
        crashes = found[0].unresolved
        wait_s = _quarantine_s(crashes)
        # A prompt with several quarantined parts would not tell them apart.
        if len(found) == 1 and self._may_be_victim(found[0]):
            wait_s = VICTIM_TRIAL_S
        return Verdict(
            found[0].quarantined, len(crashes), crashes[-1].ended_at + wait_s
        )

    def _may_be_victim(self, item: crashevidence.Evidence) -> bool:
        """Tells whether verdicts on other parts account for one on this part.

        Its crashes without those parts would not suffice for a verdict.
        """
        others = {
            crash.crash_id
            for other in self.quarantined
            if item.part not in other.quarantined
            for crash in other.unresolved
        }
        left = [
            crash for crash in item.unresolved if crash.crash_id not in others
        ]
        return bool(others) and _suffices_at(item, left) is None

    def review(self, now: float) -> list[crashevidence.Evidence]:
        """Decides on the parts; returns those that are newly quarantined."""
        if self._review_at is None or now < self._review_at:
            return []
        self._review_at = None
        candidates = _Candidates(list(self._evidence.values()))
        found = []
        for item in self._evidence.values():
            decided_at = candidates.decided_at(item)
            if decided_at is None or len(item.quarantined) == 1:
                continue
            if now < decided_at + self.hold_s:
                self._review_by(decided_at + self.hold_s)
                continue
            common = candidates.inseparable(item)
            if not item.quarantined or len(common) < len(item.quarantined):
                item.quarantined = common
                self._digest = None
                found.append(item)
        return found

    def _still_suspected(
        self, item: crashevidence.Evidence
    ) -> frozenset[ids.PartId]:
        """The parts of a verdict with which no answer has completed since."""
        return frozenset(
            part
            for part in item.quarantined
            if part not in self._evidence or self._evidence[part].unresolved
        )

    def _add(self, now: float, reported: crashevidence.Evidence) -> None:
        item = self._evidence.get(reported.part)
        if item is None:
            completed_at = self._completed.get(reported.part)
            item = crashevidence.Evidence(reported.part, (), completed_at)
            self._evidence[reported.part] = item
        changed = [item.add(crash) for crash in reported.unresolved]
        changed.append(item.complete(reported.completed_at))
        quarantined = reported.quarantined
        if (
            quarantined
            and item.unresolved
            and not 0 < len(item.quarantined) <= len(quarantined)
        ):
            item.quarantined = quarantined
            changed.append(True)
        if any(changed):
            self._note_change(now)

    def _note_change(self, now: float) -> None:
        self._digest = None
        self._review_by(now)

    def _review_by(self, at: float) -> None:
        self._review_at = min(at, self._review_at or at)

    def _trim(self, now: float) -> None:
        if now >= self._trim_at:
            self._trim_at = now + TRIM_INTERVAL_S
            for part, item in list(self._evidence.items()):
                if now > _expires_at(item):
                    del self._evidence[part]
                    self._digest = None
        excess = len(self._evidence) - MAX_PARTS
        if excess > 0:
            ranked = sorted(self._evidence.values(), key=_importance)
            for item in ranked[:excess]:
                del self._evidence[item.part]
            self._digest = None


def spread_s(nodes: int, fanout: int, round_s: float) -> float:
    """Returns the time in which evidence reaches nearly all nodes.

    Args:
      nodes: Number of nodes.
      fanout: Number of random peers that a node pulls from in a round.
      round_s: Seconds from one round to the next.
    """
    rounds = math.ceil(math.log(max(2, nodes), 1 + fanout)) + 1
    return rounds * round_s


class _Candidates:
    """Compares the parts that could be at fault.

    A crash is explained by a part that more crashes have in common, and is then
    no evidence against the others.
    """

    def __init__(self, items: list[crashevidence.Evidence]):
        self._crashes = {item.part: item.unresolved for item in items}
        self._ranks = {
            item.part: (item.completed_at is None, *_rank(crashes))
            for item in items
            if (crashes := self._crashes[item.part])
        }
        # A part in more crashes than are kept was most likely in the forgotten
        # ones, too.
        self._oldest_kept = {
            part: crashes[0].ended_at
            for part, crashes in self._crashes.items()
            if len(crashes) >= crashevidence.MAX_CRASHES
        }
        self._parts_at = collections.defaultdict(list)
        for part, crashes in self._crashes.items():
            for crash in crashes:
                self._parts_at[crash.crash_id].append(part)

    def decided_at(self, item: crashevidence.Evidence) -> float | None:
        """Returns when the evidence sufficed, None if it does not."""
        if item.part not in self._ranks:
            return None
        unexplained = [
            crash
            for crash in self._crashes[item.part]
            if not self._is_explained(item.part, crash)
        ]
        return _suffices_at(item, unexplained)

    def inseparable(
        self, item: crashevidence.Evidence
    ) -> frozenset[ids.PartId]:
        """Returns the parts that all known crashes have in common."""
        own = {crash.crash_id for crash in self._crashes[item.part]}
        return frozenset(
            part
            for part, rank in self._ranks.items()
            if rank == self._ranks[item.part]
            and {crash.crash_id for crash in self._crashes[part]} == own
        )

    def _is_explained(
        self, part: ids.PartId, crash: crashevidence.Crash
    ) -> bool:
        others = self._parts_at[crash.crash_id] + [
            other
            for other, oldest in self._oldest_kept.items()
            if crash.ended_at < oldest
        ]
        return any(
            self._ranks[other] > self._ranks[part]
            and self._ranks[other][1] >= MIN_COMMON_CRASHES
            for other in others
        )


def _suffices_at(
    item: crashevidence.Evidence, crashes: list[crashevidence.Crash]
) -> float | None:
    """Returns when crashes sufficed for a verdict, None if they do not."""
    needed = MIN_CRASHES
    if item.completed_at is not None:
        needed = MIN_CRASHES_OF_SOUND_PART
    if len({crash.prompt for crash in crashes}) < MIN_PROMPTS:
        return None
    return next((at for at, total in _weight(crashes) if total >= needed), None)


def _weight(crashes: list[crashevidence.Crash]) -> list[tuple[float, float]]:
    """Returns the running total of crashes that are not simultaneous.

    Each item is the time and the total from then on.
    """
    totals: list[tuple[float, float]] = []
    groups: list[list[crashevidence.Crash]] = []
    for crash in crashes:
        if groups and crash.ended_at - groups[-1][0].ended_at < SIMULTANEOUS_S:
            groups[-1].append(crash)
        else:
            groups.append([crash])
    total = 0.0
    for group in groups:
        total += max(crash.stage.weight for crash in group)
        totals.append((group[0].ended_at, total))
    return totals


def _rank(crashes: list[crashevidence.Crash]) -> tuple[float, int]:
    """Returns by what the crashes of several parts are compared.

    An answer that was to begin may be at fault as well as one that had begun.
    A part at fault ends upstreams at the same stage each time, victims do not.
    """
    fresh, begun = crashevidence.Stage.FRESH, crashevidence.Stage.BEGUN
    comparable = [
        crash if crash.stage is begun else crash._replace(stage=fresh)
        for crash in crashes
    ]
    stages = collections.Counter(crash.stage for crash in crashes)
    return _weight(comparable)[-1][1], max(stages.values())


def _quarantine_s(crashes: list[crashevidence.Crash]) -> float:
    """Returns the seconds from the last crash to the next trial."""
    times = [crash.ended_at for crash in crashes]
    trials = sum(
        later - earlier > TRIAL_GAP_S
        for earlier, later in itertools.pairwise(times)
    )
    return QUARANTINE_S * 2 ** min(trials, MAX_DOUBLINGS)


def _expires_at(item: crashevidence.Evidence) -> float:
    crashes = item.unresolved
    if not crashes:
        return (item.completed_at or 0.0) + CLEARED_TTL_S
    if item.quarantined:
        return crashes[-1].ended_at + 2 * _quarantine_s(crashes)
    return crashes[-1].ended_at + EVIDENCE_TTL_S


def _importance(item: crashevidence.Evidence) -> tuple:
    """Sorts evidence by what would be lost with it."""
    crashes = item.unresolved
    return (
        bool(item.quarantined),
        item.completed_at is None,
        len(crashes),
        crashes[-1].ended_at if crashes else 0.0,
    )
