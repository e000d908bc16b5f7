"""Load patterns with a shortage of capacity, for `shortagesim`.

From 20 s to 35 s one organisation sends six times its usual load, or a third
of the upstreams is lost while all send more. Refused callers return after
Retry-After, or at once.
"""

import dataclasses
import random

from radishcourse_model import ids
from radishcourse_policy import overload

UPSTREAMS = 6
SLOTS = 16
# Mean time for which a request holds its slot.
MEAN_RUN_S = 2.0
# Share of all slots that the usual load holds.
USUAL_LOAD = 0.75
DURATION_S, SHORT_FROM_S, SHORT_TO_S = 60.0, 20.0, 35.0
# Usual share of each organisation; the second one sends the burst.
ORGANISATIONS = {
    ids.OrganisationId(f'org-{index}'): weight
    for index, weight in enumerate((6, 4, 1, 1, 1, 1, 1, 1))
}
BURST_ORGANISATION = ids.OrganisationId('org-1')


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of requests.

    Attributes:
      priority: Its priority.
      goal_s: Time to the first token for the full value.
      deadline_s: Time limit.
      share: Its share of the requests.
    """

    priority: int
    goal_s: float
    deadline_s: float
    share: float


KINDS = (
    Kind(0, 1.5, 6.0, 0.3),
    Kind(3, 2.0, 10.0, 0.4),
    Kind(6, 4.0, 20.0, 0.3),
)


@dataclasses.dataclass(frozen=True)
class Case:
    """A load pattern.

    Attributes:
      factor: Load of BURST_ORGANISATION in the shortage, in multiples of its
        usual load.
      others_factor: The same of the other organisations.
      lost: Upstreams that are lost during the shortage.
      patient: Whether refused callers wait for Retry-After.
    """

    factor: float
    others_factor: float
    lost: int
    patient: bool


CASES = {
    'burst': Case(6.0, 1.0, 0, patient=True),
    'lost': Case(1.8, 1.8, 2, patient=True),
    'repeat': Case(1.8, 1.8, 2, patient=False),
    'calm': Case(1.0, 1.0, 0, patient=True),
}


@dataclasses.dataclass(eq=False)
class Request:
    """A request and what became of it.

    Attributes:
      name: Its id.
      organisation: The organisation that sent it.
      kind: Its kind.
      arrived_at: When it first arrived.
      run_s: Time for which it holds a slot.
      first_at: When it began to run, None if it did not.
      ended_at: When it ended, None if it did not.
      repeats: Times it was refused.
      place: Indices of its node and upstream.
      sent_at: When it was last sent.
    """

    name: str
    organisation: ids.OrganisationId
    kind: Kind
    arrived_at: float
    run_s: float
    first_at: float | None = None
    ended_at: float | None = None
    repeats: int = 0
    place: tuple[int, int] = (0, 0)
    sent_at: float = 0.0

    @property
    def deadline(self) -> float:
        """When its caller stops waiting."""
        return self.arrived_at + self.kind.deadline_s

    @property
    def worth(self) -> float:
        """Value if it is served within its goal."""
        return self.run_s

    @property
    def value(self) -> float:
        """Value for its caller; half of it for a late first token."""
        if self.ended_at is None or self.ended_at > self.deadline:
            return 0.0
        late = self.first_at - self.arrived_at > self.kind.goal_s
        return self.worth * (0.5 if late else 1.0)

    def demand(self, now: float) -> overload.Demand:
        """Returns what it asks for at a time."""
        return overload.Demand(
            self.name,
            self.organisation,
            self.kind.priority,
            self.run_s,
            self.kind.goal_s,
            now,
            self.deadline,
            (str(self.kind.priority), ''),
        )


def make_requests(case: Case, seed: int) -> list[Request]:
    """Returns the requests of a run in the order of their arrival."""
    source = random.Random(seed)
    per_s = USUAL_LOAD * UPSTREAMS * SLOTS / MEAN_RUN_S
    total = sum(ORGANISATIONS.values())
    requests = []
    for organisation, weight in ORGANISATIONS.items():
        now = 0.0
        factor = case.others_factor
        if organisation == BURST_ORGANISATION:
            factor = case.factor
        while now < DURATION_S:
            # Thinning: arrivals at the highest rate, of which some are left
            # out.
            now += source.expovariate(per_s * weight / total * max(1, factor))
            short = SHORT_FROM_S <= now < SHORT_TO_S
            if not short and source.random() * max(1, factor) >= 1:
                continue
            [kind] = source.choices(KINDS, [kind.share for kind in KINDS])
            run_s = min(5.0, max(0.2, source.expovariate(1 / MEAN_RUN_S)))
            requests.append(Request('', organisation, kind, now, run_s))
    requests.sort(key=lambda item: item.arrived_at)
    for index, request in enumerate(requests):
        request.name = f'request-{index}'
    return requests
