"""A roll-out is completed under streams that the old version still sends."""

import contextlib
import http.client
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

import fleet as fleets  # noqa: E402

SERVICE = 'assistant'
REQUESTERS = 48
EVENTS, PAUSE_MS = 30, 100
WITHIN_S = 16
# LOST: more than so many channels.
ALLOWED = 3


class Requester:
    """Sends streams one after the other on a channel that it keeps."""

    def __init__(self, fleet: fleets.Fleet, number: int):
        self._fleet = fleet
        self._number = number
        self._stopped = False
        self.cut: list[str] = []
        self.whole = 0
        self.refused = 0
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Ends after the stream in progress."""
        self._stopped = True

    def join(self) -> None:
        """Waits for its end."""
        self._thread.join()

    def _run(self) -> None:
        time.sleep(self._number * EVENTS * PAUSE_MS / 1000 / REQUESTERS)
        while not self._stopped:
            gateway = self._fleet.gateways[f'front-{1 + self._number % 4}']
            connection = http.client.HTTPConnection(
                gateway['ip'], gateway['front'], timeout=16
            )
            with contextlib.closing(connection):
                # The channel is a kept one from its second request on.
                kept = False
                while not self._stopped and self._stream(connection, kept):
                    kept = True

    def _stream(self, connection, kept: bool) -> bool:
        """Sends a request; tells whether the channel is still open."""
        request = self._fleet.new_id()
        count = EVENTS if kept else 1
        path = f'/quote/events/{count}/{PAUSE_MS}/{request}'
        headers = {
            'Host': fleets.HOST,
            'X-Request-Id': request,
            'X-Time-Budget-Ms': '15000',
            'X-Model': 'm0',
            'X-Token-Count': f'1000,{EVENTS}',
            'X-Prompt-Prefix': f'aa:500,{request}:500',
            'Session': request,
            'Api-Key': fleets.KEY,
        }
        self._fleet.note('sent', request=request, path=path, kept=kept)
        status, data, error = 0, b'', ''
        try:
            connection.request('POST', path, b'drawings', headers)
            response = connection.getresponse()
            status = response.status
            data = response.read()
        except http.client.IncompleteRead as failure:
            data, error = failure.partial, repr(failure)
        except (OSError, http.client.HTTPException) as failure:
            error = repr(failure)
        self._fleet.note(
            'answered',
            request=request,
            status=status,
            events=data.count(b'\n\n'),
            error=error,
        )
        if error:
            if kept:
                self.cut.append(request)
            return False
        if status == 200:
            self.whole += 1
        else:
            self.refused += 1
        return True


def case(fleet: fleets.Fleet, trouble: bool) -> list[str]:
    """Brings in a good version while streams are sent all the time."""
    fleet.configure(
        [
            fleets.route(
                '/quote/', 'stream', SERVICE, affinity=True, gapTargetMs=1000
            )
        ],
        [fleets.service(SERVICE)],
    )
    old = [f'i-{number}' for number in range(1, 5)]
    for name in old:
        fleet.start_worker(name, SERVICE)
    for number in range(1, 5):
        fleet.start_gateway(f'front-{number}')
    fleet.wait_ready()
    requesters = [Requester(fleet, number) for number in range(REQUESTERS)]
    time.sleep(4)
    state = 'not ordered'
    if trouble:
        order = {'service': SERVICE, 'to': 'v2', 'withinS': WITHIN_S}
        fleet.put('op', f'rollout/{SERVICE}', order)
        fleet.note('roll-out ordered', **order)
        for number in range(1, 5):
            fleet.start_worker(f'n-{number}', SERVICE, version='v2')
    until = time.monotonic() + WITHIN_S + 3
    while time.monotonic() < until:
        if trouble and state not in ('completed', 'rolled_back'):
            state = fleet.status(SERVICE).get('state', '')
            if state in ('completed', 'rolled_back'):
                fleet.note('roll-out', state=state)
            if state == 'completed':
                # What the platform does then.
                for name in old:
                    fleet.signal('workers', name, signal.SIGKILL)
        time.sleep(0.02)
    for requester in requesters:
        requester.stop()
    for requester in requesters:
        requester.join()
    cut = [request for item in requesters for request in item.cut]
    run = {line['request'] for line in fleet.runs() if line['what'] == 'runs'}
    cut = [request for request in cut if request in run]
    whole = sum(item.whole for item in requesters)
    refused = sum(item.refused for item in requesters)
    print(
        f'{state}; {whole} whole, {refused} refused or failed, {len(cut)} cut'
    )
    fleet.note('counts', whole=whole, refused=refused, cut=len(cut))
    if len(cut) > ALLOWED:
        return [f'{len(cut)} kept channels closed within a stream']
    return []


if __name__ == '__main__':
    sys.exit(fleets.main(HERE, case))
