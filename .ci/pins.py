"""Print every requirement of every extra in pyproject.toml, one a line."""

import tomllib
from pathlib import Path

project = tomllib.loads(
    (Path(__file__).resolve().parent.parent / "pyproject.toml").read_text(encoding="utf-8")
)
extras = project["project"]["optional-dependencies"]
for name in sorted(
    {each for named in extras.values() for each in named if not each.startswith("brambleusher")}
):
    print(name)
