"""Messages between nodes."""

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_wire import client
from radishcourse_wire import codec
from radishcourse_wire import credentials
from radishcourse_wire import errors
from radishcourse_wire import messages
from radishcourse_wire import server
from radishcourse_wire.gen.peer import ttypes

KEY = ids.KeyId('k1')
LOOPBACK = '127.0.0.1'


def make_credentials(node: str, secret: str) -> credentials.Credentials:
    return credentials.Credentials(
        ids.NodeId(node), ids.Incarnation(f'{node}.1'), {KEY: secret}, KEY
    )


class CodecTest(testtools.TestCase):
    """Guards against codec exceptions that `decode` does not convert."""

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_decode_or_raise_malformed(self, data):
        for message_type in (
            ttypes.Envelope,
            ttypes.PullReply,
            ttypes.HoldBills,
        ):
            try:
                codec.decode(message_type, data)
            except errors.Malformed:
                continue


class CallTest(testtools.TestCase):
    """Guards against unauthenticated peers and mismatched replies."""

    def _call(self, client_secret: str, server_secret: str):
        rejected = []

        async def hold(sender, request):
            return ttypes.HoldBillsReply(held=len(request.bills))

        async def main():
            peer_server = server.Server(
                make_credentials('b', server_secret), rejected.append
            )
            peer_server.register(messages.MessageKind.HOLD_BILLS, hold)
            listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            peer_client = client.Client(make_credentials('a', client_secret))
            message = ttypes.HoldBills(owner='a.1', bills=[])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(peer_server.serve_on, listener)
                try:
                    return await peer_client.call(
                        f'{LOOPBACK}:{port}',
                        messages.MessageKind.HOLD_BILLS,
                        message,
                    )
                finally:
                    await peer_client.aclose()
                    tasks.cancel_scope.cancel()

        reply = None
        try:
            reply = anyio.run(main)
        except* errors.WireError:
            pass
        return reply, rejected

    def test_peer_with_the_key_is_answered(self):
        reply, rejected = self._call('s' * 16, 's' * 16)
        self.assertEqual(0, reply.held)
        self.assertEqual([], rejected)

    def test_peer_with_another_key_is_rejected(self):
        reply, rejected = self._call('x' * 16, 's' * 16)
        self.assertIsNone(reply)
        self.assertEqual(1, len(rejected))
