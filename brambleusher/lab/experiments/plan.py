"""What an experiment is: a file in YAML, and the cells of its matrix."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import yaml

from brambleusher.lab.fleets.worlds import WorldError, WorldFile, parse_world
from brambleusher.lab.stand_ins.settings import Settings
from brambleusher.load import shape, synthetic
from brambleusher.load.demand import DemandError, DemandFile
from brambleusher.load.request import Request

FORMAT = 1
Where = Literal["virtual", "sockets"]
Speed = Annotated[float, msgspec.Meta(ge=1e-6, le=1e6)]
Times = Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class ExperimentError(ValueError):
    """An experiment that can't be run; the message names the key."""


class DemandSpec(Settings, frozen=True):
    """Demand by a file, or by a recipe that is drawn anew for each seed; then scaled."""

    file: str | None = None
    recipe: dict[str, Any] | None = None
    rate: Times = 1.0
    classes: dict[str, Times] = msgspec.field(default_factory=dict)  # times as many of a class


class ExperimentFile(Settings, frozen=True):
    """The file.  Worlds and demands may be paths, relative to it, or stand in it."""

    name: str = "experiment"
    note: str = ""
    worlds: dict[str, str | dict[str, Any] | None] = msgspec.field(default_factory=lambda: {"usual": None})
    demands: dict[str, str | DemandSpec | None] = msgspec.field(default_factory=lambda: {"usual": None})
    settings: dict[str, dict[str, Any] | None] = msgspec.field(default_factory=lambda: {"usual": None})
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)] = msgspec.field(default_factory=lambda: [1])
    where: Annotated[list[Where], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["virtual"]
    )
    through: Literal["sidecars", "nodes"] = "sidecars"  # nodes: straight, to see how true a play is
    speed: Speed | dict[Where, Speed] = 1.0
    timeout_ms: Annotated[int, msgspec.Meta(ge=1)] = 2000  # of requests that have none
    check: bool = True  # in virtual time, every rule


class Cell(Settings, frozen=True):
    """One run of the matrix, with all that it needs."""

    world: str
    demand: str
    settings: str
    seed: int
    where: Where
    through: Literal["sidecars", "nodes"]
    speed: float
    timeout_ms: int
    check: bool
    figures: WorldFile  # the world with the settings laid over it
    spec: DemandSpec
    digest: str = ""  # of a demand file, so that another file is another cell
    format: int = FORMAT

    @property
    def id(self) -> str:
        """The same for the same run."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:24]

    @property
    def title(self) -> str:
        """In words."""
        return f"{self.world} / {self.demand} / {self.settings} / seed {self.seed} / {self.where}"

    def requests(self) -> Iterator[Request]:
        """Its demand, in order; raises `DemandError`."""
        spec = self.spec
        made = self._file(spec.file) if spec.file is not None else self._drawn(spec.recipe or {})
        if spec.rate == 1.0 and not spec.classes:
            return made
        return self._scaled(made)

    def _scaled(self, made: Iterator[Request]) -> Iterator[Request]:
        scale = shape.Scale(rate=self.spec.rate, classes=self.spec.classes, seed=self.seed)
        first = next(made, None)
        if first is None:
            return

        def all_of() -> Iterator[Request]:
            yield first
            yield from made

        yield from shape.scaled(all_of(), first.at_ns, scale)

    @staticmethod
    def _file(path: str) -> Iterator[Request]:
        with DemandFile(path) as file:
            yield from file.requests()

    def _drawn(self, raw: dict[str, Any]) -> Iterator[Request]:
        return synthetic.requests(recipe_of(raw), self.seed)


def recipe_of(raw: dict[str, Any]) -> synthetic.Recipe:
    """A recipe from plain values; raises `RecipeError`."""
    try:
        return synthetic.checked(msgspec.convert(raw, synthetic.Recipe))
    except msgspec.ValidationError as error:
        raise synthetic.RecipeError(str(error)) from None


def read_experiment(path: Path) -> tuple[ExperimentFile, list[Cell]]:
    """An experiment's file and the cells of its matrix; raises `ExperimentError`."""
    try:
        raw = yaml.safe_load(path.read_bytes())
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: not YAML: {' '.join(str(error).split())}") from None
    try:
        file = msgspec.convert({} if raw is None else raw, ExperimentFile)
        return file, cells(file, path.parent)
    except (msgspec.ValidationError, ExperimentError) as error:
        raise ExperimentError(f"{path}: {error}") from None


def cells(file: ExperimentFile, folder: Path) -> list[Cell]:
    """The matrix, in order; paths are relative to `folder`.  Raises `ExperimentError`."""
    specs = {name: _demand(f"demands.{name}", each, folder) for name, each in file.demands.items()}
    found = []
    for world_name, world in file.worlds.items():
        plain = _plain_world(f"worlds.{world_name}", world, folder)
        for settings_name, over in file.settings.items():
            try:
                figures = parse_world(plain, over)
                figures.world_spec()
            except WorldError as error:
                at = f"worlds.{world_name}" + (f" with settings.{settings_name}" if over else "")
                raise ExperimentError(f"{at}: {error}") from None
            if figures.faults and "sockets" in file.where:
                raise ExperimentError(f"worlds.{world_name}: faults need virtual time; where has sockets")
            for demand_name, (spec, digest) in specs.items():
                found += [
                    Cell(
                        world=world_name, demand=demand_name, settings=settings_name, seed=seed, where=where,
                        through=file.through, speed=_speed(file, where), timeout_ms=file.timeout_ms,
                        check=file.check, figures=figures, spec=spec, digest=digest,
                    )
                    for where in file.where
                    for seed in file.seeds
                ]  # fmt: skip
    return found


def _speed(file: ExperimentFile, where: Where) -> float:
    return file.speed.get(where, 1.0) if isinstance(file.speed, dict) else file.speed


def _plain_world(where: str, given: str | dict[str, Any] | None, folder: Path) -> Any:
    if not isinstance(given, str):
        return given
    try:
        return yaml.safe_load((folder / given).read_bytes())
    except OSError as error:
        raise ExperimentError(f"{where}: {given}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{where}: {given}: not YAML: {' '.join(str(error).split())}") from None


def _demand(where: str, given: str | DemandSpec | None, folder: Path) -> tuple[DemandSpec, str]:
    spec = DemandSpec() if given is None else DemandSpec(file=given) if isinstance(given, str) else given
    if spec.file is None:
        try:
            recipe_of(spec.recipe or {})
        except synthetic.RecipeError as error:
            raise ExperimentError(f"{where}.recipe: {error}") from None
        return spec, ""
    if spec.recipe is not None:
        raise ExperimentError(f"{where} has both a file and a recipe")
    path = folder / spec.file
    try:
        with DemandFile(path) as file:
            file.verify()
            if not len(file):
                raise ExperimentError(f"{where}: {path} has no requests")
            return msgspec.structs.replace(spec, file=str(path.resolve())), file.footer.sha256
    except DemandError as error:
        raise ExperimentError(f"{where}: {error}") from None
