"""Starts stand-ins and nodes as processes on loopback, for demo and tests."""

import contextlib
import dataclasses
import fcntl
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpcore

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05
FIRST_PORT = 12_000
LAST_PORT = 32_000
RANGE_PORTS = 500


@dataclasses.dataclass
class Process:
    """A started process.

    Attributes:
      name: Name for messages.
      port: Port on 127.0.0.1 on which it answers HTTP.
      popen: The process.
      log: File with its standard error.
      host: IP address on which it answers.
    """

    name: str
    port: int
    popen: subprocess.Popen
    log: pathlib.Path
    host: str = '127.0.0.1'

    @property
    def address(self) -> str:
        """IP address and port."""
        return f'{self.host}:{self.port}'

    @property
    def url(self) -> str:
        """Base URL."""
        return f'http://{self.address}'

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        self.popen.send_signal(number)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ends the process gracefully and returns its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def kill(self) -> None:
        """Ends the process at once."""
        self.popen.kill()
        self.popen.wait()


class Processes:
    """Starts processes and ends all of them at the end.

    Args:
      folder: Where settings and logs are written.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._started: list[Process] = []

    @property
    def folder(self) -> pathlib.Path:
        """Where settings and logs are written."""
        return self._folder

    def stand_in(self, module: str, name: str = '', **options) -> Process:
        """Starts a stand-in of this package by the name of its module."""
        port = options.pop('port', None) or free_port()
        arguments = ['-m', f'radishcourse_standins.{module}', f'--port={port}']
        arguments += [f'--{key}={value}' for key, value in options.items()]
        return self._start(name or module, port, arguments)

    def node(self, settings: dict) -> Process:
        """Starts a node with settings; `listen` is filled in if missing."""
        settings = dict(settings)
        settings.setdefault('listen', f'127.0.0.1:{free_port()}')
        settings.setdefault('peer_listen', f'127.0.0.1:{free_port()}')
        path = self._folder / f'{settings["node"]}.json'
        path.write_text(json.dumps(settings))
        port = int(settings['listen'].rpartition(':')[2])
        arguments = [
            '-c',
            'from radishcourse_node import main; main.run()',
            f'--settings={path}',
        ]
        return self._start(settings['node'], port, arguments)

    def adapter(
        self, name: str, host: str, port: int, settings: str
    ) -> Process:
        """Starts a gateway with settings of the users' platform."""
        path = self._folder / f'{name}.toml'
        path.write_text(settings)
        return self._start(
            name,
            port,
            ['-m', 'radishcourse_adapter'],
            host,
            {'RADISHCOURSE_NODE_FILE': str(path)},
        )

    def _start(
        self,
        name: str,
        port: int,
        arguments: list[str],
        host: str = '127.0.0.1',
        variables: dict[str, str] | None = None,
    ) -> Process:
        log = self._folder / f'{name}-{port}.log'
        with log.open('ab') as stderr:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stderr,
                stderr=stderr,
                env={**os.environ, **(variables or {})},
            )
        process = Process(name, port, popen, log, host)
        self._started.append(process)
        return process

    def stop_all(self) -> None:
        """Ends all started processes."""
        for process in self._started:
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self._started:
            process.popen.wait()


@contextlib.contextmanager
def started(folder: pathlib.Path):
    """Yields `Processes` and ends all of them at the end."""
    processes = Processes(folder)
    try:
        yield processes
    finally:
        processes.stop_all()


def free_port() -> int:
    """Returns a port on 127.0.0.1 that no other process is about to use.

    Ports chosen by the kernel would clash: between the choice and the use
    another process may get the same one, also for an outgoing connection.
    So each process takes its ports from a slice of its own, below the range
    that the kernel chooses from.
    """
    return next(_ports)


def _reserved_ports():
    # The lock is held for as long as its file is open.
    _lock, first = _reserve_range()
    while True:
        for port in range(first, first + RANGE_PORTS):
            with socket.socket() as listener:
                try:
                    listener.bind(('127.0.0.1', port))
                except OSError:
                    continue
            yield port


def _reserve_range():
    """Returns a lock held for the life of this process, and a first port."""
    folder = pathlib.Path(tempfile.gettempdir())
    for first in range(FIRST_PORT, LAST_PORT, RANGE_PORTS):
        lock = (folder / f'radishcourse-ports-{first}.lock').open('w')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return lock, first
    raise OSError('all slices of ports are taken')


_ports = _reserved_ports()


def wait_http(process: Process, path: str, status: int | None = 200) -> None:
    """Waits until a path answers; with `status` None any answer will do.

    Raises:
      TimeoutError: It did not in time, or the process ended.
    """
    limit = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < limit:
        if process.popen.poll() is not None:
            break
        with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
            reply = httpcore.request('GET', process.url + path)
            if status in (None, reply.status):
                return
        time.sleep(POLL_S)
    text = process.log.read_text()[-2000:]
    raise TimeoutError(f'{process.name} did not answer {path}:\n{text}')
