"""Experiment files in YAML, and the matrix of cells that an experiment consists of."""

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
    """The experiment file is invalid; the message names the key at fault."""


class DemandSpec(Settings, frozen=True):
    """The demand of a cell, scaled: a recorded file, or a recipe that is generated anew for each seed."""

    file: str | None = None
    recipe: dict[str, Any] | None = None
    rate: Times = 1.0
    # Factor by which the request rate of each class is multiplied, by class name.
    classes: dict[str, Times] = msgspec.field(default_factory=dict)


class ExperimentFile(Settings, frozen=True):
    """An experiment file.  Worlds and demands are written inline or as paths relative to the file."""

    name: str = "experiment"
    note: str = ""
    worlds: dict[str, str | dict[str, Any] | None] = msgspec.field(default_factory=lambda: {"usual": None})
    demands: dict[str, str | DemandSpec | None] = msgspec.field(default_factory=lambda: {"usual": None})
    settings: dict[str, dict[str, Any] | None] = msgspec.field(default_factory=lambda: {"usual": None})
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)] = msgspec.field(default_factory=lambda: [1])
    where: Annotated[list[Where], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["virtual"]
    )
    # "nodes" bypasses the sidecars, to measure how exactly the demand is played.
    through: Literal["sidecars", "nodes"] = "sidecars"
    speed: Speed | dict[Where, Speed] = 1.0
    # Timeout in milliseconds for requests that have no timeout of their own.
    timeout_ms: Annotated[int, msgspec.Meta(ge=1)] = 2000
    check: bool = True  # check all rules in virtual time


class Cell(Settings, frozen=True):
    """One run of the matrix, with all its inputs."""

    world: str
    demand: str
    settings: str
    seed: int
    where: Where
    through: Literal["sidecars", "nodes"]
    speed: float
    timeout_ms: int
    check: bool
    figures: WorldFile  # the world, with the settings of the cell merged into it
    spec: DemandSpec
    digest: str = ""  # SHA-256 of the demand file, so that a changed file gives a new cell id
    format: int = FORMAT

    @property
    def id(self) -> str:
        """Return a hash of all inputs, which identifies the cell in the results file."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:24]

    @property
    def title(self) -> str:
        """Return a readable name of the cell."""
        return f"{self.world} / {self.demand} / {self.settings} / seed {self.seed} / {self.where}"

    def requests(self) -> Iterator[Request]:
        """Generate the requests of the cell in order of time; raise `DemandError` if the file is unusable."""
        spec = self.spec
        generated = self._read_file(spec.file) if spec.file is not None else self._generate(spec.recipe or {})
        if spec.rate == 1.0 and not spec.classes:
            return generated
        return self._scaled(generated)

    def _scaled(self, generated: Iterator[Request]) -> Iterator[Request]:
        scale = shape.Scale(rate=self.spec.rate, classes=self.spec.classes, seed=self.seed)
        first = next(generated, None)
        if first is None:
            return

        def chained() -> Iterator[Request]:
            yield first
            yield from generated

        yield from shape.scale_demand(chained(), first.at_ns, scale)

    @staticmethod
    def _read_file(path: str) -> Iterator[Request]:
        with DemandFile(path) as file:
            yield from file.requests()

    def _generate(self, raw: dict[str, Any]) -> Iterator[Request]:
        return synthetic.requests(recipe_of(raw), self.seed)


def recipe_of(raw: dict[str, Any]) -> synthetic.Recipe:
    """Convert plain values to a recipe; raise `RecipeError` if they are invalid."""
    try:
        return synthetic.validate_recipe(msgspec.convert(raw, synthetic.Recipe))
    except msgspec.ValidationError as error:
        raise synthetic.RecipeError(str(error)) from None


def read_experiment(path: Path) -> tuple[ExperimentFile, list[Cell]]:
    """Read an experiment file; return it and the cells of its matrix.

    Raises:
        ExperimentError: The file is unreadable or invalid.
    """
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
    """Return the cells of the matrix in order; paths in the file are relative to `folder`.

    Raises:
        ExperimentError: A world, a demand or the settings are invalid.
    """
    specs = {name: _load_demand(f"demands.{name}", each, folder) for name, each in file.demands.items()}
    matrix = []
    for world_name, world in file.worlds.items():
        raw_world = _load_world(f"worlds.{world_name}", world, folder)
        for settings_name, overrides in file.settings.items():
            try:
                merged_world = parse_world(raw_world, overrides)
                merged_world.world_spec()
            except WorldError as error:
                at = f"worlds.{world_name}" + (f" with settings.{settings_name}" if overrides else "")
                raise ExperimentError(f"{at}: {error}") from None
            if merged_world.faults and "sockets" in file.where:
                raise ExperimentError(f"worlds.{world_name}: faults need virtual time; where has sockets")
            for demand_name, (spec, digest) in specs.items():
                matrix += [
                    Cell(
                        world=world_name, demand=demand_name, settings=settings_name, seed=seed, where=where,
                        through=file.through, speed=_speed(file, where), timeout_ms=file.timeout_ms,
                        check=file.check, figures=merged_world, spec=spec, digest=digest,
                    )
                    for where in file.where
                    for seed in file.seeds
                ]  # fmt: skip
    return matrix


def _speed(file: ExperimentFile, where: Where) -> float:
    return file.speed.get(where, 1.0) if isinstance(file.speed, dict) else file.speed


def _load_world(where: str, value: str | dict[str, Any] | None, folder: Path) -> Any:
    if not isinstance(value, str):
        return value
    try:
        return yaml.safe_load((folder / value).read_bytes())
    except OSError as error:
        raise ExperimentError(f"{where}: {value}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{where}: {value}: not YAML: {' '.join(str(error).split())}") from None


def _load_demand(where: str, value: str | DemandSpec | None, folder: Path) -> tuple[DemandSpec, str]:
    spec = DemandSpec() if value is None else DemandSpec(file=value) if isinstance(value, str) else value
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
