"""Stand-in proxies on real gRPC streams, stand-in gRPC backends, and a control service process for tests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import queue
import shutil
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from brambleusher.lab.control.xds import STREAM_METHODS, ProxyStandIn

WAIT = 30.0  # timeout for expected events in seconds, far above their usual duration
METHODS = ("look", "move")


class LiveProxy:
    """A stand-in proxy with its own connection; `last_response_at` is the time of its last response."""

    def __init__(
        self,
        proxy: ProxyStandIn,
        target: str,
        credentials: grpc.ChannelCredentials | None = None,
        window: int | None = None,
    ) -> None:
        self.proxy, self.last_response_at = proxy, 0.0
        options = [("grpc.use_local_subchannel_pool", 1), ("grpc.max_receive_message_length", -1)]
        if window is not None:  # flow-control window: bytes that may be in flight to the proxy
            options += [("grpc.http2.bdp_probe", 0), ("grpc.http2.lookahead_bytes", window)]
        if credentials is None:
            self._channel = grpc.aio.insecure_channel(target, options=options)
        else:
            self._channel = grpc.aio.secure_channel(target, credentials, options=options)
        self._updated = asyncio.Event()
        self.reading = asyncio.Event()  # while cleared, the proxy reads no responses
        self.reading.set()
        self.ended: grpc.StatusCode | None = None
        self.end_details = ""
        self._task: asyncio.Task[None] | None = None

    def start(self, forget: bool = False) -> None:
        """Open a stream."""
        self.ended = None
        # Resets the proxy's state now and not when the task first runs, or a caller could see stale state.
        opening = list(self.proxy.connect(forget))
        self._task = asyncio.get_running_loop().create_task(self._run(opening))

    async def _run(self, opening: list[bytes]) -> None:
        stream = self._channel.stream_stream(STREAM_METHODS[self.proxy.incremental])()
        try:
            for data in opening:
                await stream.write(data)
            while (data := await stream.read()) is not grpc.aio.EOF:
                self.last_response_at = time.monotonic()
                for answer in self.proxy.receive(data):
                    await stream.write(answer)
                self._updated.set()
                await self.reading.wait()
            self.ended, self.end_details = await stream.code(), await stream.details()
        except grpc.aio.AioRpcError as error:
            self.ended, self.end_details = error.code(), error.details() or ""
        except asyncio.InvalidStateError:  # a write to a stream that has ended
            self.ended, self.end_details = await stream.code(), await stream.details()
        finally:
            stream.cancel()
            self._updated.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition that a response makes true; raises `TimeoutError` after `WAIT` seconds."""
        async with asyncio.timeout(WAIT):
            while not condition():
                self._updated.clear()
                await self._updated.wait()

    async def stop(self) -> None:
        """End the stream and the connection."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self._channel.close()


class Backend:
    """A gRPC server; `seen` receives the caller's name, the backend's name and the time of each call."""

    def __init__(self, name: str, seen: queue.Queue[tuple[str, str, float]]) -> None:
        self.name, self.seen = name, seen
        self._server = grpc.server(ThreadPoolExecutor(8))
        for service in METHODS:
            handler = grpc.unary_unary_rpc_method_handler(self._handle)
            self._server.add_generic_rpc_handlers(
                (grpc.method_handlers_generic_handler(service, {"Get": handler}),)
            )
        self.port = self._server.add_insecure_port("127.0.0.1:0")
        self._server.start()

    def _handle(self, data: bytes, context: Any) -> bytes:
        self.seen.put((data.decode(), self.name, time.monotonic()))
        return self.name.encode()

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop(None)


def entry(name: str, port: int, state: str = "Ready", zone: str = "z", started_ms: int = 0) -> dict[str, Any]:
    """Return a node's entry in the format of the discovery protocol."""
    return {
        "id": name, "addr": f"127.0.0.1:{port}", "zone": zone, "kind": "k", "cell": 0,
        "state": state, "weight": 1.0, "started_ms": started_ms,
    }  # fmt: skip


class LiveDiscovery:
    """A discovery service on a socket: each watch receives the whole list, then each change."""

    def __init__(self, servers: list[dict[str, Any]], version: int = 1) -> None:
        self.version, self.servers = version, {each["id"]: each for each in servers}
        self._lock = threading.Lock()
        self._watches: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.ended = False
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
                sock.recv(65536)
                with self._lock:
                    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._full_list())
                    self._watches.append(sock)
            except OSError:
                if self.ended:
                    return

    def _send_heartbeats(self) -> None:
        while not self.ended:
            time.sleep(1.0)
            with self._lock:
                self._send(b"1\r\n\n\r\n")

    @staticmethod
    def _chunk(version: int, full: bool, servers: list[dict[str, Any]]) -> bytes:
        line = json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)

    def _full_list(self) -> bytes:
        return self._chunk(self.version, True, list(self.servers.values()))

    def _send(self, data: bytes) -> None:
        for sock in list(self._watches):
            try:
                sock.sendall(data)
            except OSError:
                self._watches.remove(sock)

    def change(self, *servers: dict[str, Any]) -> float:
        """Write a change to all watches, and return the time of the write."""
        with self._lock:
            self.version += 1
            self.servers.update({each["id"]: each for each in servers})
            data = self._chunk(self.version, False, list(servers))
            at = time.monotonic()
            self._send(data)
            return at

    def replace_list(self, servers: list[dict[str, Any]]) -> float:
        """Write a whole new list to all watches, and return the time of the write."""
        with self._lock:
            self.version += 1
            self.servers = {each["id"]: each for each in servers}
            data = self._full_list()
            at = time.monotonic()
            self._send(data)
            return at

    def disconnect_watches(
        self, version: int | None = None, servers: list[dict[str, Any]] | None = None
    ) -> None:
        """Disconnect all watches; later watches receive the given list, or the current one without it."""
        with self._lock:
            if version is not None and servers is not None:
                self.version, self.servers = version, {each["id"]: each for each in servers}
            for sock in self._watches:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            self._watches.clear()

    def close(self) -> None:
        """Stop the service and disconnect all watches."""
        self.ended = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.disconnect_watches()


class ControlProgram:
    """A process that runs `brambleusher control`."""

    def __init__(self, config: Path) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brambleusher", "control", "--config", str(config), "--json"],
            stdout=subprocess.PIPE, stderr=(config.parent / "control.log").open("ab"), text=True,
        )  # fmt: skip
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        assert line, "the control service did not start: see control.log"
        self.addresses: dict[str, str] = json.loads(line)

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def end(self) -> int:
        """Terminate the process, and return its exit status."""
        self.process.terminate()
        return self.process.wait(WAIT)


def js_packages_dir(root: Path) -> Path:
    """Return the directory in which the packages of gRPC's client for Node.js would be installed."""
    return root / ".venv" / "js" / "node_modules"


def caller_commands(root: Path) -> dict[str, list[str]]:
    """Return the command lines of the installed programs that call through xDS, by client library."""
    out = {"gRPC, C core": [sys.executable, "-m", "brambleusher.lab.control.xds_caller", "xds:///grpc-web"]}
    node = shutil.which("node")
    if node is not None and (js_packages_dir(root) / "@grpc" / "grpc-js-xds").exists():
        # The trap handler reserves more virtual address space than a limit on the machine may allow.
        script = str(Path(__file__).parent / "xds_caller.js")
        out["gRPC, JavaScript"] = [node, "--disable-wasm-trap-handler", script, "xds:///grpc-web"]
    return out


@contextlib.contextmanager
def callers(commands: dict[str, list[str]], environment: dict[str, str]) -> Iterator[Callable[[], None]]:
    """Run programs that call through xDS; the yielded function raises if one of them has exited."""
    running = {
        name: subprocess.Popen([*command, name], env=environment) for name, command in commands.items()
    }

    def check() -> None:
        for name, each in running.items():
            if each.poll() is not None:
                raise RuntimeError(f"the caller {name} has exited with status {each.returncode}")

    try:
        yield check
    finally:
        for each in running.values():
            each.kill()
            each.wait()
