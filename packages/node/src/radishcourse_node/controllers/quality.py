"""What was learned about the quality, time and cost of models."""

import collections
import typing

import anyio

from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_policy import cascade
from radishcourse_policy import learner
from radishcourse_wire.gen.peer import ttypes

# Answers waiting to be rated after they were given out; more are dropped.
MAX_AUDITS = 256
MAX_AUDIT_BYTES = 64 * 1024
AUDITS_AT_ONCE = 8
# Answers that are too late for the rating's own timeout are not waited for.
AUDIT_DEADLINE_S = 5.0
RECORD_EVERY_S = 10.0
# Records that were heard of within this time are passed on.
PASS_ON_S = 10.0
FORGET_S = 600.0
_TYPICAL_TOKENS = 300


class Audit(typing.NamedTuple):
    """An answer that is to be rated after it was given out.

    Attributes:
      job: The job.
      key: Where the rating is noted.
      version: The version that answered.
      content: Text of the answer.
      share: Probability with which this answer was chosen.
    """

    job: jobs.Job
    key: learner.Key
    version: str
    content: str
    share: float


class Quality:
    """Learns from ratings and describes models to the cascade policy."""

    def __init__(self, node):
        self._clock = node.environment.clock
        self._random = node.environment.random
        self._configuration = node.configuration
        self._node = node.settings.node
        self._ratings = node.ratings
        self._rollouts = node.rollouts
        # A restarted node's record must replace the one of its last life.
        first = int(self._clock.wall() * 1000)
        self._learner = learner.Learner(first)
        self._audits: collections.deque[Audit] = collections.deque()
        self._waiting = anyio.Event()
        self._recorded_at = -RECORD_EVERY_S
        self._record: ttypes.LearnedRecord | None = None
        self._heard: dict[ids.NodeId, float] = {}

    def choose(self, job: jobs.Job) -> cascade.Choice:
        """Returns the steps on which a job may run."""
        kind, organisation = job.kind_id, job.organisation_id
        balance = self._learner.balance(organisation, kind)
        balance.note_job(job.streamed)
        works = self._ratings.is_available
        return cascade.choose(
            cascade.ChoiceInputs(
                steps=self.describe(job),
                target=job.kind.quality_target,
                confidence=job.kind.confidence,
                seconds_left=job.deadline - self._clock.now(),
                streamed=job.streamed,
                rating=cascade.RatingState.WORKS
                if works
                else cascade.RatingState.DOWN,
                rating_seconds=self._ratings.expected_s,
                deficit=self._learner.deficit(organisation, kind),
                streamed_share=balance.streamed_share,
            ),
            self._random,
        )

    def describe(self, job: jobs.Job) -> list[cascade.Step]:
        """Returns what is known of each step of a job's cascade."""
        prices = [self._price(model) for model in job.steps]
        return self._learner.make_steps(
            job.organisation_id, job.kind_id, job.steps, prices
        )

    def _price(self, model: ids.ModelId) -> float:
        configured = self._configuration.config.models.get(model)
        versions = configured.versions.values() if configured else ()
        costs = (
            version.cost_per_job
            + version.cost_per_1k_tokens * _TYPICAL_TOKENS / 1000
            for version in versions
        )
        return max(costs, default=0.0)

    def note_run(self, job, index: int, start: int, cost, seconds) -> None:
        """Takes note of the cost and the time of a step's answer."""
        self._learner.note_run(make_key(job, index, start), cost, seconds)

    def note_rating(self, job, index, start, version, good: bool) -> None:
        """Takes note of a rating made before the answer was given out."""
        self._note(job, make_key(job, index, start), version, good)

    def note_given(self, job: jobs.Job, good: bool, share=1.0) -> None:
        """Takes note of a rated answer that the caller gets."""
        balance = self._learner.balance(job.organisation_id, job.kind_id)
        balance.note_answer(job.kind.quality_target, good, share)

    def _note(self, job, key: learner.Key, version, good: bool) -> None:
        self._rollouts.note_rating(key.model, version, good)
        if self._learner.note_rating(key, good):
            events.log(
                events.Event.QUALITY_CHANGED,
                organisation=job.organisation_id,
                kind=job.kind_id,
                model=key.model,
                good=round(self._learner.posterior(key).mean, 3),
            )

    def draw_audit(self, choice: cascade.Choice, facts: jobs.Facts) -> float:
        """Tells whether an answer is to be rated after it is given out.

        Returns:
          The probability with which it was chosen, or 0 when it was not.
        """
        if not self._ratings.is_available:
            return 0.0
        share = choice.audit_probability
        if self._rollouts.is_canary(facts.model, facts.version):
            share = 1.0
        return share if self._random.random() < share else 0.0

    def audit(self, job, index, choice, facts, content: str, share) -> None:
        """Has an answer rated in the background."""
        if len(self._audits) >= MAX_AUDITS:
            return
        key = make_key(job, index, choice.first)
        text = content[:MAX_AUDIT_BYTES]
        self._audits.append(Audit(job, key, facts.version, text, share))
        self._waiting.set()

    async def run(self) -> None:
        """Rates answers that were given out, a few at once."""
        async with anyio.create_task_group() as tasks:
            for _ in range(AUDITS_AT_ONCE):
                tasks.start_soon(self._rate_audits)

    async def _rate_audits(self) -> None:
        while True:
            while not self._audits:
                self._waiting = anyio.Event()
                await self._waiting.wait()
            audit = self._audits.popleft()
            limit = self._clock.now() + AUDIT_DEADLINE_S
            rating = await self._ratings.rate(audit.job, audit.content, limit)
            if rating is None:
                continue
            good = rating >= self._ratings.GOOD_RATING
            self._note(audit.job, audit.key, audit.version, good)
            self.note_given(audit.job, good, audit.share)

    def records(self) -> list[ttypes.LearnedRecord]:
        """Returns this node's sums and those heard of lately."""
        now = self._clock.now()
        if now - self._recorded_at >= RECORD_EVERY_S:
            counter, sums = self._learner.record()
            self._record = ttypes.LearnedRecord(self._node, counter, sums)
            self._recorded_at = now
        heard = self._learner.records()
        return [self._record] + [
            ttypes.LearnedRecord(node, *heard[node])
            for node, at in self._heard.items()
            if now - at <= PASS_ON_S
        ]

    def merge(self, records: list[ttypes.LearnedRecord]) -> None:
        """Takes over the sums of other nodes that are newer."""
        now = self._clock.now()
        for record in records:
            if record.node == self._node:
                continue
            item = learner.Record(record.counter, record.sums)
            try:
                newer = self._learner.merge(ids.NodeId(record.node), item)
            except ValueError as error:
                events.log(
                    events.Event.RECORD_REJECTED,
                    node=record.node,
                    error=str(error),
                )
                continue
            if newer:
                self._heard[ids.NodeId(record.node)] = now
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        old = [node for node, at in self._heard.items() if now - at > FORGET_S]
        for node in old:
            del self._heard[node]
            self._learner.remove_node(node)


def make_key(job: jobs.Job, index: int, start: int) -> learner.Key:
    """Returns where a step of a job that started on `start` is noted."""
    entry = learner.Entry.DIRECT if index == start else learner.Entry.ESCALATED
    return learner.Key(
        job.organisation_id, job.kind_id, job.steps[index], entry
    )
