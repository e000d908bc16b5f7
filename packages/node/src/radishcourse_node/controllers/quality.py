"""Learns the quality, time and cost of models from answers and ratings."""

import collections
import typing

import anyio

from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_policy import cascade
from radishcourse_policy import learner
from radishcourse_wire.gen.peer import ttypes

# Maximum number of returned answers that wait to be rated. An audit that
# exceeds it is skipped.
MAX_AUDITS = 256
MAX_AUDIT_CHARACTERS = 64 * 1024
CONCURRENT_AUDITS = 8
# Time limit of an audit. The timeout of the rating call itself is shorter.
AUDIT_DEADLINE_S = 5.0
# The sums of this node are encoded once per interval.
RECORD_INTERVAL_S = 10.0
# Records of other nodes are gossiped for this long after they were received.
FORWARD_S = 10.0
# The sums of a node from which no newer record was received for this long are
# removed.
FORGET_AFTER_S = 600.0
_TYPICAL_TOKENS = 300


class Audit(typing.NamedTuple):
    """An answer to be rated after it was returned to the caller.

    Attributes:
      job: The job.
      key: Key under which the rating is learned.
      version: Version of the model that answered.
      content: Text of the answer, `MAX_AUDIT_CHARACTERS` characters at most.
      probability: Probability with which this answer was sampled.
    """

    job: jobs.Job
    key: learner.Key
    version: str
    content: str
    probability: float


class Quality:
    """Learns from ratings and describes models to the cascade policy."""

    def __init__(self, node):
        self._clock = node.environment.clock
        self._random = node.environment.random
        self._configuration = node.configuration
        self._node = node.settings.node
        self._ratings = node.ratings
        self._rollouts = node.rollouts
        # The record must replace the one from before a restart of the node.
        counter = int(self._clock.wall() * 1000)
        self._learner = learner.Learner(counter)
        self._audits: collections.deque[Audit] = collections.deque()
        self._audit_added = anyio.Event()
        self._recorded_at = -RECORD_INTERVAL_S
        self._record: ttypes.LearnedRecord | None = None
        self._received_at: dict[ids.NodeId, float] = {}

    def choose(self, job: jobs.Job) -> cascade.Choice:
        """Returns the steps on which a job may run."""
        kind, organisation = job.kind_id, job.organisation_id
        balance = self._learner.balance(organisation, kind)
        balance.note_job(job.streamed)
        rating_works = self._ratings.is_available
        return cascade.choose(
            cascade.ChoiceInputs(
                steps=self.describe(job),
                target=job.kind.quality_target,
                confidence=job.kind.confidence,
                seconds_left=job.deadline - self._clock.now(),
                streamed=job.streamed,
                rating=cascade.RatingState.WORKS
                if rating_works
                else cascade.RatingState.DOWN,
                rating_seconds=self._ratings.expected_s,
                deficit=self._learner.deficit(organisation, kind),
                streamed_share=balance.streamed_share,
            ),
            self._random,
        )

    def describe(self, job: jobs.Job) -> list[cascade.Step]:
        """Returns the estimates for each step of a job's cascade."""
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
        """Learns the cost and the time in seconds of a step's answer."""
        self._learner.note_run(make_key(job, index, start), cost, seconds)

    def note_rating(self, job, index, start, version, good: bool) -> None:
        """Learns a rating made before the answer was returned."""
        self._learn_rating(job, make_key(job, index, start), version, good)

    def note_returned(self, job: jobs.Job, good: bool, probability=1.0) -> None:
        """Counts a rated answer that is returned to the caller."""
        balance = self._learner.balance(job.organisation_id, job.kind_id)
        balance.note_answer(job.kind.quality_target, good, probability)

    def _learn_rating(self, job, key: learner.Key, version, good: bool) -> None:
        self._rollouts.note_rating(key.model, version, good)
        if self._learner.note_rating(key, good):
            events.log(
                events.Event.QUALITY_CHANGED,
                organisation=job.organisation_id,
                kind=job.kind_id,
                model=key.model,
                good=round(self._learner.posterior(key).mean, 3),
            )

    def sample_audit(self, choice: cascade.Choice, facts: jobs.Facts) -> float:
        """Decides at random whether an answer is rated after it is returned.

        Returns:
          The probability with which it was sampled, or 0 if it was not.
        """
        if not self._ratings.is_available:
            return 0.0
        probability = choice.audit_probability
        if self._rollouts.is_canary(facts.model, facts.version):
            probability = 1.0
        return probability if self._random.random() < probability else 0.0

    def audit(
        self, job, index, choice, facts, content: str, probability
    ) -> None:
        """Queues an answer to be rated in the background."""
        if len(self._audits) >= MAX_AUDITS:
            return
        key = make_key(job, index, choice.first)
        text = content[:MAX_AUDIT_CHARACTERS]
        self._audits.append(Audit(job, key, facts.version, text, probability))
        self._audit_added.set()

    async def run(self) -> None:
        """Rates queued answers until cancelled, a few at a time."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CONCURRENT_AUDITS):
                tasks.start_soon(self._rate_audits)

    async def _rate_audits(self) -> None:
        while True:
            while not self._audits:
                self._audit_added = anyio.Event()
                await self._audit_added.wait()
            audit = self._audits.popleft()
            deadline = self._clock.now() + AUDIT_DEADLINE_S
            rating = await self._ratings.rate(
                audit.job, audit.content, deadline
            )
            if rating is None:
                continue
            good = rating >= self._ratings.GOOD_RATING
            self._learn_rating(audit.job, audit.key, audit.version, good)
            self.note_returned(audit.job, good, audit.probability)

    def records(self) -> list[ttypes.LearnedRecord]:
        """Returns the records to gossip: this node's and recent ones."""
        now = self._clock.now()
        if now - self._recorded_at >= RECORD_INTERVAL_S:
            counter, sums = self._learner.record()
            self._record = ttypes.LearnedRecord(self._node, counter, sums)
            self._recorded_at = now
        received = self._learner.records()
        return [self._record] + [
            ttypes.LearnedRecord(node, *received[node])
            for node, at in self._received_at.items()
            if now - at <= FORWARD_S
        ]

    def merge(self, records: list[ttypes.LearnedRecord]) -> None:
        """Replaces the sums of other nodes by newer ones."""
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
                self._received_at[ids.NodeId(record.node)] = now
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        old = [
            node
            for node, at in self._received_at.items()
            if now - at > FORGET_AFTER_S
        ]
        for node in old:
            del self._received_at[node]
            self._learner.remove_node(node)


def make_key(job: jobs.Job, index: int, start: int) -> learner.Key:
    """Returns the key of a step's sums.

    Args:
      job: The job.
      index: Index of the step in the job's cascade.
      start: Index of the step on which the job started.
    """
    entry = learner.Entry.DIRECT if index == start else learner.Entry.ESCALATED
    return learner.Key(
        job.organisation_id, job.kind_id, job.steps[index], entry
    )
