"""A reproducible run of the control plane, with requests from outside to its peer ports.

The run has three controllers and an observer, but no gateway, so that a request made here is the only one
that waits in a long poll.
"""

from __future__ import annotations

import re
from typing import Any

from brambleusher.lab.virtual.network import Connection
from brambleusher.lab.virtual.world import Tap
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from brambleusher.wire.packing import unpack
from tests.system.virtual_deployment import DIRECTORY, PEER, VirtualDeployment, configuration, route

ME = (
    b'"me":{"name":"%b","role":"gateway","address":"10.2.0.%b:8161","zone":"n1","region":"north",'
    b'"state":"ready","incarnation":1790000000000}'
)
G1, G2 = ME % (b"g1", b"1"), ME % (b"g2", b"2")
G3 = (ME % (b"g3", b"3")).replace(b'"n1","region":"north"', b'"s1","region":"south"')
FIGURES = b'"figures":{"i1":[3.5,1.0,2.0,3.0,1.25,4.0,0.5,1.0],"i2":[1.0,0.0,1.0,1.0,0.5,2.0]}'
WATCH = b'{"kind":"watch",%b,"index":%b,"source":"%b","version":%b%b}\n'
# Requests by name: the machine that receives the request, and the request line.
QUESTIONS: dict[str, tuple[str, bytes]] = {
    "watch: all": ("c1", WATCH % (G1, b"-1", b"", b"-1", b"")),
    "watch: brief": ("c1", WATCH % (G1, b"-1", b"", b"-1", b',"brief":true')),
    "watch: brief, not any more": ("c1", WATCH % (G1, b"-1", b"", b"-1", b',"brief":false')),
    "watch: with load reports": ("c1", WATCH % (G1, b"-1", b"", b"-1", b"," + FIGURES)),
    "watch: load reports of another": ("c1", WATCH % (G2, b"-1", b"", b"-1", b',"figures":{}')),
    "watch: the list is known": ("c1", WATCH % (G2, b"-1", b"c1", b"2", b"")),
    "watch: nothing new": ("c1", WATCH % (G2, b"99", b"c1", b"2", b"")),
    "watch: at an observer": ("o1", WATCH % (G1, b"-1", b"", b"-1", b"")),
    "watch: without versions": ("c1", b'{"kind":"watch",%b}\n' % G1),
    "watch: no peer": ("c1", b'{"kind":"watch","me":7,"index":1,"source":"","version":1}\n'),
    "watch: load reports that are none": ("c1", WATCH % (G1, b"-1", b"", b"-1", b',"figures":[]')),
    "relay: put": (
        "c2",
        b'{"kind":"relay","what":"submit","command":{"op":"put","base":2,"revision":3,"digest":"d3",'
        b'"packed":"c$}+NDoQQOEY8f&Q?fGFQ7XzWElDj_vWkw?Q7TR?D$7iU@M-}atPSG"}}\n',
    ),
    "relay: put on an old base": (
        "c2",
        b'{"kind":"relay","what":"submit","command":{"op":"put","base":1,"revision":4,"digest":"d4",'
        b'"packed":"c$}+NDoQQOEY8f&Q?fGFQ7XzWElDj_vWkw?Q7TR?D$7iU@M-}atPSG"}}\n',
    ),
    "relay: evacuate": (
        "c3",
        b'{"kind":"relay","what":"submit","command":{"op":"evacuate","zone":"s1","evacuated":true,"seen":1}}\n',
    ),
    "relay: evacuate, without the index": (
        "c3",
        b'{"kind":"relay","what":"submit","command":{"op":"evacuate","zone":"n2","evacuated":true}}\n',
    ),
    "relay: evacuated before": (
        "c3",
        b'{"kind":"relay","what":"submit","command":{"op":"evacuate","zone":"s1","evacuated":true,"seen":1}}\n',
    ),
    "relay: an old copy": (
        "c3",
        b'{"kind":"relay","what":"submit","command":{"op":"evacuate","zone":"s1","evacuated":false,"seen":1}}\n',
    ),
    "relay: read": ("c2", b'{"kind":"relay","what":"read"}\n'),
    "relay: index": ("c2", b'{"kind":"relay","what":"index"}\n'),
    "watch: a second time": ("c1", WATCH % (G1, b"-1", b"", b"-1", b',"brief":true')),
    "watch: another a second time": ("c1", WATCH % (G2, b"-1", b"", b"-1", b',"brief":true')),
    "watch: of another region": ("c1", WATCH % (G3, b"-1", b"", b"-1", b',"brief":true')),
    "relay: resolve": ("c1", b'{"kind":"relay","what":"resolve","zone":"n1","region":"north"}\n'),
    "relay: resolve for all": ("c1", b'{"kind":"relay","what":"resolve","zone":"s1","region":"south"}\n'),
    "relay: resolve by region": ("c1", b'{"kind":"relay","what":"resolve","zone":"n2","region":"north"}\n'),
    "relay: controllers": ("c1", b'{"kind":"relay","what":"controllers"}\n'),
    "relay: at an observer": ("o1", b'{"kind":"relay","what":"read"}\n'),
    "relay: unknown": ("c1", b'{"kind":"relay","what":"sing"}\n'),
    "relay: a command that is none": ("c1", b'{"kind":"relay","what":"submit","command":{"op":"put"}}\n'),
    "no sender": ("c1", b'{"kind":"vote","term":1}\n'),
    "no JSON": ("c1", b"{\n"),
}
PACKED = re.compile(rb'"packed":"([^"\\]+)"')


class PeerTraffic(Tap):
    """Records all data sent to or from peer ports in order, with the name of the sending machine."""

    def __init__(self) -> None:
        self.sent_data: list[tuple[str, bytes]] = []

    def sent(self, now: int, conn: Connection, side: str, data: bytes) -> None:
        """Record sent bytes."""
        if conn.server.port == PEER and "caller" not in (conn.client.machine, conn.server.machine):
            self.sent_data.append((conn.client.machine if side == "client" else conn.server.machine, data))

    def all_lines(self) -> list[bytes]:
        """Return all lines in the order in which they were sent."""
        return [line + b"\n" for _, data in self.sent_data for line in data.split(b"\n") if line]


def ask(deployment: VirtualDeployment, machine: str, line: bytes) -> bytes:
    """Send one line to a process's peer port; return its reply, empty if it closes the connection."""
    answer: list[bytes] = []

    def run(scheduler: Scheduler) -> None:
        end = scheduler.now() + 3.0
        stream = Stream.connect(scheduler, (deployment.world.machines[machine].ip, PEER), end)
        stream.send(line, end)
        got = b""
        while not got.endswith(b"\n") and (data := stream.receive(end)):
            got += data
        answer.append(got)
        stream.close()
        scheduler.stop()

    deployment.caller.serve(lambda scheduler: scheduler.spawn(run, scheduler), "ask")
    deployment.wait(lambda: bool(answer))
    return unpacked(answer[0])


def unpacked(line: bytes) -> bytes:
    """Return a line with its packed part decompressed, as compressed bytes differ between zlib versions."""
    return PACKED.sub(lambda found: b'"packed":<' + unpack(found[1].decode()) + b">", line)


def play() -> dict[str, Any]:
    """Run the simulation; return the reply to each request, and all lines sent between processes."""
    deployment = VirtualDeployment(seed=47, cores=3, gateways=0, observers=1)
    try:
        lines = PeerTraffic()
        deployment.world.taps.append(lines)
        for name, service, zone in (("i1", "llm", "n1"), ("i2", "desk", "s1")):
            deployment.add_instance(name, service, zone)
        deployment.wait(lambda: deployment.leader() is not None)
        assert deployment.put("c1", 0, configuration(1)).status == 200
        assert deployment.put("o1", 1, configuration(2, route(), route("/t/"))).status == 200
        deployment.sleep(3.0)
        answers = {
            name: ask(deployment, machine, line).decode() for name, (machine, line) in QUESTIONS.items()
        }
        observer = (deployment.world.machines["o1"].ip, DIRECTORY)
        asked = "/api/resolution?zone=n1&region=north"
        answers["resolution at an observer"] = deployment.call(observer, "GET", asked).body.decode()
        deployment.add_core("c4", "10.1.0.4")
        deployment.sleep(1.0)
        deployment.process("c2").signal(15)
        deployment.sleep(8.0)
        sent = [unpacked(line).decode() for line in lines.all_lines()]
    finally:
        deployment.close()
    return {"answers": answers, "sent": sent}
