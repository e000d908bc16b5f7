"""The account of held bytes, without processes."""

import testtools

from radishcourse_node import heldbytes
from radishcourse_node import resources

MB = 2**20


class _Clock:
    def __init__(self):
        self.time = 0.0

    def now(self) -> float:
        return self.time


class _Client:
    """A client whose holding records that it gave way."""

    def __init__(self, account, kind=heldbytes.Kind.BODY):
        self.closed = False
        self.holding = account.open(kind, self._close)

    def _close(self) -> None:
        self.closed = True


class AccountTest(testtools.TestCase):
    """Guards against a budget that is exceeded or taken from the wrong one."""

    def setUp(self):
        super().setUp()
        self.clock = _Clock()
        self.account = heldbytes.Account(
            self.clock, heldbytes.budget_bytes(128 * MB)
        )

    def _clients(self, count: int, size: int) -> list[_Client]:
        clients = [_Client(self.account) for _ in range(count)]
        for client in clients:
            client.holding.try_resize(size)
        return clients

    def test_long_prompts_of_a_zone_in_a_burst_meet_no_limit(self):
        clients = [_Client(self.account) for _ in range(84)]
        for size in range(8192, 72 * 1024 + 1, 8192):
            for client in clients:
                client.holding.resize(size)
        for client in clients:
            client.holding.pin(2 * 72 * 1024)
        self.assertEqual([], [item for item in clients if item.closed])

    def test_bodies_that_do_not_end_stay_within_the_budget(self):
        clients = [_Client(self.account) for _ in range(80)]
        for size in range(65536, 4 * MB, 65536):
            for client in clients:
                client.holding.try_resize(size)
                self.assertLessEqual(self.account.total, self.account.budget)
        self.assertTrue(any(client.closed for client in clients))
        self.assertFalse(all(client.closed for client in clients))

    def test_small_bodies_are_read_beside_large_ones_that_are_pinned(self):
        large = []
        while True:
            client = _Client(self.account)
            try:
                client.holding.pin(4 * MB)
            except heldbytes.Exhausted:
                break
            large.append(client)
        self.assertFalse(any(client.closed for client in large))
        small = self._clients(50, 128 * 1024)
        self.assertEqual([], [item for item in small if item.closed])

    def test_the_largest_gives_way_and_then_the_slowest(self):
        slow = self._clients(3, 4 * MB)
        self.clock.time = 1.0
        fast = self._clients(3, 4 * MB)
        small = self._clients(1, MB)[0]
        self.clock.time = 2.0
        one_more = _Client(self.account)
        one_more.holding.resize(4 * MB)
        self.assertTrue(any(client.closed for client in slow))
        self.assertEqual(
            [], [item for item in (*fast, small, one_more) if item.closed]
        )

    def test_a_body_that_is_sent_on_does_not_give_way(self):
        pinned = _Client(self.account)
        pinned.holding.pin(20 * MB)
        self._clients(20, 2 * MB)
        self.assertFalse(pinned.closed)
        self.assertRaises(
            heldbytes.Exhausted, _Client(self.account).holding.pin, 20 * MB
        )

    def test_released_bytes_leave_the_account(self):
        clients = self._clients(20, 100_000)
        for client in clients:
            client.holding.release()
            client.holding.try_resize(10)
        self.assertEqual(0, self.account.total)

    def test_nothing_is_limited_without_the_memory_of_the_vm(self):
        account = heldbytes.Account(self.clock)
        client = _Client(account)
        client.holding.pin(10**12)
        self.assertFalse(client.closed)


class ConnectionLimitTest(testtools.TestCase):
    """Guards against a limit that closes connections in use."""

    def test_the_longest_waiting_connection_is_closed_first(self):
        closed = []

        class _Connection:
            def __init__(self, *order):
                self.order = order

            def closing_order(self):
                return self.order

            def abort(self):
                closed.append(self.order)

        account = heldbytes.Account(_Clock())
        limit = resources.ConnectionLimit(account, 2)
        for order in ((2, 0.0), (1, 1.0), (1, 2.0), (2, 3.0), (1, 4.0)):
            limit.add(_Connection(*order))
        self.assertEqual([(1, 1.0), (1, 2.0), (1, 4.0)], closed)
        self.assertEqual(2, len(limit))

    def test_shares_leave_room_for_upstreams_and_the_store(self):
        for descriptors in (500, 1638, 4100, 10_250):
            shared = resources.Resources(_Clock(), None, descriptors)
            limits = (shared.callers.limit, shared.pages.limit, shared.peers)
            left = descriptors - resources.FILE_DESCRIPTORS - sum(limits)
            self.assertGreaterEqual(left, shared.callers.limit, descriptors)
