"""Messages between processes recorded at commit 49e18d4 are still read, answered and written identically."""

from __future__ import annotations

import hashlib
import json
import random
import re
from collections import defaultdict
from pathlib import Path
from typing import Any

import pytest

from brambleusher.membership.views import PartialView
from brambleusher.wire import lines
from brambleusher.wire.consensus_messages import decode_message, encode_message
from tests.recorded import conversation

RECORDED = Path(__file__).parent / "recorded" / "messages"
CONSENSUS = (RECORDED / "consensus.jsonl").read_bytes().splitlines(keepends=True)
ANSWERS: dict[str, str] = json.loads((RECORDED / "answers.json").read_bytes())
SENT: dict[str, dict[str, Any]] = json.loads((RECORDED / "sent.json").read_bytes())
# A sample with one process in each state; the last value of each entry is its age in milliseconds.
SAMPLE = (
    b'{"from":"10.1.0.9:7720","kind":"shuffle","sample":'
    b'[["c9","controller","10.1.0.0:7720","n1","north","starting",1790000000000,500],'
    b'["g8","gateway","10.1.0.2:7720","n1","north","ready",1790000000002,1000],'
    b'["g9","gateway","10.1.0.1:7720","n1","north","leaving",1790000000001,750]]}\n'
)
KIND = re.compile(r'"kind":"(\w+)"')


@pytest.fixture(scope="module")
def day() -> dict[str, Any]:
    return conversation.play()


@pytest.mark.parametrize("line", CONSENSUS, ids=lambda line: line[:60].decode())
def test_a_message_between_replicas_is_written_as_it_was_read(line: bytes) -> None:
    assert lines.encode(encode_message(decode_message(lines.decode(line)))) == line


def test_every_kind_between_replicas_is_among_them() -> None:
    kinds = {lines.decode(line)["kind"] for line in CONSENSUS}
    assert kinds == {"vote", "voted", "append", "appended", "snapshot", "transfer", "join", "leave"}


@pytest.mark.parametrize("name", sorted(ANSWERS))
def test_an_answer_is_the_recorded_one(name: str, day: dict[str, Any]) -> None:
    assert day["answers"][name] == ANSWERS[name]


def test_every_question_is_asked(day: dict[str, Any]) -> None:
    assert set(day["answers"]) == set(ANSWERS)
    assert set(SENT) == {
        "answer", "append", "appended", "controllers", "forward", "forwarded", "instances", "join", "leave",
        "relay", "shuffle", "vote", "voted",
    }  # fmt: skip


@pytest.mark.parametrize("kind", sorted(SENT))
def test_lines_between_processes_are_the_recorded_ones(kind: str, day: dict[str, Any]) -> None:
    sent: dict[str, list[str]] = defaultdict(list)
    for line in day["sent"]:
        found = KIND.search(line)
        sent[found[1] if found else "answer"].append(line)
    expected = SENT[kind]
    assert expected["first"] in sent[kind]
    assert len(sent[kind]) == expected["count"]
    # The order of lines sent to several processes at the same time is not fixed, so the lines are sorted.
    assert hashlib.sha256("".join(sorted(sent[kind])).encode()).hexdigest() == expected["sha256"]


def test_a_sample_of_a_view_is_written_as_it_was_read() -> None:
    message, view = lines.decode(SAMPLE), PartialView(random.Random(1))
    view.merge(message["sample"], 100.5)
    written = {**message, "sample": sorted(view.sample(100.5), key=lambda entry: str(entry[0]))}
    assert lines.encode(written) == SAMPLE
