"""Configuration takes effect in time and never reverts, under failures."""

import json
import signal
import threading
import time

import testtools

from radishcourse_policy import freshness
from tests import cluster as clusters
from tests import fleet
from tests import operators

# Required limit between acceptance of a change and the last new work that it
# forbids.
MAX_EFFECT_DELAY_S = 3.0
ENGINES = ('small-1', 'small-2', 'large-1')


def make_document(cluster, changed: bool):
    """Returns a document, before or after three changes at once.

    The changes withdraw version v1 of the small model, withdraw the
    organisation's permission for version v1 of the large one, and take the
    availability zone of engine small-2 out of service.
    """
    document = clusters.make_document(cluster)
    shares = (0, 100) if changed else (50, 50)
    for model in document['models'].values():
        for version, share in zip(('v1', 'v2'), shares, strict=True):
            model['versions'][version] = {
                **model['versions'][version],
                'share': share,
            }
    document['cascades']['surveys'] = {'steps': ['large']}
    roofers = document['organisations']['roofers']
    roofers['kinds']['survey'] = {'cascade': 'surveys'}
    if changed:
        document['models']['small']['versions']['v1']['state'] = 'withdrawn'
        roofers['allowed']['large'] = ['v2']
        zone = document['upstreams']['small-2']['zone']
        document['zones'][zone] = {'state': 'out'}
    return document


def forbidden_starts(cluster) -> list[float]:
    """Returns the start times of work that the changed document forbids."""
    return sorted(
        job['at']
        for engine in ENGINES
        for job in cluster.served(engine)
        if engine == 'small-2' or job['version'] == 'v1'
    )


class WithdrawalTest(testtools.TestCase):
    """Guards against new work that a change of configuration forbids.

    Nodes may miss the change because they are paused, cut off, or cut off in
    one direction only.
    """

    def test_no_node_starts_forbidden_work_after_the_limit(self):
        with clusters.running(8, ENGINES, ()) as cluster:
            cluster.apply(make_document(cluster, False))
            cluster.wait_revision(2)
            paused, isolated, no_answers, no_requests = cluster.names[-4:]
            healthy = cluster.names[:4]
            with fleet.traffic(
                cluster, ('tag', 'survey'), senders=2
            ) as traffic:
                clusters.wait_until(lambda: len(forbidden_starts(cluster)) > 20)
                cluster.nodes[paused].signal(signal.SIGSTOP)
                cluster.cut_off(isolated, 'blackhole')
                fleet.cut_outgoing_links(cluster, no_answers, 'answers')
                fleet.cut_outgoing_links(cluster, no_requests, 'requests')
                accepted = time.monotonic()
                cluster.apply(make_document(cluster, True))
                fleet.sleep_until(accepted + 4)
                cluster.nodes[paused].signal(signal.SIGCONT)
                fleet.sleep_until(accepted + 6)
                unready = [
                    fleet.is_ready(cluster, name)
                    for name in (isolated, no_answers, no_requests)
                ]
                refused = traffic.select(
                    (isolated, no_answers, no_requests),
                    accepted + MAX_EFFECT_DELAY_S,
                    accepted + 6,
                )
                served = traffic.select(healthy, accepted, accepted + 6)
            starts = forbidden_starts(cluster)
            late = [at - accepted for at in starts
                    if at > accepted + MAX_EFFECT_DELAY_S]  # fmt: skip
            self.assertEqual([], late)
            self.assertEqual([False] * 3, unready)
            self.assertEqual(
                {(503, 'stale_view', 'not_run')},
                {(item.status, item.code, item.outcome) for item in refused},
            )
            good = [item for item in served if item.status == 200]
            self.assertGreater(len(good), 0.9 * len(served))
            resumed = cluster.status(paused)
            self.assertEqual(3, resumed['revision'])
            self.assertEqual('confirmed', resumed['view'])


class MinorityTest(testtools.TestCase):
    """Guards against a cut-off minority that serves as if it were the fleet."""

    def test_minority_refuses_also_after_it_judges_the_others_dead(self):
        with clusters.running(6, gossip_s=0.25) as cluster:
            minority = cluster.names[:2]
            for name in minority:
                clusters.wait_until(
                    lambda name=name: (
                        len(fleet.member_states(cluster, name)) == 5
                    )
                )
            links = [
                link
                for name in minority
                for other in (*cluster.names[2:], 'platform')
                for link in (f'{name}>{other}', f'{other}>{name}')
                if not link.startswith('platform')
            ]
            cluster.fault('refuse', links)
            cut_at = time.monotonic()
            other = cluster.names[2]

            def others_are_dead() -> bool:
                seen = fleet.member_states(cluster, minority[0])
                return seen[other] == 'dead' and seen[minority[1]] == 'alive'

            clusters.wait_until(others_are_dead)
            # Members must count against the minority even when long dead.
            fleet.sleep_until(cut_at + 8)
            for name in minority:
                reply = cluster.chat(name, 'tag')
                self.assertEqual(
                    (503, 'stale_view', 'not_run'),
                    (
                        reply.status,
                        reply.code,
                        reply.headers['x-radish-outcome'],
                    ),
                )
                page = cluster.get(cluster.nodes[name], '/readyz')
                self.assertEqual(503, page.status)
                self.assertIn(b'stale_view', page.body)
            self.assertEqual(200, cluster.chat(other, 'tag').status)
            self.assertEqual(
                'dead', fleet.member_states(cluster, other)[minority[0]]
            )
            cluster.fault('pass', links)
            cluster.wait_ready()


class OutageTest(testtools.TestCase):
    """Guards against a platform outage that stops the service."""

    def test_service_continues_in_an_outage_seen_by_all_nodes(self):
        for mode in ('down', 'hang'):
            with clusters.running(5) as cluster:
                steady, restarted = cluster.names[:4], cluster.names[4]
                with fleet.traffic(cluster, nodes=steady) as traffic:
                    time.sleep(1)
                    cluster.platform_fault(mode)
                    began = time.monotonic()
                    cluster.nodes[restarted].kill()
                    fleet.sleep_until(
                        began + freshness.MAX_CONFIRMATION_AGE_S + 0.5
                    )
                    cluster.start_node(restarted)
                    cluster.wait_ready([restarted])
                    status = cluster.status(restarted)
                    reply = cluster.chat(restarted, 'tag')
                    fleet.sleep_until(began + 6)
                    views = {cluster.status(name)['view'] for name in steady}
                    seen = traffic.select(steady, began, began + 6)
                self.assertEqual((1, 200), (status['revision'], reply.status))
                self.assertEqual({'outage'}, views)
                bad = [item for item in seen if item.status != 200]
                self.assertEqual([], bad, mode)
                cluster.platform_fault('up')
                cluster.apply(make_document_with_tag(cluster, 7))
                cluster.wait_revision(2)

    def test_minority_cut_off_during_an_outage_refuses(self):
        with clusters.running(4) as cluster:
            alone = cluster.names[0]
            cluster.platform_fault('down')
            cluster.cut_off(alone)
            clusters.wait_until(lambda: not fleet.is_ready(cluster, alone))
            self.assertEqual('stale_view', cluster.chat(alone, 'tag').code)
            self.assertEqual(200, cluster.chat('entry-1', 'tag').status)


def make_document_with_tag(cluster, weight: int):
    """Returns the default document with a changed weight of kind `tag`."""
    document = clusters.make_document(cluster)
    kinds = document['organisations']['roofers']['kinds']
    kinds['tag'] = {**kinds['tag'], 'weight': weight}
    return document


class RevisionTest(testtools.TestCase):
    """Guards against a configuration that reverts to an older revision."""

    def test_stale_reads_neither_confirm_nor_hide_a_change(self):
        with clusters.running(2, ENGINES, ()) as cluster:
            cluster.apply(make_document(cluster, False))
            cluster.wait_revision(2)
            with fleet.traffic(cluster, ('tag', 'survey')) as traffic:
                clusters.wait_until(lambda: len(forbidden_starts(cluster)) > 20)
                cluster.platform_fault('stale_reads')
                accepted = time.monotonic()
                cluster.apply(make_document(cluster, True))
                fleet.sleep_until(accepted + MAX_EFFECT_DELAY_S + 1)
                cluster.platform_fault('up')
            late = [at for at in forbidden_starts(cluster)
                    if at > accepted + MAX_EFFECT_DELAY_S]  # fmt: skip
            self.assertEqual([], late)
            for revisions in traffic.revisions.values():
                self.assertEqual(sorted(revisions), revisions)
                self.assertEqual(3, revisions[-1])

    def test_revision_survives_an_outage_just_after_the_write(self):
        with clusters.running(4) as cluster:
            with fleet.traffic(cluster) as traffic:
                cluster.platform_fault('lose_answers')
                # Only one node can see that the write took effect.
                links = [f'{name}>platform' for name in cluster.names[1:]]
                cluster.fault('refuse', links)
                cluster.apply(make_document_with_tag(cluster, 5))
                clusters.wait_until(
                    lambda: cluster.status('entry-0')['revision'] == 2
                )
                cluster.platform_fault('down')
                cluster.fault('pass', links)
                cluster.wait_revision(2)
                cluster.nodes['entry-0'].kill()
                cluster.start_node('entry-0')
                cluster.wait_ready()
                cluster.wait_revision(2)
                cluster.platform_fault('up')
                racers = self._race(cluster)
                cluster.wait_revision(3)
            for name, revisions in traffic.revisions.items():
                if name != 'entry-0':
                    self.assertEqual(sorted(revisions), revisions)
            statuses = sorted(status for status, _ in racers.values())
            self.assertEqual([0, 3, 3], statuses)
            winner = next(
                author for author, (status, _) in racers.items() if status == 0
            )
            for status, output in racers.values():
                if status:
                    self.assertIn(f'revision 3 by {winner}', output)

    def _race(self, cluster) -> dict[str, tuple[int, str]]:
        results = {}

        def run(index: int) -> None:
            author = f'operator-{index}'
            folder = cluster.started.folder / author
            folder.mkdir()
            document = make_document_with_tag(cluster, 20 + index)
            (folder / '10-all.json').write_text(json.dumps(document))
            results[author] = operators.run(
                ['apply', str(folder), '--base=2'], cluster.platform, author
            )

        threads = [
            threading.Thread(target=run, args=(index,)) for index in range(3)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results
