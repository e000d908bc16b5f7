"""The number of a service's workers under each load pattern, simulated."""

import dataclasses
import itertools
import random

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_policy import autoscaling
from radishcourse_policy import workload
from radishcourse_standins.measure import autoscaling as measured
from radishcourse_standins.measure import scalingworld

ZONE, OTHER = ids.ZoneId('zone-a'), ids.ZoneId('zone-b')
OLD, NEW = ids.VersionId('v1'), ids.VersionId('v2')
LIMITS = autoscaling.Limits(10, 23, 8.0)
SLOTS = 16
WINDOW_S = autoscaling.WAVE_S + LIMITS.boot_s
READY, COLD = workload.WorkerState.READY, workload.WorkerState.COLD
DRAINING = workload.WorkerState.DRAINING


def _workers(zone, count, version=OLD, state=READY, first=0):
    return {
        ids.UpstreamId(f'{zone}-{version}-{number}'): workload.Worker(
            zone, version, SLOTS, state
        )
        for number in range(first, first + count)
    }


def _snapshot(workers, share, nodes=4, ages=(), **fields):
    """Returns a snapshot whose nodes see a share of the slots in use."""
    requests = {
        name: share * SLOTS / nodes
        for name, worker in workers.items()
        if worker.version == OLD
    }
    reports = [
        workload.Report(ages[node] if node < len(ages) else 0.0, requests)
        for node in range(nodes)
    ]
    return workload.Snapshot(workers, reports, nodes, **fields)


class _Case(testtools.TestCase):
    """Plays snapshots, one each second."""

    def setUp(self):
        super().setUp()
        self.scaler = autoscaling.Scaler(LIMITS)
        self.now = 100.0

    def play(self, seconds, snapshot, zone=ZONE):
        """Returns the numbers that are ordered for a zone in some seconds."""
        counts = []
        for _ in range(seconds):
            decision = self.scaler.decide(snapshot, self.now).get(zone)
            if decision is not None and decision.count is not None:
                counts.append(decision.count)
            self.now += 1
        return counts

    def last(self, snapshot, zone=ZONE):
        """Returns the decision of the next second."""
        self.now += 1
        return self.scaler.decide(snapshot, self.now)[zone]

    def adopt(self, count=12, share=0.6):
        """Makes the policy know a zone's number."""
        snapshot = _snapshot(_workers(ZONE, count), share)
        self.assertEqual([count], self.play(10, snapshot))


class GrowthTest(_Case):
    """Guards against workers that come too late, and against too many."""

    def test_high_load_adds_workers_at_once(self):
        self.adopt()
        counts = self.play(1, _snapshot(_workers(ZONE, 12), 1.0))
        self.assertEqual([19], counts)

    def test_ordered_workers_count_while_they_boot(self):
        self.adopt()
        snapshot = _snapshot(_workers(ZONE, 12), 1.0)
        self.assertEqual([19], self.play(8, snapshot))

    def test_load_of_a_queue_never_exceeds_the_limit(self):
        self.adopt()
        counts = self.play(8, _snapshot(_workers(ZONE, 12), 6.0))
        self.assertEqual([23], counts)

    def test_crashed_workers_are_not_replaced(self):
        self.adopt()
        workers = _workers(ZONE, 8)
        # The work of twelve workers at 0.6 waits at eight.
        self.assertEqual([], self.play(5, _snapshot(workers, 0.9)))

    def test_requests_that_wait_at_single_workers_add_one(self):
        self.adopt()
        workers = _workers(ZONE, 12)
        snapshot = _snapshot(workers, 0.4)
        busy = dict.fromkeys(itertools.islice(workers, 2), 2 * SLOTS)
        snapshot.reports.append(workload.Report(0.0, busy))
        snapshot = dataclasses.replace(snapshot, nodes=5)
        self.assertEqual([13], self.play(3, snapshot))

    def test_reports_that_are_missing_count_as_the_mean(self):
        self.adopt()
        stale = _snapshot(_workers(ZONE, 12), 1.0, ages=(60.0,))
        self.assertEqual([19], self.play(1, stale))

    def test_work_of_an_evacuated_zone_is_expected_in_the_others(self):
        workers = _workers(ZONE, 12) | _workers(OTHER, 12)
        self.play(10, _snapshot(workers, 0.6))
        out = _snapshot(workers, 0.6, zones_out={OTHER})
        self.assertEqual([23], self.play(1, out))
        self.assertEqual([], self.play(5, out, OTHER))


class ShrinkTest(_Case):
    """Guards against idle workers, and against workers that are missed."""

    def test_idle_workers_leave_one_by_one(self):
        self.adopt(14)
        counts, times = [], []
        count = 14
        for _ in range(80):
            decision = self.last(_snapshot(_workers(ZONE, count), 0.2))
            if decision.count is not None:
                count = decision.count
                counts.append(count)
                times.append(self.now)
        self.assertEqual([13, 12, 11, 10], counts)
        self.assertGreaterEqual(times[0] - 110, WINDOW_S - 10)
        for earlier, later in itertools.pairwise(times):
            self.assertGreaterEqual(later - earlier, LIMITS.boot_s)

    def test_peak_of_a_wave_keeps_workers(self):
        self.adopt(20)
        workers = _workers(ZONE, 20)
        counts = []
        for second in range(120):
            share = 0.64 if second % 17 < 5 else 0.1
            counts += self.play(1, _snapshot(workers, share))
        self.assertEqual([], counts)

    def test_next_worker_leaves_after_the_last_has_drained(self):
        self.adopt(20, share=0.2)
        workers = _workers(ZONE, 20)
        counts = self.play(60, _snapshot(workers, 0.2))
        self.assertEqual(18, counts[0])
        draining = _workers(ZONE, 18) | _workers(
            ZONE, 2, state=DRAINING, first=18
        )
        self.assertEqual([], self.play(60, _snapshot(draining, 0.2)))
        drained = _snapshot(_workers(ZONE, 18), 0.2)
        self.assertEqual([16], self.play(5, drained))

    def test_no_worker_leaves_during_a_roll_out(self):
        self.adopt(20)
        workers = _workers(ZONE, 20) | _workers(ZONE, 20, version=NEW)
        rolling = _snapshot(workers, 0.1, rolling=True)
        self.assertEqual([], self.play(120, rolling))

    def test_no_worker_leaves_a_zone_that_is_back_cold(self):
        self.adopt(20)
        workers = _workers(ZONE, 20)
        out = _snapshot(workers, 0.0, zones_out={ZONE})
        self.assertEqual([], self.play(60, out))
        cold = _snapshot(_workers(ZONE, 20, state=COLD), 0.1)
        self.assertEqual([], self.play(20, cold))
        # The window begins when the zone is back.
        self.assertEqual([], self.play(5, _snapshot(workers, 0.1)))

    def test_no_worker_leaves_while_one_is_cold(self):
        self.adopt(20)
        cold = _workers(ZONE, 19) | _workers(ZONE, 1, state=COLD, first=19)
        self.assertEqual([], self.play(60, _snapshot(cold, 0.1)))
        warm = _snapshot(_workers(ZONE, 20), 0.1)
        self.assertEqual([18], self.play(3, warm))

    def test_worker_added_for_a_queue_stays_for_a_wave_and_a_boot(self):
        self.adopt()
        self.play(30, _snapshot(_workers(ZONE, 12), 0.6))
        workers = _workers(ZONE, 12)
        snapshot = _snapshot(workers, 0.2)
        busy = dict.fromkeys(itertools.islice(workers, 2), 2 * SLOTS)
        snapshot.reports.append(workload.Report(0.0, busy))
        snapshot = dataclasses.replace(snapshot, nodes=5)
        self.assertEqual([13], self.play(1, snapshot))
        steady = _snapshot(_workers(ZONE, 13), 0.5, nodes=5)
        self.assertEqual([], self.play(int(WINDOW_S) - 1, steady))
        self.assertEqual([12], self.play(3, steady))

    def test_no_worker_leaves_a_lost_zone(self):
        self.adopt(20)
        lost = _snapshot(_workers(OTHER, 12), 0.1)
        self.assertEqual([], self.play(60, lost))
        back = _snapshot(_workers(ZONE, 20), 0.1)
        self.assertEqual([], self.play(int(WINDOW_S) - 1, back))

    def test_lowered_limit_is_reached_in_steps(self):
        self.adopt(20)
        self.scaler.limits = autoscaling.Limits(10, 17, 8.0)
        count, counts = 20, []
        for _ in range(60):
            snapshot = _snapshot(_workers(ZONE, count), 0.62 * 20 / count)
            decision = self.last(snapshot)
            if decision.count is not None:
                count = decision.count
                counts.append(count)
        self.assertEqual([18, 17], counts)

    def test_raised_limit_holds_at_once(self):
        self.adopt(12)
        self.scaler.limits = autoscaling.Limits(15, 23, 8.0)
        counts = self.play(1, _snapshot(_workers(ZONE, 12), 0.6))
        self.assertEqual([15], counts)


class KnowledgeTest(_Case):
    """Guards against decisions from data that is old or partial."""

    def test_stale_reports_of_half_of_the_nodes_hold(self):
        self.adopt()
        workers = _workers(ZONE, 12)
        stale = _snapshot(workers, 2.0, ages=(30.0, 30.0))
        self.assertIs(autoscaling.Reason.STALE, self.last(stale).reason)
        self.assertEqual([], self.play(60, stale))

    def test_half_of_the_fleet_cut_off_holds_longer_than_a_day(self):
        self.adopt(20)
        # The other half is no longer alive for this node.
        half = _snapshot(_workers(ZONE, 20), 0.1, nodes=2)
        self.assertEqual([], self.play(100, half))

    def test_a_lost_zone_of_nodes_holds_what_is_idle(self):
        self.adopt(20)
        most = _snapshot(_workers(ZONE, 20), 0.1, nodes=3)
        self.assertEqual([], self.play(100, most))
        busy = _snapshot(_workers(ZONE, 20), 1.0, nodes=3)
        self.assertEqual([23], self.play(3, busy))

    def test_pause_of_the_process_begins_a_new_window(self):
        self.adopt(20)
        idle = _snapshot(_workers(ZONE, 20), 0.1)
        self.play(20, idle)
        self.now += 30
        self.assertEqual([], self.play(int(WINDOW_S), idle))
        self.assertEqual([18], self.play(2, idle))

    def test_work_at_unlisted_workers_is_left_out(self):
        self.adopt()
        snapshot = _snapshot(_workers(ZONE, 12), 0.6)
        snapshot.reports.append(workload.Report(0.0, {'gone': 10**6}))
        snapshot = dataclasses.replace(snapshot, nodes=5)
        self.assertEqual([], self.play(3, snapshot))

    def test_nothing_listed_holds(self):
        empty = workload.Snapshot({}, [workload.Report(0.0, {})], 1)
        self.assertEqual([], self.play(60, empty))


class HolderTest(_Case):
    """Guards against a new holder that undoes what the last one ordered."""

    def test_workers_that_boot_are_awaited(self):
        self.play(6, _snapshot(_workers(ZONE, 12), 0.5))
        counts = self.play(10, _snapshot(_workers(ZONE, 19), 0.5))
        self.assertEqual([19], counts)

    def test_workers_that_crash_meanwhile_are_not_given_up(self):
        self.play(3, _snapshot(_workers(ZONE, 12), 0.5))
        counts = self.play(10, _snapshot(_workers(ZONE, 8), 0.7))
        self.assertEqual([12], counts)

    def test_high_load_does_not_wait(self):
        counts = self.play(1, _snapshot(_workers(ZONE, 12), 1.0))
        self.assertEqual([19], counts)

    def test_roll_out_delays_the_first_order(self):
        workers = _workers(ZONE, 12) | _workers(ZONE, 5, version=NEW)
        rolling = _snapshot(workers, 0.5, rolling=True)
        self.assertEqual([], self.play(30, rolling))
        counts = self.play(5, _snapshot(_workers(ZONE, 12), 0.5))
        self.assertEqual([12], counts)

    def test_number_above_the_limit_is_not_cut_at_once(self):
        counts = self.play(11, _snapshot(_workers(ZONE, 30), 0.5))
        self.assertEqual([27], counts)

    def test_workers_that_did_not_leave_are_asked_again(self):
        self.adopt(14)
        idle = _snapshot(_workers(ZONE, 14), 0.2)
        counts = self.play(120, idle)
        self.assertEqual({13}, set(counts))
        self.assertGreater(len(counts), 1)


class PatternTest(testtools.TestCase):
    """Guards against lost answers, flapping and waste under each pattern.

    The load of a world is random; the bounds hold for the seeds in use.
    """

    def test_each_pattern_loses_little_against_the_most_workers(self):
        for pattern in measured.PATTERNS:
            chosen = measured.run('chosen', pattern, 1)
            most = measured.run('fixed, most', pattern, 1)
            lost = (most.value - chosen.value) / most.offered
            self.assertLess(lost, 0.01, pattern)
            self.assertLess(chosen.worker_s, 0.9 * most.worker_s, pattern)

    def test_rise_and_lull_are_followed(self):
        rise = measured.run('chosen', 'rise', 1)
        lull = measured.run('chosen', 'lull', 1)
        for zone in scalingworld.ZONES:
            self.assertGreaterEqual(rise.orders[zone][-1][1], 20)
            self.assertEqual(10, lull.orders[zone][-1][1])

    def test_no_number_falls_soon_after_it_rose(self):
        for pattern in measured.PATTERNS:
            orders = measured.run('chosen', pattern, 2).orders
            for changes in orders.values():
                for first, second, third in zip(
                    changes, changes[1:], changes[2:], strict=False
                ):
                    if first[1] < second[1] > third[1]:
                        self.assertGreaterEqual(third[0] - second[0], WINDOW_S)

    def test_numbers_stay_while_half_of_the_fleet_is_cut_off(self):
        orders = measured.run('chosen', 'half cut off', 1).orders
        # Reports stay fresh for some seconds after the cut.
        begin = 20 + workload.MAX_REPORT_AGE_S
        times = [at for changes in orders.values() for at, _ in changes]
        self.assertEqual([], [at for at in times if begin < at < 70])


class AnyLoadTest(testtools.TestCase):
    """Guards against numbers outside of the limits, whatever is reported."""

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=50, deadline=None)
    def test_orders_stay_in_the_limits_and_change_slowly(self, seed):
        source = random.Random(seed)
        scaler = autoscaling.Scaler(LIMITS)
        now, last, rose_at = 0.0, None, -100.0
        for _ in range(100):
            now += source.choice((0.25, 1.0, 1.0, 7.0))
            workers = _workers(ZONE, source.randint(0, 23))
            workers |= _workers(
                ZONE, source.randint(0, 2), state=DRAINING, first=50
            )
            snapshot = _snapshot(
                workers,
                source.uniform(0, 2),
                nodes=source.randint(1, 8),
                ages=[source.uniform(0, 15) for _ in range(8)],
                rolling=source.random() < 0.1,
                zones_out={ZONE} if source.random() < 0.1 else (),
            )
            decision = scaler.decide(snapshot, now).get(ZONE)
            if decision is None or decision.count is None:
                continue
            self.assertTrue(10 <= decision.count <= 23)
            if last is not None and decision.count < last:
                self.assertGreaterEqual(now - rose_at, WINDOW_S)
                self.assertGreaterEqual(decision.count, last - 2)
            if last is None or decision.count > last:
                rose_at = now
            last = decision.count
