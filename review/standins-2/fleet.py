"""Starts a small deployment on loopback for the review's scripts."""

import base64
import contextlib
import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
ROOT = pathlib.Path(os.environ.get('ROOT', HERE.parents[1]))
HOST = 'site.example'
KEY = 'n2ctnfzs989anu6wsjnb'
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
START_S = 30.0
CANNOT_RUN = 2
SETTINGS = """
node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "sofia"
portRange = [{relay},{relay_end}]
seeds = {seeds}
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
sofia-a = "sofia"
sofia-b = "sofia"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
stretchMaxMs = 5000
budgetRatio = 0.9
budgetWindowS = 10
retrySlack = 56
exposeShare = 0.15
exposeSlack = 30
rollbackMs = 5000
coldExcess = 1.5
coldSlack = 5
evacMs = 5000
recoverS = 12
passMs = 120
sessionS = 5
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
"""


class CannotRun(Exception):
    """The case could not be set up."""


@dataclasses.dataclass
class Answer:
    """What a requester got.

    Attributes:
      request: Its `X-Request-Id`.
      status: HTTP status, 0 if no answer came.
      headers: Header values by lower-case name.
      body: The body as far as it arrived.
      whole: Whether the answer is complete by its framing.
      error: Why it is not.
    """

    request: str
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    error: str = ''

    @property
    def stamp(self) -> str:
        """The worker's proof."""
        return self.headers.get('x-server-stamp', '')


class Fleet:
    """The processes of one deployment.

    Args:
      folder: Temporary folder.
      record: File that gets what was sent, answered and run.
    """

    def __init__(self, folder: pathlib.Path, record):
        self._folder = folder
        self._record = record
        self._lock = threading.Lock()
        self._started: list[subprocess.Popen] = []
        self._numbers = itertools.count(1)
        self._ips = itertools.count(1)
        self._seeds: list[str] = []
        self.runs_path = folder / 'runs.log'
        self.gateways: dict[str, dict] = {}
        self.workers: dict[str, dict] = {}
        self.store = f'127.0.0.1:{free_port("127.0.0.1")}'
        host, _, port = self.store.partition(':')
        self._python(HERE / 'store.py', host, port, str(HEARTBEAT_S))
        wait(lambda: self.control('rows') is not None, 'the store')

    def note(self, what: str, **fields) -> None:
        """Writes a line to the record."""
        with self._lock:
            line = {'at': round(time.time(), 3), 'what': what, **fields}
            self._record.write(json.dumps(line) + '\n')
            self._record.flush()

    def _python(self, *arguments: object) -> subprocess.Popen:
        with (self._folder / 'standins.log').open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, *map(str, arguments)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._started.append(process)
        return process

    def control(self, path: str, body: dict | None = None):
        """Makes a control call to the store; None if it does not answer."""
        host, _, port = self.store.partition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        with contextlib.closing(connection):
            try:
                data = None if body is None else json.dumps(body)
                method = 'GET' if body is None else 'POST'
                connection.request(method, f'/control/{path}', data)
                return json.loads(connection.getresponse().read())
            except OSError:
                return None

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as the operator does."""
        self.control('put', {'table': table, 'key': key, 'value': value})

    def configure(self, routes: list[dict], services: list[dict]) -> None:
        """Writes the manifest."""
        self.put(
            'op',
            'config',
            {
                'version': 7,
                'routes': routes,
                'services': services,
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 4194304,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
                'tenants': [
                    {'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}
                ],
            },
        )

    def start_worker(
        self,
        name: str,
        service: str,
        address: str = '',
        listed: str = '',
        version: str = 'v1',
        cold_s: float = 0.0,
        cold_limit: int = 0,
        slots: int = 1000,
        queue: int = 0,
    ) -> None:
        """Starts a worker, also again at the address that it had.

        Args:
          name: Its id.
          service: Its service.
          address: Where it listens; empty for a new address.
          listed: Its address in the store; empty for the same.
          version: The version of its software.
          cold_s: How long it is cold after its start.
          cold_limit: Requests in a second above which it crashes then; 0 for
            none.
          slots: Requests that it runs at once.
          queue: Requests that wait besides.
        """
        address = address or f'127.0.0.1:{free_port("127.0.0.1")}'
        options = {
            'id': name,
            'service': service,
            'version': version,
            'zone': 'sofia-a',
            'address': address,
            'listed': listed or address,
            'store': self.store,
            'log': str(self.runs_path),
            'heartbeatS': HEARTBEAT_S,
            'drainS': DRAIN_S,
            'coldS': cold_s,
            'coldLimit': cold_limit,
            'slots': slots,
            'queue': queue,
        }
        process = self._python(HERE / 'worker.py', json.dumps(options))
        self.workers[name] = {'process': process, **options}
        self.note('worker started', worker=name)

    def wait_accepts(self, address: str) -> None:
        """Waits until something listens at an address."""
        host, _, port = address.partition(':')

        def accepts() -> bool:
            try:
                socket.create_connection((host, int(port)), 1).close()
            except OSError:
                return False
            return True

        wait(accepts, address)

    def start_gateway(self, name: str, memory_mb: int = 300) -> None:
        """Starts a gateway as the deploy file does."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        ip = f'127.77.{os.getpid() % 250}.{next(self._ips)}'
        ports = free_ports(ip, 4)
        settings = self._folder / f'{name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone='sofia-a',
                relay=ports[0],
                relay_end=ports[0],
                seeds=json.dumps(self._seeds),
                front=ports[1],
                ready=ports[2],
                control=ports[3],
                memory_mb=memory_mb,
                store=self.store,
            )
        )
        self._seeds.append(f'{ip}:{ports[3]}')
        variables = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        variables['PYTHONPATH'] = str(ROOT / 'target/deps')
        variables['RADISHCOURSE_NODE_FILE'] = str(settings)
        with (self._folder / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._started.append(process)
        self.gateways[name] = {
            'process': process,
            'ip': ip,
            'front': ports[1],
            'ready': ports[2],
        }
        self.note('gateway started', gateway=name)

    def wait_ready(self) -> None:
        """Waits until all gateways are ready and know each worker."""
        for name, gateway in self.gateways.items():

            def ready(gateway=gateway) -> bool:
                page = fetch(gateway['ip'], gateway['ready'], '/v1/readiness')
                return page is not None and page[0] == 200

            def knows(gateway=gateway) -> bool:
                page = fetch(gateway['ip'], 9464, '/metrics')
                wanted = f'radishcourse_upstreams_listed {len(self.workers)}\n'
                return page is not None and wanted in page[1]

            wait(ready, f'{name} to be ready')
            wait(knows, f'{name} to list the workers')

    def status(self, service: str) -> dict:
        """Returns the published status of a service's roll-out."""
        reply = self.control('rows') or {'rows': []}
        for row in reply['rows']:
            if (row['table'], row['key']) == ('status', f'rollout/{service}'):
                return json.loads(base64.b64decode(row['value']))
        return {}

    def signal(self, kind: str, name: str, number: signal.Signals) -> None:
        """Sends a signal to a gateway or a worker."""
        self.note('signal', to=name, signal=number.name)
        getattr(self, kind)[name]['process'].send_signal(number)

    def kill_worker(self, name: str) -> None:
        """Ends a worker with SIGKILL and waits for its end."""
        self.signal('workers', name, signal.SIGKILL)
        self.workers[name]['process'].wait()

    def new_id(self) -> str:
        """Returns the id of a new request."""
        return f'{1_000_000 + next(self._numbers):016x}'

    def send(
        self,
        gateway: str,
        method: str,
        path: str,
        body: bytes | None = None,
        budget_ms: int = 15000,
        **headers: str,
    ) -> Answer:
        """Sends a request on a channel of its own and reads its answer."""
        target = self.gateways[gateway]
        request = self.new_id()
        path = path.replace('ID', request)
        fields = {
            'Host': HOST,
            'X-Request-Id': request,
            'X-Time-Budget-Ms': str(budget_ms),
            'Api-Key': KEY,
            **{k.replace('_', '-'): v for k, v in headers.items()},
        }
        self.note('sent', request=request, to=gateway, method=method, path=path)
        connection = http.client.HTTPConnection(
            target['ip'], target['front'], timeout=budget_ms / 1000 + 2
        )
        answer = Answer(request, 0, {}, b'', False)
        with contextlib.closing(connection):
            try:
                connection.request(method, path, body, fields)
                response = connection.getresponse()
                answer.status = response.status
                answer.headers = {
                    k.lower(): v for k, v in response.getheaders()
                }
                answer.body = response.read()
                answer.whole = True
            except http.client.IncompleteRead as error:
                answer.body, answer.error = error.partial, repr(error)
            except (OSError, http.client.HTTPException) as error:
                answer.error = repr(error)
        self.note(
            'answered',
            request=request,
            status=answer.status,
            whole=answer.whole,
            bytes=len(answer.body),
            stamp=answer.stamp,
            error=answer.error,
        )
        return answer

    def send_all(self, calls: list[tuple], **options) -> list[Answer]:
        """Starts requests in threads; returns a list that they fill."""
        answers: list[Answer] = []

        def run(call: tuple) -> None:
            answers.append(self.send(*call, **options))

        threads = [threading.Thread(target=run, args=(c,)) for c in calls]
        for thread in threads:
            thread.start()
        self._threads = threads
        return answers

    def join(self) -> None:
        """Waits for the requests that `send_all` started."""
        for thread in self._threads:
            thread.join()

    def runs(self) -> list[dict]:
        """Returns what the workers noted."""
        if not self.runs_path.exists():
            return []
        lines = self.runs_path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def stop(self) -> None:
        """Ends all started processes and completes the record."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
        for process in self._started:
            process.wait()
        for line in self.runs():
            self.note(f'worker: {line.pop("what")}', **line)


def route(prefix: str, kind: str, service: str, **fields) -> dict:
    """Returns a route of a manifest."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 15000,
        'goalMs': 2000,
        'priority': 1,
        'service': service,
        'maxAttempts': 3,
        'anonymous': False,
        **fields,
    }


def service(name: str) -> dict:
    """Returns a service of a manifest."""
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 110,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
    }


def free_port(ip: str) -> int:
    """Returns a port that is free at a loopback address."""
    return free_ports(ip, 1)[0]


def free_ports(ip: str, count: int) -> list[int]:
    """Returns ports that are free at a loopback address.

    They lie below those that the kernel gives to outgoing connections.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(15_000, 30_000)
        with socket.socket() as item:
            try:
                item.bind((ip, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def fetch(ip: str, port: int, path: str) -> tuple[int, str] | None:
    """Returns status and body of a page, None if there is no answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=2)
    with contextlib.closing(connection):
        try:
            connection.request('GET', path)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            return None


def wait(condition, what: str, seconds: float = START_S) -> None:
    """Waits until a condition holds.

    Raises:
      CannotRun: It did not hold in time.
    """
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CannotRun(f'waited in vain for {what}')
        time.sleep(0.02)


def main(folder: str, case) -> int:
    """Runs a case and returns the exit status of its script.

    Args:
      folder: The folder of the case, which gets `record.txt`.
      case: Called with the fleet and whether to make the trouble; returns the
        breaches of the rule that it saw.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    temporary = pathlib.Path(tempfile.mkdtemp())
    status = CANNOT_RUN
    with (pathlib.Path(folder) / 'record.txt').open('w') as record:
        fleet = None
        try:
            fleet = Fleet(temporary, record)
            breaches = case(fleet, trouble)
            fleet.stop()
            for breach in breaches:
                fleet.note('BROKEN', detail=breach)
                print('broken:', breach)
            status = 1 if breaches else 0
        except CannotRun as error:
            print('could not run:', error)
            record.write(f'could not run: {error}\n')
        finally:
            if fleet is not None:
                fleet.stop()
        record.write(f'exit status {status}, trouble {int(trouble)}\n')
    if os.environ.get('KEEP'):
        print(temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    return status
