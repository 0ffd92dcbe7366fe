"""Test the control service on real sockets: the program, its clients, TLS, and faults while it serves."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
import os
import queue
import re
import shutil
import signal
import socket
import subprocess
import sys
import urllib.request
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import grpc
import pytest
import yaml
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from cryptography.x509.oid import NameOID
from envoy.config.bootstrap.v3 import bootstrap_pb2
from envoy.extensions.transport_sockets.tls.v3 import tls_pb2
from envoy.extensions.upstreams.http.v3 import http_protocol_options_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.json_format import ParseDict

from brambleusher.lab.control.xds import ASSIGNMENT, ProxyStandIn
from brambleusher.lab.control.xds_live import (
    Backend,
    ControlProgram,
    LiveDiscovery,
    LiveProxy,
    caller_commands,
    callers,
    entry,
    js_packages_dir,
)
from brambleusher.lab.control.xds_rules import rule_violations
from brambleusher.xds.config import StreamLimits, parse_control_config
from brambleusher.xds.service import Service
from brambleusher.xds.wire import LRS
from tests.xds.control_builders import config_text, control_config

ROOT = Path(__file__).resolve().parents[2]
WAIT = 30.0
IN_A_ROW = 100  # consecutive calls without the drained node; round robin would pick it once in four calls


def run(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(main, 3 * WAIT))


def lacks_endpoint(live: LiveProxy, address: str) -> bool:
    return address not in live.proxy.usable()


def has_ended(live: LiveProxy) -> bool:
    return live.ended is not None


def fixed_requests(data: list[bytes], forget: bool = False) -> list[bytes]:
    return data


def fetch_status(address: str) -> dict[str, Any]:
    """Return the service's status as JSON."""
    with urllib.request.urlopen(f"http://{address}/status.json", timeout=WAIT) as answer:
        found: dict[str, Any] = json.load(answer)
        return found


async def until(what: Callable[[], bool]) -> None:
    """Poll a condition until it is true; fail after `WAIT` seconds."""
    async with asyncio.timeout(WAIT):
        while not what():
            await asyncio.sleep(0.005)


async def serving(
    folder: Path, discovery: LiveDiscovery, proxies: Callable[[Service, str], Awaitable[None]], **more: Any
) -> None:
    """Run a service in this process while `proxies` runs."""
    config = parse_control_config(config_text(folder, discovery=discovery.address, **more), folder)
    service = Service(config, seed=1)
    addresses = await service.start()
    try:
        await proxies(service, addresses["xds"])
    finally:
        await service.stop()
        discovery.close()


def bootstraps() -> dict[str, Any]:
    """Return the bootstrap configurations in the operator's page, by format (yaml or json)."""
    page = (ROOT / "docs" / "operate" / "control.md").read_text()
    found = re.findall(r"```(yaml|json)\n(.*?)```", page, re.S)
    out = {}
    for kind, text in found:
        raw = yaml.safe_load(text)
        if "static_resources" in raw or "xds_servers" in raw:
            out[kind] = raw
    return out


def test_the_bootstraps_in_the_page_are_what_the_protos_say() -> None:
    # The types of messages packed in the bootstrap must be imported before parsing.
    assert tls_pb2.DESCRIPTOR and http_protocol_options_pb2.DESCRIPTOR
    envoy = ParseDict(bootstraps()["yaml"], bootstrap_pb2.Bootstrap())
    assert not list(rule_violations(envoy))
    assert envoy.dynamic_resources.HasField("ads_config")
    named = {cluster.name for cluster in envoy.static_resources.clusters}
    used = {service.envoy_grpc.cluster_name for service in envoy.dynamic_resources.ads_config.grpc_services}
    used |= {s.envoy_grpc.cluster_name for s in envoy.cluster_manager.load_stats_config.grpc_services}
    assert used <= named and used
    assert bootstraps()["json"]["xds_servers"][0]["channel_creds"]


def test_a_drained_node_gets_no_new_call_from_any_kind_of_client(tmp_path: Path) -> None:
    """Runs the program with the two gRPC clients and a simulated proxy for each protocol variant."""
    seen: queue.Queue[tuple[str, str, float]] = queue.Queue()
    nodes = [Backend(f"n{at}", seen) for at in range(4)]
    discovery = LiveDiscovery([entry(node.name, node.port) for node in nodes])
    config = tmp_path / "control.yaml"
    config.write_bytes(config_text(tmp_path, discovery=discovery.address))
    program = ControlProgram(config)
    bootstrap = bootstraps()["json"]
    bootstrap["xds_servers"][0] |= {
        "server_uri": program.addresses["xds"], "channel_creds": [{"type": "insecure"}]
    }  # fmt: skip
    bootstrap["node"]["locality"] = {"zone": "z"}
    (tmp_path / "bootstrap.json").write_text(json.dumps(bootstrap))
    commands = caller_commands(ROOT)
    environment = {
        **os.environ, "GRPC_XDS_BOOTSTRAP": str(tmp_path / "bootstrap.json"),
        "NODE_PATH": str(js_packages_dir(ROOT))
    }  # fmt: skip

    async def main(check: Callable[[], None]) -> None:
        live = [LiveProxy(ProxyStandIn(f"p{at}", "z", bool(at)), program.addresses["xds"]) for at in (0, 1)]
        for each in live:
            each.start()
            await each.wait_until(each.proxy.is_complete)
        before: Counter[tuple[str, str]] = Counter()
        while any(before[name, "n2"] < 3 for name in commands):
            check()
            caller, served, _ = await asyncio.to_thread(seen.get, timeout=WAIT)
            before[caller, served] += 1
        drained = f"127.0.0.1:{nodes[2].port}"
        discovery.change(entry("n2", nodes[2].port, "Terminating"))
        for each in live:
            await each.wait_until(partial(lacks_endpoint, each, drained))
        others: Counter[str] = Counter()  # benchmarks/control.py measures how long a drain takes
        while any(others[name] < IN_A_ROW for name in commands):
            check()
            caller, served, _ = await asyncio.to_thread(seen.get, timeout=WAIT)
            others[caller] = 0 if served == "n2" else others[caller] + 1
        for each in live:
            await each.stop()
        # The load reports come from the gRPC clients.
        await until(lambda: fetch_status(program.addresses["status"])["zones"]["z"]["reports"] > 0)

    try:
        with callers(commands, environment) as check:
            run(main(check))
        status = fetch_status(program.addresses["status"])
        assert status["handing_out"] and status["zones"]["z"]["draining"] == ["n2"]
        assert program.end() == 0
    finally:
        program.kill()
        discovery.close()
        for each in nodes:
            each.stop()


def test_the_client_for_node_is_among_the_callers() -> None:
    if shutil.which("node") is None or not (js_packages_dir(ROOT) / "@grpc" / "grpc-js-xds").exists():
        pytest.skip("no Node, or not its gRPC packages in .venv/js: only the C core is called through")
    assert set(caller_commands(ROOT)) == {"gRPC, C core", "gRPC, JavaScript"}


def test_one_that_stops_reading_holds_nobody_up_and_gets_the_newest(tmp_path: Path) -> None:
    many = [entry(f"n{at}", 10_000 + at) for at in range(500)]
    discovery = LiveDiscovery(many)

    async def main(service: Service, target: str) -> None:
        stalled = LiveProxy(ProxyStandIn("stalled", "z", False), target, window=65_536)
        reading = LiveProxy(ProxyStandIn("reading", "z", False), target)
        for each in (stalled, reading):
            each.start()
            await each.wait_until(each.proxy.is_complete)
        stalled.reading.clear()
        for at in range(100):
            discovery.change(entry(f"n{at}", 10_000 + at, "Terminating"))
            drained = f"127.0.0.1:{10_000 + at}"
            await reading.wait_until(partial(lacks_endpoint, reading, drained))
        before = stalled.proxy.responses
        stalled.reading.set()
        await stalled.wait_until(lambda: len(stalled.proxy.usable()) == 400)
        assert stalled.proxy.responses - before <= 3  # two unacknowledged responses, and the newest
        stalled.reading.clear()
        service.core.config = replace(service.core.config, bounds=StreamLimits(stall_ms=300))
        # The stalled proxy does not continue to read, so only its own stream is ended.
        discovery.change(entry("n499", 10_499, "Terminating"))
        await reading.wait_until(lambda: len(reading.proxy.usable()) == 399)
        discovery.change(entry("n499", 10_499))
        await reading.wait_until(lambda: len(reading.proxy.usable()) == 400)
        await until(lambda: len(service.core.streams) == 1)
        assert service.server.ended_for_cause == 1
        for each in (stalled, reading):
            await each.stop()

    run(serving(tmp_path, discovery, main))


def test_a_stream_that_sends_nonsense_or_too_much_ends_alone(tmp_path: Path) -> None:
    discovery = LiveDiscovery([entry("n1", 10_001)])

    async def main(service: Service, target: str) -> None:
        good = LiveProxy(ProxyStandIn("good", "z", True), target)
        good.start()
        await good.wait_until(good.proxy.is_complete)
        first = ProxyStandIn("p", "z", False).connect()[0]
        for data, codes in (
            ([b"\xff\xff\xff"], {grpc.StatusCode.INVALID_ARGUMENT}),
            ([b"x" * 300_000], {grpc.StatusCode.RESOURCE_EXHAUSTED}),
            # gRPC may report INTERNAL instead for a write to a stream that has already ended.
            ([first] * 300, {grpc.StatusCode.RESOURCE_EXHAUSTED, grpc.StatusCode.INTERNAL}),
        ):
            bad = LiveProxy(ProxyStandIn("bad", "z", False), target)
            bad.proxy.connect = partial(fixed_requests, data)  # type: ignore[method-assign]
            bad.start()
            await bad.wait_until(partial(has_ended, bad))
            assert bad.ended in codes, bad.end_details
            await bad.stop()
        assert service.server.ended_for_cause == 2  # gRPC itself rejected the long message
        discovery.change(entry("n2", 10_002))
        await good.wait_until(lambda: len(good.proxy.usable()) == 2)
        assert good.ended is None
        await good.stop()

    # With the default of 100 per second, a busy machine could send 300 requests too slowly for the limit.
    run(serving(tmp_path, discovery, main, bounds={"requests_per_s": 20}))


def test_who_may_not_subscribe_any_more_may_not_report_either(tmp_path: Path) -> None:
    discovery = LiveDiscovery([entry("n1", 10_001)])

    async def main(service: Service, target: str) -> None:
        report = lrs_pb2.LoadStatsRequest()
        report.node.id = "p"
        async with grpc.aio.insecure_channel(target) as channel:
            call = channel.stream_stream(f"/{LRS}/StreamLoadStats")()
            await call.write(report.SerializeToString())
            assert await call.read() is not grpc.aio.EOF
            service.core.reconfigure(
                control_config(tmp_path, subscribers=[{"identity": "q"}]), service.now_ns()
            )
            await call.write(report.SerializeToString())
            with pytest.raises(grpc.aio.AioRpcError) as ended:
                await call.read()
            assert ended.value.code() is grpc.StatusCode.PERMISSION_DENIED

    run(serving(tmp_path, discovery, main))


def test_killed_in_a_push_and_started_again_it_hands_out_nothing_older(tmp_path: Path) -> None:
    """Kills the program during a push; discovery then reports an older list, and later the newest."""

    def listed(*names: str) -> list[dict[str, Any]]:
        return [entry(name, 10_000 + int(name[1:])) for name in names]

    discovery = LiveDiscovery(listed("n1", "n2"), version=40)
    config = tmp_path / "control.yaml"
    config.write_bytes(config_text(tmp_path, discovery=discovery.address))
    program = ControlProgram(config)

    async def main() -> None:
        nonlocal program
        proxies = [
            LiveProxy(ProxyStandIn(f"p{at}", "z", bool(at % 2)), program.addresses["xds"]) for at in range(20)
        ]
        for each in proxies:
            each.start()
            await each.wait_until(each.proxy.is_complete)
        discovery.change(*listed("n3"))
        await proxies[0].wait_until(lambda: len(proxies[0].proxy.usable()) == 3)
        program.kill()  # the update to the other proxies is still in progress
        for each in proxies:
            await each.wait_until(partial(has_ended, each))
            await each.stop()
        discovery.disconnect_watches(39, listed("n1"))
        program = ControlProgram(config)
        again = LiveProxy(proxies[0].proxy, program.addresses["xds"])
        again.start(forget=True)  # the proxy also loses the versions that it had received
        await until(lambda: "withheld" in (tmp_path / "control.log").read_text())
        assert not again.proxy.kinds["type.googleapis.com/envoy.config.cluster.v3.Cluster"].resources
        discovery.disconnect_watches(42, listed("n1", "n2", "n3", "n4"))
        await again.wait_until(lambda: len(again.proxy.usable()) == 4)
        await again.stop()

    try:
        run(main())
        assert program.end() == 0
    finally:
        program.kill()
        discovery.close()


def test_two_instances_watch_each_other(tmp_path: Path) -> None:
    """Cuts one instance off from discovery.

    The peer's status lets the instance publish while its view is current, and stops it once it is behind.
    """
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    one, other = (
        LiveDiscovery([entry("n1", 10_001)], version=7),
        LiveDiscovery([entry("n1", 10_001)], version=7),
    )

    async def with_other(first: Service, target: str) -> None:
        peers = [{"name": "one", "address": target}]

        async def both(second: Service, target: str) -> None:
            await until(lambda: second.core.withheld_reason(second.now_ns()) is None)
            other.close()
            await until(lambda: not second.core.view_consistency.is_discovery_connected(second.now_ns()))
            # The first instance confirms that the second one's view is current.
            await until(lambda: second.core.withheld_reason(second.now_ns()) is None)
            proxy = LiveProxy(ProxyStandIn("p", "z", True), target)
            proxy.start()
            await proxy.wait_until(proxy.proxy.is_complete)
            one.change(entry("n2", 10_002))
            await until(lambda: second.core.withheld_reason(second.now_ns()) is not None)
            # The instance that is behind ends its streams, so that subscribers move to another instance.
            await proxy.wait_until(lambda: proxy.ended is grpc.StatusCode.UNAVAILABLE)
            await proxy.stop()

        await serving(tmp_path / "b", other, both, peers=peers, silence_ms=1500)

    run(serving(tmp_path / "a", one, with_other))


class Authority:
    """A certificate authority that issues certificates."""

    def __init__(self) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.pem, _ = self.certificate("authority", own=True)

    def certificate(self, name: str, days: int = 1, own: bool = False) -> tuple[bytes, bytes]:
        key = self.key if own else ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])
        now = dt.datetime.now(dt.UTC)
        made = (
            x509.CertificateBuilder().subject_name(subject).issuer_name(issuer).public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - dt.timedelta(days=3)).not_valid_after(now + dt.timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=own, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
            .sign(self.key, hashes.SHA256())
        )  # fmt: skip
        private = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        return made.public_bytes(Encoding.PEM), private


def test_mutual_tls_names_subscribers_and_takes_new_certificates_whole_or_not_at_all(tmp_path: Path) -> None:
    ours, theirs = Authority(), Authority()
    discovery = LiveDiscovery([entry("n1", 10_001)])

    def put(certificate: bytes, key: bytes) -> None:
        (tmp_path / "cert.pem").write_bytes(certificate)
        (tmp_path / "key.pem").write_bytes(key)

    def proxy(target: str, name: str, authority: Authority = ours) -> LiveProxy:
        certificate, key = authority.certificate(name)
        credentials = grpc.ssl_channel_credentials(ours.pem, key, certificate)
        port = target.rpartition(":")[2]
        return LiveProxy(ProxyStandIn("whatever it says", "z", False), f"localhost:{port}", credentials)

    async def main(service: Service, target: str) -> None:
        assert service.certificates is not None
        good = proxy(target, "p.market")
        good.start()
        await good.wait_until(good.proxy.is_complete)
        (stream,) = service.core.streams.values()
        assert stream.identity == "p.market"
        for stranger, code in (
            (proxy(target, "p.elsewhere"), grpc.StatusCode.PERMISSION_DENIED),
            (proxy(target, "p.market", theirs), grpc.StatusCode.UNAVAILABLE),
        ):
            stranger.start()
            await stranger.wait_until(partial(has_ended, stranger))
            assert stranger.ended is code and not stranger.proxy.responses, stranger.end_details
            await stranger.stop()
        held = service.certificates.material
        for bad, says in (
            ((ours.certificate("localhost")[0], held.key), "not the key"),
            (ours.certificate("localhost", days=-1), "valid from"),
            ((held.certificate[:100], held.key), "not a certificate"),
            ((held.certificate + ours.pem[:-10], held.key), "ends within a certificate"),
        ):
            put(*bad)
            assert not service.certificates.reload_if_changed() and says in (
                service.certificates.problem or ""
            )
            assert service.certificates.material is held
        put(*ours.certificate("localhost"))
        assert service.certificates.reload_if_changed() and service.certificates.material is not held
        fresh = proxy(target, "q.market")
        fresh.start()
        await fresh.wait_until(fresh.proxy.is_complete)
        assert good.ended is None  # open streams are not affected by a reload
        for each in (good, fresh):
            await each.stop()

    put(*ours.certificate("localhost"))
    (tmp_path / "ca.pem").write_bytes(ours.pem)
    tls = {"certificate": "cert.pem", "key": "key.pem", "client_ca": "ca.pem"}
    groups = [{"identity": "*.market", "zone": "z"}]
    run(serving(tmp_path, discovery, main, tls=tls, subscribers=groups, listen="127.0.0.1:0"))


def test_the_command_line_and_the_page(tmp_path: Path) -> None:
    discovery = LiveDiscovery([entry("n1", 10_001), entry("n2", 10_002)])
    config = tmp_path / "control.yaml"
    config.write_bytes(config_text(tmp_path, discovery=discovery.address))
    program = ControlProgram(config)
    status = program.addresses["status"]

    def diff(name: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "brambleusher", "control", "diff", name, "--status", status],
            capture_output=True, text=True, timeout=WAIT,
        )  # fmt: skip
        return done.returncode, done.stdout + done.stderr

    async def main() -> None:
        def refuses(kind: str, resources: list[Any]) -> str | None:
            two_zones = kind == ASSIGNMENT and any(len(each.endpoints) > 1 for each in resources)
            return "I won't <b>" if two_zones else None

        proxy = LiveProxy(ProxyStandIn("p/1", "z", True, verdict=refuses), program.addresses["xds"])
        proxy.start()
        await proxy.wait_until(proxy.proxy.is_complete)
        assert (await asyncio.to_thread(diff, "p/1"))[0] == 0
        before = proxy.proxy.responses
        discovery.change(entry("n9", 10_009, zone="y"))
        await proxy.wait_until(lambda: proxy.proxy.responses > before)
        await until(lambda: diff("p/1")[0] == 1)
        _, text = await asyncio.to_thread(diff, "p/1")
        assert "+127.0.0.1:10009 in use weight=100" in text and "EDS execute-nodes: differs" in text
        page = await asyncio.to_thread(lambda: urllib.request.urlopen(f"http://{status}/").read().decode())
        assert "p/1" in page and "EDS execute-nodes: I won&#x27;t &lt;b&gt;" in page
        assert "<p>place Place(epoch=1, version=2), 3 nodes, 1 subscribers</p>" in page
        await proxy.stop()

    try:
        run(main())
        assert diff("nobody")[0] == 2
        log = tmp_path / "control.log"
        config.write_bytes(config_text(tmp_path, discovery=discovery.address, classes=[{"name": "none"}]))
        program.process.send_signal(signal.SIGHUP)
        run(until(lambda: "configuration reload failed" in log.read_text()))
        config.write_bytes(config_text(tmp_path, discovery="127.0.0.1:1", classes=[{"name": "look"}]))
        program.process.send_signal(signal.SIGHUP)
        run(until(lambda: "configuration reloaded" in log.read_text()))
        assert "key=discovery" in log.read_text()
        assert program.end() == 0
        with socket.create_server(("127.0.0.1", 0)) as taken:
            busy = f"127.0.0.1:{taken.getsockname()[1]}"
            for text, says in (
                (b"name: [", "bad control configuration: not YAML"),
                (config_text(tmp_path, listen=busy), f"{busy} can't be listened on"),
                (config_text(tmp_path, status=busy), "address already in use"),
            ):
                config.write_bytes(text)
                done = subprocess.run(
                    [sys.executable, "-m", "brambleusher", "control", "--config", str(config)],
                    capture_output=True, text=True, timeout=WAIT,
                )  # fmt: skip
                assert done.returncode == 2 and says in done.stderr and "Traceback" not in done.stderr
    finally:
        program.kill()
        discovery.close()
