"""Runs stand-ins and nodes as local processes, for the demo and tests."""

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
      name: Name used in messages and in the name of the log file.
      port: Port of its HTTP interface.
      popen: The operating system's process.
      log: File with its standard output and standard error.
      host: IP address of its HTTP interface.
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
        """Sends SIGTERM, then SIGKILL after a timeout; returns the exit code.

        A process that was paused by SIGSTOP is resumed first.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self.popen.kill()
        self.popen.wait()


class Processes:
    """Starts processes and keeps track of them.

    Args:
      folder: Where settings files and logs are written.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._started: list[Process] = []

    @property
    def folder(self) -> pathlib.Path:
        """Where settings files and logs are written."""
        return self._folder

    def stand_in(self, module: str, name: str = '', **options) -> Process:
        """Starts a stand-in.

        Args:
          module: Name of its module in this package.
          name: Name of the process; the module's by default.
          **options: Command-line flags. `port` is a free port by default.
        """
        port = options.pop('port', None) or free_port()
        arguments = ['-m', f'radishcourse_standins.{module}', f'--port={port}']
        arguments += [f'--{key}={value}' for key, value in options.items()]
        return self._start(name or module, port, arguments)

    def node(self, settings: dict) -> Process:
        """Starts a node; missing listen addresses get free ports."""
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

    def gateway(
        self,
        name: str,
        host: str,
        port: int,
        settings: str,
        module: str = 'radishcourse_adapter',
    ) -> Process:
        """Starts a gateway with a settings file in TOML.

        Args:
          name: Its name.
          host: IP address of its HTTP interface.
          port: Port of its HTTP interface.
          settings: Contents of the settings file.
          module: The module to run.
        """
        path = self._folder / f'{name}.toml'
        path.write_text(settings)
        return self._start(
            name,
            port,
            ['-m', module],
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
        """Ends all started processes with SIGKILL."""
        for process in self._started:
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self._started:
            process.popen.wait()


@contextlib.contextmanager
def started(folder: pathlib.Path):
    """Yields `Processes`, and ends all started ones on exit."""
    processes = Processes(folder)
    try:
        yield processes
    finally:
        processes.stop_all()


def free_port() -> int:
    """Returns a free port on 127.0.0.1, from a range reserved by this process.

    A port chosen by the kernel (port 0) could be given to another process, or
    to an outgoing connection, before it is used. Each process therefore
    reserves a range of its own below the kernel's ephemeral ports.
    """
    return next(_ports)


def reserved_range() -> int:
    """Returns the number, from 0, of the range reserved by this process."""
    return (free_port() - FIRST_PORT) // RANGE_PORTS


def _reserved_ports():
    # The lock is held as long as its file is open.
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
    """Locks a range of ports; returns its lock file and its first port.

    Raises:
      OSError: All ranges are reserved.
    """
    folder = pathlib.Path(tempfile.gettempdir())
    for first in range(FIRST_PORT, LAST_PORT, RANGE_PORTS):
        lock = (folder / f'radishcourse-ports-{first}.lock').open('w')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return lock, first
    raise OSError('all port ranges are reserved by other processes')


_ports = _reserved_ports()


def wait_http(process: Process, path: str, status: int | None = 200) -> None:
    """Waits until a process answers GET on a path.

    Args:
      process: The process.
      path: Path and query.
      status: Expected status; None accepts any response.

    Raises:
      TimeoutError: It did not answer so within 30 s, or it exited.
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
    raise TimeoutError(
        f'{process.name} did not answer {path}; end of its log:\n{text}'
    )
