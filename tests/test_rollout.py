"""Roll-outs of model versions: sequential tests, tickets, rollback."""

import math
import random

import testtools

from radishcourse_model import ids
from radishcourse_policy import rollout
from radishcourse_policy import sequentialtest
from radishcourse_standins.measure import rollout as measured
from tests import cluster as clusters

NODE = ids.NodeId('a')
REFERENCE = sequentialtest.Tally(2000, 200)


def make_progress() -> rollout.Progress:
    """Returns the progress of a canary that has granted no tickets yet."""
    progress = rollout.Progress(ids.ModelId('m'), ids.VersionId('v2'))
    running = rollout.Outcomes(
        *(sequentialtest.Tally(500, 25) for _ in range(3))
    )
    progress.running = running
    progress.stage = rollout.Stage.CANARY
    progress.slow_seconds = 1.0
    return progress


class SequentialTest(testtools.TestCase):
    """Guards against tests that reject good versions or miss bad ones."""

    def test_repeated_evaluation_rarely_rejects_a_good_version(self):
        source = random.Random(3)
        limit, rejected = math.log(1 / rollout.FALSE_STOP_PROBABILITY), 0
        for _ in range(200):
            tally = sequentialtest.Tally()
            for _ in range(200):
                tally.add(sequentialtest.Tally(1, source.random() < 0.1))
                if sequentialtest.inferiority(tally, REFERENCE) > limit:
                    rejected += 1
                    break
        self.assertLessEqual(rejected, 1)

    def test_change_for_the_worse_is_found_after_many_good_outcomes(self):
        evidence = 0.0
        for _ in range(500):
            good = sequentialtest.Tally(10, 1)
            evidence = sequentialtest.cusum(evidence, good, REFERENCE, 0.1)
        for _ in range(10):
            bad = sequentialtest.Tally(10, 4)
            evidence = sequentialtest.cusum(evidence, bad, REFERENCE, 0.1)
        self.assertGreater(evidence, rollout.CUSUM_LIMIT)


class TicketTest(testtools.TestCase):
    """Guards against exposure that grows with the number of nodes."""

    def test_outstanding_tickets_do_not_grow_with_the_nodes(self):
        progress = make_progress()
        for index in range(50):
            report = rollout.Report(ids.NodeId(str(index)), 1, wanted=8)
            rollout.advance(progress, report, 200)
        self.assertEqual(rollout.MAX_OUTSTANDING, progress.outstanding)

    def test_no_more_tickets_than_the_operator_allows(self):
        progress = make_progress()
        for write in range(100):
            report = rollout.Report(NODE, write, finished=8, wanted=8)
            rollout.advance(progress, report, 20)
        self.assertEqual(20, progress.granted)
        self.assertEqual(rollout.Stage.RETURNED, progress.stage)

    def test_tickets_of_a_lost_node_do_not_halt_the_canary(self):
        progress = make_progress()
        lost = ids.NodeId('lost')
        rollout.advance(progress, rollout.Report(lost, 1, wanted=16), 200)
        waiting = rollout.Report(NODE, 1, wanted=4)
        self.assertEqual(0, rollout.advance(progress, waiting, 200))
        report = rollout.Report(NODE, 2, wanted=4, lost=[lost])
        self.assertEqual(4, rollout.advance(progress, report, 200))

    def test_version_that_was_rolled_back_gets_no_more_jobs(self):
        progress = make_progress()
        bad = rollout.Outcomes(error=sequentialtest.Tally(16, 12))
        report = rollout.Report(NODE, 1, wanted=8, canary=bad)
        self.assertEqual(0, rollout.advance(progress, report, 200))
        self.assertEqual(rollout.Stage.RETURNED, progress.stage)
        good = rollout.Outcomes(error=sequentialtest.Tally(500, 0))
        rollout.advance(progress, rollout.Report(NODE, 2, canary=good), 200)
        self.assertEqual(0.0, progress.share)


class FleetTest(testtools.TestCase):
    """Guards against bad versions that pass and good ones that do not."""

    def test_bad_version_is_rolled_back_within_its_tickets_in_any_fleet(self):
        for nodes in (2, 8):
            run = measured.Fleet(
                nodes, measured.Version(good_probability=0.5), 1
            ).simulate()
            self.assertTrue(run.stopped)
            self.assertLessEqual(run.exposed_jobs, measured.CANARY_JOBS)

    def test_a_good_version_reaches_all_jobs(self):
        run = measured.Fleet(4, measured.GOOD, 1).simulate()
        self.assertEqual((False, True), (run.stopped, run.in_service))


class NodeTest(testtools.TestCase):
    """Guards against nodes that disagree or go on after a rollback."""

    def test_two_nodes_roll_back_a_bad_version_within_its_tickets(self):
        with clusters.running(node_count=2) as cluster:
            document = clusters.make_document(cluster)
            kind = document['organisations']['roofers']['kinds']['tag']
            kind['quality_target'] = 0.5
            document['rollouts'] = {
                'tags-2': {
                    'model': 'small',
                    'from_version': 'v1',
                    'to_version': 'v2',
                    'canary_jobs': 60,
                }
            }
            versions = document['models']['small']['versions']
            versions['v2'] = {**versions['v2'], 'state': 'canary'}
            cluster.control(
                cluster.upstreams['small-1'],
                'settings',
                {'quality': {'small/v2': 0.0, 'small/v1': 1.0}},
            )
            cluster.apply(document)
            key = '/v1/table/row?key=rollout/tags-2'

            def stage() -> str:
                for name in cluster.names:
                    for _ in range(10):
                        reply = cluster.chat(name, kind='tag', max_tokens=2)
                        self.assertEqual(200, reply.status)
                row = cluster.get(cluster.platform, key)
                return row.json['value']['stage'] if row.status == 200 else ''

            clusters.wait_until(lambda: stage() == 'returned')
            row = cluster.get(cluster.platform, key).json['value']
            self.assertEqual('rating', row['reason'])
            clusters.wait_until(
                lambda: all(
                    '"returned"' in log
                    for log in (
                        node.log.read_text() for node in cluster.nodes.values()
                    )
                )
            )
            served = [item['version'] for item in cluster.served('small-1')]
            self.assertLessEqual(served.count('v2'), 60)
            before = served.count('v2')
            stage()
            served = [item['version'] for item in cluster.served('small-1')]
            self.assertEqual(before, served.count('v2'))
