"""Print each requirement of all extras in pyproject.toml on a line of its own."""

import tomllib
from pathlib import Path

project = tomllib.loads(
    (Path(__file__).resolve().parent.parent / "pyproject.toml").read_text(encoding="utf-8")
)
extras = project["project"]["optional-dependencies"]
for name in sorted(
    {
        requirement
        for requirements in extras.values()
        for requirement in requirements
        if not requirement.startswith("brambleusher")
    }
):
    print(name)
