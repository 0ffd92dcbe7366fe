"""A simulated run of the whole system, with responses of controllers, an observer and a gateway."""

from __future__ import annotations

from typing import Any

from tests.system.virtual_deployment import (
    CONTROL,
    DIRECTORY,
    READY,
    Reply,
    VirtualDeployment,
    configuration,
    route,
)

# Each request: method, target, value of `If-Match`, body.
CALLS: tuple[tuple[str, str, str, bytes], ...] = (
    ("GET", "/api/config", "", b""),
    ("PUT", "/api/config", "7", configuration(9)),
    ("PUT", "/api/config", "1", b"{"),
    ("PUT", "/api/config", "1", b'{"revision":2,"routes":[{}],"services":[]}'),
    ("PUT", "/api/config", "", configuration(9)),
    ("PUT", "/api/config", "1", configuration(1)),
    ("PATCH", "/api/config", "1", b'{"revision":2,"remove":{"routes":["/d/"]}}'),
    ("PATCH", "/api/config", "1", b'{"revision":2,"remove":{"routes":["/d/"]}}'),
    ("PATCH", "/api/config", "2", b'{"revision":3,"remove":{"routes":["/none/"]}}'),
    ("POST", "/api/evacuations/n2", "", b""),
    ("GET", "/api/evacuations", "", b""),
    ("POST", "/api/evacuations/nowhere", "", b""),
    ("DELETE", "/api/evacuations/n2", "", b""),
    ("DELETE", "/api/evacuations/n2", "", b""),
    ("GET", "/none", "", b""),
    ("DELETE", "/api/config", "", b""),
    ("GET", "/ready", "", b""),
)


def reply_as_json(reply: Reply) -> dict[str, Any]:
    """Return the status, headers and body of a reply."""
    return {
        "status": reply.status,
        "headers": dict(sorted(reply.headers.items())),
        "body": reply.body.decode(),
    }


def play() -> dict[str, Any]:
    """Run the simulation; return each response by its machine and request."""
    deployment = VirtualDeployment(seed=5, cores=3, gateways=1, observers=1)
    try:
        for number, (service, zone) in enumerate((("llm", "n1"), ("llm", "n2"), ("desk", "s1"))):
            deployment.add_instance(f"i{number}", service, zone)
        deployment.served(configuration(1, route(), route("/d/", kind="idempotent", service="desk")))
        deployment.sleep(4.0)
        requests = [
            deployment.request("g1", target, f"a{n}")
            for n, target in enumerate(("/s/1", "/s/2", "/d/x", "/none"))
        ]
        deployment.stub_instances["i0"].rejects_requests = True
        deployment.stub_instances["i1"].resets_after_events = 2
        requests += [deployment.request("g1", f"/s/{n}", f"b{n}") for n in range(3)]
        deployment.stub_instances["i1"].is_unresponsive = True
        requests += [deployment.request("g1", "/s/x", "c0")]
        deployment.sleep(1.0)

        def ask(machine: str, port: int, target: str) -> dict[str, Any]:
            return reply_as_json(
                deployment.call((deployment.world.machines[machine].ip, port), "GET", target)
            )

        answers = {f"request {number}": reply_as_json(reply) for number, reply in enumerate(requests)}
        for machine, port in (("c1", CONTROL), ("c2", CONTROL), ("o1", CONTROL), ("g1", READY)):
            answers[f"{machine} status"] = ask(machine, port, "/api/status")
        for number, (method, target, match, body) in enumerate(CALLS):
            headers = {"If-Match": match} if match else {}
            reply = deployment.control("c1", method, target, headers=headers, body=body)
            answers[f"c1 {number} {method} {target}"] = reply_as_json(reply)
        answers["o1 GET /api/config"] = ask("o1", CONTROL, "/api/config")
        for target in ("/api/resolution?zone=n1&region=north", "/api/resolution", "/none"):
            answers[f"c1 {target}"] = ask("c1", DIRECTORY, target)
        for target in ("/api/readiness", "/none"):
            answers[f"g1 {target}"] = ask("g1", READY, target)
        return answers
    finally:
        deployment.close()
