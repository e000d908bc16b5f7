"""The gateway under a shortage: refusals, larger models, the retry budget."""

import dataclasses
import random
import types

import anyio
import testtools

from radishcourse_gateway import admissions
from radishcourse_gateway import attempttimeout
from radishcourse_gateway import directory as directories
from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import targets
from radishcourse_model import ids
from radishcourse_node import metrics
from radishcourse_policy import clock as clocks
from radishcourse_policy import modelchoice
from radishcourse_policy import overload

SERVICE = ids.ServiceId('engine')
SMALL, LARGE = map(ids.ModelId, ('small', 'large'))
NODES = 73
BOUNDS = gateway_settings.Bounds(repeat_share=0.9, repeat_slack=200)
SLOTS = 64
FULL = overload.Room(SLOTS, 2 * SLOTS, 0.0, 0.0, 1.0)
SAMPLES = gateway_settings.Overload().min_samples
ROUTE = directories.Route(
    name='sized',
    host='site.example',
    prefix='/sized/',
    kind=directories.RequestKind.STREAM,
    shares=(directories.Share(SERVICE, 1.0),),
    timeout_s=20.0,
    goal_s=2.0,
    max_attempts=3,
    resumable=True,
    gap_s=1.2,
    models=(SMALL, LARGE),
)


class _Gateway:
    """The parts of a gateway that these classes use.

    Attributes:
      environment: Clock and random source.
      current_settings: The settings in force.
      peers: The size of the fleet.
      targets: Capacity and work.
      metrics: The metrics.
      timeouts: Not used.
      view: Lists two upstreams.
    """

    def __init__(self, clock, nodes: int = NODES, **fields):
        self.environment = types.SimpleNamespace(
            clock=clock, random=random.Random(1)
        )
        self.current_settings = types.SimpleNamespace(
            value=types.SimpleNamespace(
                bounds=BOUNDS, overload=gateway_settings.Overload(**fields)
            )
        )
        self.peers = types.SimpleNamespace(fleet_size=nodes)
        self.targets = types.SimpleNamespace(service_room=lambda service: FULL)
        self.metrics = metrics.Metrics()
        self.timeouts = None
        self.view = types.SimpleNamespace(usable=lambda service: [1, 2])


class RetryBudgetTest(testtools.TestCase):
    """Guards against streams that break off for lack of a retry token.

    All runs on larger models took the tokens before, so that none was left
    when an upstream crashed.
    """

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)

    def _budgets(self, **fields) -> retrybudgets.RetryBudgets:
        # Before its first request a node may use its share of the slack: two
        # retries with 73 nodes.
        return retrybudgets.RetryBudgets(_Gateway(self.clock, **fields))

    def test_larger_models_leave_a_token_while_attempts_fail(self):
        budgets = self._budgets()
        self.assertTrue(budgets.spend(SERVICE))
        larger = 0
        for index in range(100):
            budgets.note_request(SERVICE)
            larger += budgets.spend_for_larger(SERVICE)
            # The first two requests earn the token that was just spent.
            self.assertTrue(index < 2 or budgets.has_tokens(SERVICE, 1))
        self.assertGreater(larger, 20)

    def test_without_failures_larger_models_may_use_all_tokens(self):
        budgets = self._budgets()
        self.assertTrue(budgets.spend_for_larger(SERVICE))
        self.assertTrue(budgets.spend_for_larger(SERVICE))
        self.assertFalse(budgets.spend_for_larger(SERVICE))

    def test_reserve_ends_with_the_failures(self):
        budgets = self._budgets()
        self.assertTrue(budgets.spend(SERVICE))
        self.assertFalse(budgets.spend_for_larger(SERVICE))
        self.clock.advance(retrybudgets.FAILURE_S + 1)
        self.assertTrue(budgets.spend_for_larger(SERVICE))

    def test_larger_models_may_run_in_a_fleet_with_one_token_a_node(self):
        nodes = int(retrybudgets.USABLE_SHARE * BOUNDS.repeat_slack / 1.1)
        budgets = self._budgets(nodes=nodes)
        self.assertTrue(budgets.spend(SERVICE))
        for _ in range(3):
            budgets.note_request(SERVICE)
        self.assertTrue(budgets.spend_for_larger(SERVICE))

    def _wait(self, budgets, limit_s: float, request_after_s: float) -> bool:
        while budgets.spend(SERVICE):
            pass

        async def earn() -> None:
            await anyio.sleep(request_after_s)
            budgets.note_request(SERVICE)
            budgets.note_request(SERVICE)

        async def run() -> bool:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(earn)
                got = await budgets.wait_and_spend(SERVICE, limit_s)
                tasks.cancel_scope.cancel()
            return got

        return anyio.run(run)

    def test_failed_request_waits_for_the_next_token(self):
        self.clock = clocks.SystemClock()
        self.assertTrue(self._wait(self._budgets(), 5.0, 0.1))

    def test_failed_request_waits_no_longer_than_its_limit(self):
        self.clock = clocks.SystemClock()
        self.assertFalse(self._wait(self._budgets(), 0.1, 5.0))

    def test_nothing_waits_for_a_token_that_never_comes(self):
        budgets = self._budgets(nodes=1000)
        self.assertFalse(self._wait(budgets, 1000.0, 0.0))


class AdmissionsTest(testtools.TestCase):
    """Guards against refusals without need, and against waits without end."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.gateway = _Gateway(self.clock)
        self.admissions = self._make_admissions()

    def _make_admissions(self) -> admissions.Admissions:
        budgets = retrybudgets.RetryBudgets(self.gateway)
        for _ in range(10):
            budgets.note_request(SERVICE)
        return admissions.Admissions(
            self.gateway,
            budgets,
            attempttimeout.AttemptTimeout(self.gateway, budgets),
        )

    def _request(self, left_s: float = 5.0, **fields):
        now = self.clock.now()
        request = inboundrequest.InboundRequest(
            request_id='request',
            method=b'POST',
            target=b'/sized/1',
            headers=[],
            body=b'',
            arrived_at=now,
            route=ROUTE,
            organisation=directories.Organisation(ids.OrganisationId('first')),
            deadline=now + left_s,
            size=modelchoice.RequestSize(800, 290),
        )
        return dataclasses.replace(request, **fields)

    def _plan(self) -> targets.Plan:
        return targets.Plan(model=SMALL, service=SERVICE)

    def _serve(self, head_s: float, run_s: float = 1.0, model=SMALL) -> None:
        """Serves some requests that wait for their heads for some time."""
        request, plan = self._request(), self._plan()
        plan.model = model
        for _ in range(SAMPLES):
            with self.admissions.watch(plan):
                self.clock.advance(head_s)
                self.admissions.note_head(request, plan)
            self.admissions.note_done(request, plan, run_s)
            # They wait one beside the other.
            self.clock.advance(-head_s)
        self.clock.advance(head_s)

    def _refusal(self, request) -> errors.Refusal:
        return self.assertRaises(
            errors.Refusal, self.admissions.admit, request, self._plan()
        )

    def test_unservable_request_is_refused_before_it_is_sent(self):
        self._serve(head_s=6.0)
        plan = self._plan()
        refusal = self.assertRaises(
            errors.Refusal, self.admissions.admit, self._request(), plan
        )
        self.assertIs(errors.Reason.OVERLOADED, refusal.reason)
        self.assertTrue(0 < refusal.retry_after_s <= 5.0 / 3)
        self.assertFalse(plan.may_have_run)
        self.assertIn(
            'radishcourse_overload_total{organisation="first",kind="stream",'
            'decision="unservable"} 1\n',
            self.gateway.metrics.render({}),
        )

    def test_caller_that_returns_with_a_new_id_is_recognised(self):
        # Guards against a turn that is lost because attempts have new ids.
        parts = inboundrequest.PromptParts(('shared',), 'own')
        demands = [
            admissions._demand(request, self._plan()).request
            for request in (
                self._request(parts=parts),
                self._request(parts=parts, request_id='second'),
                self._request(request_id='third'),
            )
        ]
        self.assertEqual(demands[0], demands[1])
        self.assertEqual('third', demands[2])

    def test_observed_wait_counts_only_above_what_goals_allow(self):
        # Guards against runs of larger models while upstreams are slow: the
        # work that is known there does not show it.
        self.assertEqual(0.0, self.admissions.excess_wait_s(SERVICE))
        self.admissions.admit(self._request(), self._plan())
        self._serve(head_s=0.1)
        self.assertEqual(0.0, self.admissions.excess_wait_s(SERVICE))
        self.admissions.admit(self._request(), self._plan())
        self._serve(head_s=6.0)
        allowed_s = gateway_settings.Overload().goal_factor * ROUTE.goal_s
        self.assertAlmostEqual(
            6.0 - allowed_s, self.admissions.excess_wait_s(SERVICE)
        )

    def test_nothing_is_refused_while_responses_are_quick(self):
        self._serve(head_s=0.1)
        for _ in range(200):
            self.admissions.admit(self._request(), self._plan())

    def test_nothing_is_refused_when_it_is_turned_off(self):
        self.gateway = _Gateway(self.clock, enabled=False)
        self.admissions = self._make_admissions()
        self._serve(head_s=6.0)
        self.admissions.admit(self._request(), self._plan())

    def test_capacity_is_not_read_for_each_request(self):
        reads = []

        def read(service):
            reads.append(service)
            return FULL

        self.gateway.targets.service_room = read
        self._serve(head_s=6.0)
        for _ in range(100):
            self._refusal(self._request())
        self.assertEqual(1, len(reads))

    def test_lines_of_refusals_are_bounded(self):
        lines = []
        self.patch(
            admissions.events,
            'log',
            lambda event, **fields: lines.append(fields),
        )
        self._serve(head_s=6.0)
        for _ in range(100):
            self._refusal(self._request())
        self.assertEqual(admissions.MAX_LOGGED_PER_S, len(lines))
        self.clock.advance(1.0)
        self._refusal(self._request())
        self.assertEqual(100 - len(lines) + 1, lines[-1]['omitted'])

    def test_answer_at_hand_is_kept_in_a_shortage(self):
        self.admissions.admit(self._request(), self._plan())
        self._serve(head_s=1.0)
        request = self._request(left_s=20.0)
        may_escalate = self.admissions.may_escalate
        self.assertFalse(may_escalate(request, self._plan(), LARGE))

    def test_answer_at_hand_is_kept_when_the_larger_model_ends_too_late(self):
        self._serve(head_s=0.1, run_s=6.0, model=LARGE)
        may_escalate = self.admissions.may_escalate
        late, early = self._request(left_s=5.0), self._request(left_s=9.0)
        self.assertFalse(may_escalate(late, self._plan(), LARGE))
        self.assertTrue(may_escalate(early, self._plan(), LARGE))

    def test_answer_at_hand_is_kept_when_the_goal_would_be_missed(self):
        self.gateway.targets.service_room = lambda service: dataclasses.replace(
            FULL, best_excess=0.0
        )
        self._serve(head_s=1.5)
        arrived_at = self.clock.now() - 1.0
        late = self._request(left_s=20.0, arrived_at=arrived_at)
        early = self._request(left_s=20.0)
        may_escalate = self.admissions.may_escalate
        self.admissions.admit(early, self._plan())
        self.assertFalse(may_escalate(late, self._plan(), LARGE))
        self.assertTrue(may_escalate(early, self._plan(), LARGE))

    def test_larger_model_runs_when_nothing_is_known(self):
        may_escalate = self.admissions.may_escalate
        self.assertTrue(may_escalate(self._request(), self._plan(), LARGE))

    def test_third_full_upstream_is_not_asked_without_time_for_it(self):
        plan = self._plan()
        request = self._request(left_s=0.6, arrived_at=self.clock.now() - 1)
        plan.tried.add('first')
        self.assertTrue(self.admissions.has_time(request, plan))
        plan.tried.add('second')
        # Nothing is known, but two attempts took half a second each.
        self.assertTrue(self.admissions.has_time(request, plan))
        late = self._request(left_s=0.4, arrived_at=self.clock.now() - 1)
        self.assertFalse(self.admissions.has_time(late, plan))
        # Responses are known to come at once.
        self._serve(head_s=0.1, run_s=0.1)
        deadline = self.clock.now() + 0.4
        late = dataclasses.replace(late, deadline=deadline)
        self.assertTrue(self.admissions.has_time(late, plan))
        self.clock.advance(10.0)
        self._serve(head_s=0.5, run_s=0.1)
        deadline = self.clock.now() + 0.4
        late = dataclasses.replace(late, deadline=deadline)
        self.assertFalse(self.admissions.has_time(late, plan))

    def test_refusal_by_full_upstreams_follows_the_backlog(self):
        # Requests hold a slot for 20 ms, and as many wait as run.
        self._serve(head_s=0.01, run_s=0.01)
        refusal = self.admissions.refuse_full(
            self._request(), self._plan(), Exception('full')
        )
        self.assertLess(refusal.retry_after_s, 0.1)

    def test_refusal_by_full_upstreams_leaves_time_to_return(self):
        for left_s in (0.1, 0.6, 5.0):
            refusal = self.admissions.refuse_full(
                self._request(left_s=left_s), self._plan(), Exception('full')
            )
            self.assertTrue(0 < refusal.retry_after_s <= left_s / 3)
