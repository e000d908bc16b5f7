"""Tests what nodes adopt from the gossip of other nodes."""

import random
import signal
import types

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_node import exchange
from radishcourse_node.controllers import configuration
from radishcourse_node.controllers import freshness
from radishcourse_platform import revisions
from radishcourse_policy import clock as clocks
from radishcourse_policy import freshness as policy
from radishcourse_policy import membership
from radishcourse_wire.gen.peer import ttypes
from tests import cluster as clusters
from tests import fleet

LAST_REVISION = 8


def make_chain() -> tuple[
    list[merge.Document], list[configuration.VerifiedChange]
]:
    """Returns documents by revision, and the changes between them."""
    documents = [
        {'zones': {f'z{index}': {'state': 'in'}
                   for index in range(number)}}
        if number
        else {}
        for number in range(LAST_REVISION + 1)
    ]  # fmt: skip
    changes = [
        configuration.VerifiedChange(
            ids.Revision(number),
            merge.digest(documents[number]),
            merge.diff(documents[number - 1], documents[number]),
        )
        for number in range(1, LAST_REVISION + 1)
    ]
    return documents, changes


DOCUMENTS, CHANGES = make_chain()


def make_configuration():
    clock = clocks.ManualClock(100.0)
    node_freshness = freshness.Freshness(clock)
    return configuration.Configuration(
        None, clock, None, node_freshness
    ), node_freshness


class ConfigurationTest(testtools.TestCase):
    """Guards against a configuration that reverts or was never accepted.

    Changes and snapshots arrive from peers late, repeatedly, out of order or
    with forged content.
    """

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.integers(0, LAST_REVISION),
                strategies.integers(0, LAST_REVISION),
            )
        )
    )
    def test_any_order_of_changes_and_snapshots_never_reverts(self, operations):
        node_configuration, _ = make_configuration()

        async def adopt(whole, first, last):
            if whole and last:
                document = DOCUMENTS[last]
                await node_configuration.adopt_snapshot(
                    revisions.Snapshot(ids.Revision(last), document),
                    merge.digest(document),
                )
            else:
                await node_configuration.adopt_changes(CHANGES[first:last])

        async def main():
            for item in operations:
                before = node_configuration.revision
                await adopt(*item)
                self.assertGreaterEqual(node_configuration.revision, before)
                self.assertEqual(
                    DOCUMENTS[node_configuration.revision],
                    node_configuration.snapshot.document,
                )
                for start in range(LAST_REVISION + 1):
                    passed_on = node_configuration.changes_after(start)
                    if passed_on:
                        self.assertEqual(
                            CHANGES[start : node_configuration.revision],
                            passed_on,
                        )

        anyio.run(main)

    def test_forged_changes_and_snapshots_are_rejected(self):
        node_configuration, _ = make_configuration()
        forged = CHANGES[0]._replace(patch={'zones': {'x': {'state': 'in'}}})
        snapshot = revisions.Snapshot(ids.Revision(3), DOCUMENTS[2])
        for call in (
            lambda: node_configuration.adopt_changes([forged]),
            lambda: node_configuration.adopt_snapshot(
                snapshot, CHANGES[2].digest
            ),
        ):
            self.assertRaises(model_errors.PatchError, anyio.run, call)
        self.assertEqual(0, node_configuration.revision)

    def test_only_the_same_document_confirms(self):
        node_configuration, node_freshness = make_configuration()
        anyio.run(node_configuration.adopt_changes, CHANGES[:2])
        for revision, digest in (
            (1, CHANGES[0].digest),
            (3, CHANGES[2].digest),
            (2, CHANGES[2].digest),
        ):
            node_configuration.confirm(revision, digest, 100.0)
        self.assertIsNone(node_freshness.confirmed_at)
        node_configuration.confirm(2, CHANGES[1].digest, 100.0)
        self.assertEqual(100.0, node_freshness.confirmed_at)

    def test_known_newer_revision_rules_out_an_outage(self):
        node_configuration, node_freshness = make_configuration()
        anyio.run(node_configuration.adopt_changes, CHANGES[:2])
        peer = ids.NodeId('b')
        node_freshness.set_sample(frozenset([peer]))
        node_freshness.note_peer(
            peer, policy.Evidence(100.0, node_configuration.revision, False)
        )
        self.assertIs(policy.View.OUTAGE, node_freshness.view)
        node_freshness.note_newest(ids.Revision(3))
        self.assertIs(policy.View.STALE, node_freshness.view)
        anyio.run(node_configuration.adopt_changes, CHANGES[2:3])
        node_freshness.note_peer(
            peer, policy.Evidence(100.0, node_configuration.revision, False)
        )
        self.assertIs(policy.View.OUTAGE, node_freshness.view)


class ReplySizeTest(testtools.TestCase):
    """Guards against replies that grow with the number of records."""

    def test_replies_hold_some_records_and_always_the_own_one(self):
        record = ttypes.LearnedRecord('a', 1, b'')
        others = [ttypes.LearnedRecord('b', 1, b'') for _ in range(500)]
        node = types.SimpleNamespace(
            settings=None,
            environment=types.SimpleNamespace(
                clock=None, random=random.Random(1)
            ),
            configuration=None,
            freshness=None,
            quality=types.SimpleNamespace(records=lambda: [record, *others]),
        )
        node_exchange = exchange.Exchange(
            node, membership.Members(ids.NodeId('a'))
        )
        sample = node_exchange._sample_records('quality', exchange.MAX_LEARNED)
        self.assertEqual(exchange.MAX_LEARNED, len(sample))
        self.assertIs(record, sample[0])


class MemberTest(testtools.TestCase):
    """Guards against members that are lost, confused or wrongly alive.

    A node may advertise the address of another, drain, and restart as a new
    process under the same id.
    """

    def _await_state(self, cluster, name: str, state: str) -> None:
        clusters.wait_until(
            lambda: fleet.member_states(cluster, 'entry-0').get(name) == state
        )

    def test_members_through_wrong_address_stop_and_restart(self):
        with clusters.running(3, peer_routes={}) as cluster:
            restarted = cluster.names[2]
            # A ready node may not list the other members yet.
            self._await_state(cluster, 'entry-1', 'alive')
            cluster.nodes[restarted].kill()
            neighbour_address = next(
                item['address']
                for item in cluster.status('entry-0')['members']
                if item['node'] == 'entry-1'
            )
            cluster.start_node(
                restarted, peer_advertise=neighbour_address, drain_delay_s=3.0
            )
            cluster.wait_ready()
            first = cluster.status(restarted)['incarnation']

            def knows(incarnation: str) -> bool:
                members = cluster.status('entry-0')['members']
                return incarnation in [item['incarnation'] for item in members]

            clusters.wait_until(lambda: knows(first))
            self._await_state(cluster, restarted, 'alive')
            self._await_state(cluster, 'entry-1', 'alive')
            cluster.nodes[restarted].signal(signal.SIGTERM)
            self._await_state(cluster, restarted, 'leaving')
            cluster.nodes[restarted].popen.wait()
            cluster.start_node(restarted)
            self._await_state(cluster, restarted, 'alive')
            second = cluster.status(restarted)['incarnation']
            self.assertNotEqual(first, second)
            clusters.wait_until(lambda: knows(second))
            self.assertFalse(knows(first))
