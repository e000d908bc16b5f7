"""Orders to engines: fencing tokens, and loads of missing versions."""

import types

import anyio
import testtools

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_node import enginecontrol
from radishcourse_node import engines
from radishcourse_node import timeouts
from radishcourse_node.controllers import orders
from radishcourse_policy import clock as clocks
from radishcourse_policy import leases as lease_policy
from tests import cluster as clusters

ENGINE = ids.UpstreamId('small-1')


class FencingTest(testtools.TestCase):
    """Guards against orders that a lapsed lease holder sends to an engine."""

    def _send_orders(self, address: str, epochs, age_s: float, checks: bool):
        """Sends a role order with each epoch; returns the failures."""
        clock = clocks.ManualClock(100.0)
        upstream = schema.Upstream(
            address=address, zone=ids.ZoneId('z'), checks_fencing=checks
        )
        config = schema.Config(upstreams={ENGINE: upstream})

        async def send() -> list[str]:
            own_timeouts = timeouts.Timeouts(clock)
            pools = engines.Pools(own_timeouts)
            failures = []
            for epoch in epochs:
                hold = lease_policy.HeldLease(epoch, 1, 100.0 - age_s, 0.0)
                node = types.SimpleNamespace(
                    environment=types.SimpleNamespace(clock=clock),
                    configuration=types.SimpleNamespace(config=config),
                    settings=types.SimpleNamespace(shards=1),
                    leases=types.SimpleNamespace(
                        held_lease=lambda name, hold=hold: hold,
                        held_epoch=lambda name, hold=hold: hold.epoch,
                    ),
                    upstreams=types.SimpleNamespace(
                        engine=lambda upstream: enginecontrol.Engine(
                            address,
                            pools.get(address),
                            own_timeouts,
                        )
                    ),
                )
                order = enginecontrol.Order('role', 0, role=f'role-{epoch}')
                try:
                    await orders.Orders(node).send(ENGINE, order)
                except orders.OrderError as error:
                    failures.append(str(error))
            await pools.aclose()
            return failures

        return anyio.run(send)

    def test_engine_that_checks_refuses_an_old_token(self):
        with clusters.running(0, ('small-1',), ()) as cluster:
            address = cluster.address('all>small-1')
            failures = self._send_orders(address, (5, 4), 9.0, checks=True)
            self.assertEqual(1, len(failures))
            self.assertIn('409', failures[0])

    def test_engine_that_ignores_tokens_gets_orders_early_in_a_lease_only(self):
        with clusters.running(0, (), ()) as cluster:
            cluster.add_engine('small-1', checks_fencing=False)
            address = cluster.address('all>small-1')
            self.assertEqual(
                [], self._send_orders(address, (5,), 4.0, checks=False)
            )
            late = self._send_orders(address, (6,), 6.0, checks=False)
            self.assertIn('second half', late[0])
            state = cluster.get(cluster.upstreams['small-1'], '/v1/state')
            self.assertEqual('role-5', state.json['role'])

    def test_effect_is_checked_when_the_answer_is_lost(self):
        with clusters.running(0, ('small-1',), ()) as cluster:
            address = cluster.address('all>small-1')
            cluster.fault(
                'reset', ['all>small-1'], direction='answers', after_bytes=9
            )
            failures = self._send_orders(address, (5,), 1.0, checks=True)
            self.assertIn('not confirmed', failures[0])
            state = cluster.get(cluster.upstreams['small-1'], '/v1/state')
            self.assertEqual('role-5', state.json['role'])


class LoadTest(testtools.TestCase):
    """Guards against engines that lack versions that they should serve."""

    def test_missing_versions_are_loaded_from_a_slow_weight_store(self):
        with clusters.running(2, ('large-1',), (), shards=1) as cluster:
            weights = cluster.started.stand_in('weights', per_second=2)
            for name in ('small-1', 'small-2', 'small-3'):
                cluster.add_engine(name, models='small/v0', weights=weights.url)
            cluster.apply(clusters.make_document(cluster))
            for name in ('small-1', 'small-2', 'small-3'):
                engine = cluster.upstreams[name]
                clusters.wait_until(
                    lambda engine=engine: (
                        cluster.get(engine, '/v1/state').json['models']
                        == ['small/v1', 'small/v2']
                    ),
                    40,
                )
            served = cluster.get(weights, '/control/counts').json['served']
            self.assertEqual(6, served)
