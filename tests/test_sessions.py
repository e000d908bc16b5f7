"""Sessions keep their version; tokens can't be forged (guarantee G3)."""

import copy

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_node import sessions
from radishcourse_node import tokens
from tests import cluster as clusters
from tests import streaming

# The probability that all of these stay on the small model is 2e-10.
MAX_OPENINGS = 7
SESSION = jobs.Session('s', 'roofers', 'small', 'v1')


def _key(secret: str, state=states.KeyState.SIGNING) -> schema.SessionKey:
    return schema.SessionKey(secret=secret * 16, state=state)


class TokenTest(testtools.TestCase):
    """Guards against accepting tokens that no configured key signed."""

    @hypothesis.given(strategies.text(max_size=200))
    def test_random_text_is_refused(self, text):
        keys = {'k1': _key('a')}
        with testtools.ExpectedException(tokens.TokenError):
            tokens.verify(text, keys)

    @hypothesis.given(strategies.data())
    def test_changed_and_truncated_tokens_are_refused(self, data):
        keys = {'k1': _key('a')}
        token = tokens.sign(SESSION, keys)
        self.assertEqual(SESSION, tokens.verify(token, keys))
        position = data.draw(strategies.integers(0, len(token) - 2))
        with testtools.ExpectedException(tokens.TokenError):
            tokens.verify(token[:position], keys)
        other = data.draw(strategies.sampled_from('Aa0-_.'))
        if other != token[position]:
            changed = token[:position] + other + token[position + 1 :]
            with testtools.ExpectedException(tokens.TokenError):
                tokens.verify(changed, keys)

    def test_keys_rotate(self):
        old = tokens.sign(SESSION, {'k1': _key('a')})
        accepting = {
            'k1': _key('a', states.KeyState.ACCEPTING),
            'k2': _key('b'),
        }
        self.assertEqual(SESSION, tokens.verify(old, accepting))
        new = tokens.sign(SESSION, accepting)
        self.assertEqual(SESSION, tokens.verify(new, {'k2': _key('b')}))
        for keys in ({'k2': _key('b')}, {'k1': _key('c')}, {}):
            with testtools.ExpectedException(tokens.TokenError):
                tokens.verify(old, keys)


class WithdrawnBeforeAttemptTest(testtools.TestCase):
    """Guards against running a version withdrawn just before the attempt."""

    def _job(self, action: states.WithdrawnAction) -> jobs.Job:
        organisation = schema.Organisation(keys=[], on_withdrawn=action)
        return jobs.Job(
            'r', 'POST', '/', '', {}, b'', 0.0,
            organisation=organisation, session=SESSION,
        )  # fmt: skip

    def test_the_check_before_an_attempt_refuses_or_moves(self):
        config = schema.Config(models={'small': schema.Model(versions={})})
        job = self._job(states.WithdrawnAction.REFUSE)
        try:
            sessions.check(job, config)
            self.fail('a job with a withdrawn version was not refused')
        except errors.Refusal as refusal:
            self.assertEqual('session_version_withdrawn', refusal.reason.label)
        job = self._job(states.WithdrawnAction.MOVE)
        sessions.check(job, config)
        self.assertEqual(
            (None, SESSION, True),
            (job.session, job.withdrawn_session, job.opens_session),
        )


class SessionTest(testtools.TestCase):
    """Guards against sessions that change their version unasked."""

    def _open(self, cluster, node='entry-0', **body):
        headers = {'X-Radish-Session': 'new'}
        reply = cluster.chat(node, 'tag', headers, **body)
        self.assertEqual(200, reply.status, reply.body)
        return reply.headers

    def _use(self, cluster, token: str, node: str, **headers):
        headers = {'X-Radish-Session': token, **headers}
        return cluster.chat(node, 'tag', headers)

    def test_a_session_keeps_its_version_over_nodes_and_changes(self):
        with clusters.running(engines=('small-1',)) as cluster:
            document = clusters.make_document(cluster)
            token = self._open(cluster)['x-radish-session']
            opened = streaming.stream(
                cluster.nodes['entry-1'],
                {'X-Radish-Session': 'new'},
                kind='tag',
            )
            self.assertIn('x-radish-version: v1', opened.head)
            lines = opened.head.split('\r\n')
            streamed = next(
                line for line in lines if line.startswith('x-radish-session:')
            )
            self.assertIn('.', streamed)
            # A roll-out moves all other jobs to v2, and a key rotates.
            versions = document['models']['small']['versions']
            versions['v1']['share'], versions['v2']['share'] = 0, 100
            document['session_keys'] = {
                'k1': {'secret': 'a-secret-for-sessions', 'state': 'accepting'},
                'k2': {'secret': 'another-secret-here', 'state': 'signing'},
            }
            cluster.apply(document)
            cluster.wait_revision(2)
            cluster.nodes['entry-0'].kill()
            cluster.start_node('entry-0')
            cluster.wait_ready()
            for name in cluster.names:
                reply = self._use(cluster, token, name)
                self.assertEqual('v1', reply.headers['x-radish-version'])
                fresh = self._open(cluster, name)
                self.assertEqual('v2', fresh['x-radish-version'])
            forged = token[:-3] + 'AAA'
            for bad in (forged, token[:20], 'x'):
                reply = self._use(cluster, bad, 'entry-0')
                self.assertEqual('session_invalid', reply.code)
            self._check_withdrawal(cluster, document, token)

    def _check_withdrawal(self, cluster, document, token) -> None:
        other = copy.deepcopy(document['organisations']['roofers'])
        other['keys'] = ['sha256:' + '0' * 64]
        document['organisations']['builders'] = other
        document['models']['small']['versions']['v1']['state'] = 'withdrawn'
        cluster.apply(document)
        cluster.wait_revision(3)
        reply = self._use(cluster, token, 'entry-1')
        self.assertEqual('session_version_withdrawn', reply.code)
        self.assertEqual(409, reply.status)
        document['organisations']['roofers']['on_withdrawn'] = 'move'
        cluster.apply(document)
        cluster.wait_revision(4)
        reply = self._use(cluster, token, 'entry-1')
        self.assertEqual('small/v1', reply.headers['x-radish-session-moved'])
        moved = reply.headers['x-radish-session']
        again = self._use(cluster, moved, 'entry-0')
        self.assertEqual('v2', again.headers['x-radish-version'])
        self.assertNotIn('x-radish-session-moved', again.headers)

    def test_a_withdrawal_before_a_retry_moves_the_session(self):
        with clusters.running(
            engines=('small-1', 'small-2'), node_count=1
        ) as cluster:
            document = clusters.make_document(cluster)
            document['organisations']['roofers']['on_withdrawn'] = 'move'
            cluster.apply(document)
            cluster.wait_revision(2)
            token = self._open(cluster)['x-radish-session']
            names = ('small-1', 'small-2')
            for name in names:
                slow = {'first_token_ms': 4000}
                cluster.control(cluster.upstreams[name], 'settings', slow)

            def work(index):
                if index == 0:
                    return self._use(cluster, token, 'entry-0')
                versions = document['models']['small']['versions']
                versions['v1'] = {'state': 'withdrawn'}
                versions['v2'] = {'share': 100}
                cluster.apply(document)
                cluster.wait_revision(3)
                for name in names:
                    cluster.control(cluster.upstreams[name], 'settings', {})
                links = [f'all>{name}' for name in names]
                cluster.fault('refuse', links)
                cluster.fault('pass', links)
                return None

            reply = streaming.run_concurrently(2, work)[0]
            self.assertEqual(200, reply.status, reply.body)
            self.assertEqual('v2', reply.headers['x-radish-version'])
            self.assertIn('x-radish-session', reply.headers)
            moved = reply.headers['x-radish-session-moved']
            self.assertEqual('small/v1', moved)

    def test_a_token_of_another_organisation_is_refused(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            keys = {'k1': _signing_key('a-secret-for-sessions')}
            stranger = jobs.Session('s', 'builders', 'small', 'v1')
            token = tokens.sign(stranger, keys)
            reply = self._use(cluster, token, 'entry-0')
            self.assertEqual('session_invalid', reply.code)

    def _open_escalated(self, cluster) -> dict:
        """Opens sessions until a job was escalated; returns its headers.

        A node without ratings samples its estimates, and plans a small model
        alone for four in a hundred jobs. Such a job is not escalated.
        """
        for _ in range(MAX_OPENINGS):
            opened = cluster.chat(
                'entry-0', 'quote', {'X-Radish-Session': 'new'}
            ).headers
            if opened['x-radish-model'] == 'large':
                return opened
        self.fail(f'none of {MAX_OPENINGS} jobs was escalated')

    def test_an_escalated_opening_pins_the_step_that_answered(self):
        with clusters.running(node_count=1) as cluster:
            engine = cluster.upstreams['small-1']
            bad = {'quality': {'small/v1': 0.0}}
            cluster.control(engine, 'settings', bad)
            opened = self._open_escalated(cluster)
            token = {'X-Radish-Session': opened['x-radish-session']}
            before = len(cluster.served('small-1'))
            reply = cluster.chat('entry-0', 'quote', token)
            self.assertEqual('large', reply.headers['x-radish-model'])
            self.assertEqual(before, len(cluster.served('small-1')))


def _signing_key(secret: str) -> schema.SessionKey:
    return schema.SessionKey(secret=secret, state=states.KeyState.SIGNING)
