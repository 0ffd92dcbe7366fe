"""Cases of the time after the last fault."""

from __future__ import annotations

from tests.lab.checker.synthetic_traffic import MS, S, Traffic
from tests.lab.checker.wire_cases import Cases

CASES = Cases()


def after_faults(traffic: Traffic, served: int, of: int, wait_s: int) -> None:
    traffic.checker.faults_ended(traffic.now)
    traffic.wait(wait_s * S)
    for number in range(of):
        if number < served:
            traffic.serve_request(f"r{number}", "look")
        else:
            traffic.answer(traffic.send_request(f"r{number}", "look"), 503)
        traffic.wait(MS)


@CASES.case("recovery")
def still_ill(traffic: Traffic) -> None:
    after_faults(traffic, 94, 100, 3)


@CASES.case("")
def well_again(traffic: Traffic) -> None:
    after_faults(traffic, 95, 100, 3)


@CASES.case("")
def too_few_to_tell(traffic: Traffic) -> None:
    after_faults(traffic, 0, 7, 3)


@CASES.case("recovery")
def just_enough_to_tell(traffic: Traffic) -> None:
    after_faults(traffic, 0, 8, 3)


@CASES.case("")
def one_lost_of_few(traffic: Traffic) -> None:
    after_faults(traffic, 11, 12, 3)


@CASES.case("recovery")
def two_lost_of_few(traffic: Traffic) -> None:
    after_faults(traffic, 17, 19, 3)


@CASES.case("")
def refused_and_served_when_tried_again(traffic: Traffic) -> None:
    traffic.checker.faults_ended(traffic.now)
    traffic.wait(3 * S)
    for number in range(30):
        traffic.answer(traffic.send_request(f"r{number}", "look"), 503)
        traffic.wait(MS).serve_request(f"r{number}-1", "look")


@CASES.case("")
def bad_clients_are_not_asked(traffic: Traffic) -> None:
    traffic.checker.bad_client("rude")
    traffic.checker.faults_ended(traffic.now)
    traffic.wait(3 * S)
    for number in range(30):
        traffic.answer(traffic.send_request(f"r{number}", "look", traffic.client("rude")), 503)


@CASES.case("")
def not_asked_to_be_well_yet(traffic: Traffic) -> None:
    after_faults(traffic, 0, 100, 2)
