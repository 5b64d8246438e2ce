"""The mesh configuration document of the operators: schema and checks."""

from collections.abc import Iterator
import graphlib
from typing import Annotated

import pydantic

from peridotpost.border import document
from peridotpost.model import config

MAX_TEXT_BYTES = 1_000_000
"""Largest value that the platform's key-value store accepts."""
MAX_DEADLINE_MS = 300_000
NAME_PATTERN = r'^[a-z][a-z0-9-]{0,62}$'

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
PositiveInt = Annotated[int, pydantic.Field(gt=0, strict=True)]
DeadlineMs = Annotated[
    int, pydantic.Field(gt=0, le=MAX_DEADLINE_MS, strict=True)
]
StrictBool = Annotated[bool, pydantic.Field(strict=True)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class LimitsSection(_StrictModel):
    """``limits`` of a service; each applies to a single target."""

    queue: Annotated[int, pydantic.Field(ge=0, le=10_000, strict=True)] = 64
    body_bytes: Annotated[PositiveInt, pydantic.Field(le=16_777_216)] = (
        1_048_576
    )
    answer_bytes: Annotated[PositiveInt, pydantic.Field(le=16_777_216)] = (
        4_194_304
    )


class CallSection(_StrictModel):
    """Entry of ``calls``, which overrides the service's defaults."""

    method: Annotated[str, pydantic.Field(pattern=r'^[A-Z]{1,16}$')]
    path: Annotated[str, pydantic.Field(pattern=r'^/[^\s]*$')] = '/'
    idempotent: StrictBool
    deadline_ms: DeadlineMs | None = None


class ServiceSection(_StrictModel):
    """One service; ``idempotent: false`` is the safe default."""

    depends_on: list[Name] = []
    internal: StrictBool = False
    idempotent: StrictBool = False
    deadline_ms: DeadlineMs = 5_000
    work_class: config.WorkClass = config.WorkClass.SHORT
    limits: LimitsSection = LimitsSection()
    calls: list[CallSection] = []


class MeshDocument(_StrictModel):
    """Configuration of a mesh."""

    mesh: Name
    availability_zones: Annotated[list[Name], pydantic.Field(min_length=1)]
    services: Annotated[
        dict[Name, ServiceSection], pydantic.Field(min_length=1)
    ]


def parse_mesh(text: str, file: str) -> MeshDocument:
    """Parse and validate a configuration document.

    :raises document.DocumentError: with the line of each error.
    """
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        message = (
            f'is {size} bytes, over the limit of {MAX_TEXT_BYTES}; '
            'shorten it or split the mesh'
        )
        raise document.DocumentError([document.Problem(file, '', 0, message)])
    parsed = document.read_yaml(text, file)
    try:
        mesh = MeshDocument.model_validate(parsed.data)
    except pydantic.ValidationError as error:
        raise document.DocumentError(parsed.problems_of(error)) from error
    problems = list(_find_problems(mesh, parsed))
    if problems:
        raise document.DocumentError(problems)
    return mesh


def _find_problems(
    mesh: MeshDocument, parsed: document.Document
) -> Iterator[document.Problem]:
    yield from _duplicate_names(
        mesh.availability_zones, ('availability_zones',), parsed
    )
    for name, service in mesh.services.items():
        path = ('services', name)
        yield from _duplicate_names(
            service.depends_on, (*path, 'depends_on'), parsed
        )
        for index, dependency in enumerate(service.depends_on):
            if dependency not in mesh.services:
                yield parsed.problem(
                    (*path, 'depends_on', index),
                    f'names {dependency!r}, which is not a service of this '
                    'mesh; add the service or remove the dependency',
                )
        yield from _duplicate_calls(service, path, parsed)
    cycle = _dependency_cycle(mesh)
    if cycle:
        yield parsed.problem(
            ('services', cycle[0], 'depends_on'),
            f'is a cycle: {" -> ".join(cycle)}; a call would never return',
        )


def _duplicate_names(
    names: list[str], path: document.Path, parsed: document.Document
) -> Iterator[document.Problem]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield parsed.problem((*path, index), f'lists {name!r} twice')


def _duplicate_calls(
    service: ServiceSection, path: document.Path, parsed: document.Document
) -> Iterator[document.Problem]:
    seen: set[tuple[str, str]] = set()
    for index, call in enumerate(service.calls):
        if (call.method, call.path) in seen:
            yield parsed.problem(
                (*path, 'calls', index),
                f'repeats {call.method} {call.path}',
            )
        seen.add((call.method, call.path))


def _dependency_cycle(mesh: MeshDocument) -> list[str]:
    """Return the services along a dependency cycle; empty if there is none."""
    graph = {
        name: service.depends_on for name, service in mesh.services.items()
    }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        cycle: list[str] = error.args[1]
        return cycle
    return []


def to_config(
    mesh: MeshDocument, revision: int, write_id: str
) -> config.ConfigVersion:
    """Convert a validated document to a version for the daemons."""
    return config.ConfigVersion(
        revision=revision,
        write_id=write_id,
        availability_zones=tuple(mesh.availability_zones),
        services={
            name: _to_spec(name, service)
            for name, service in mesh.services.items()
        },
    )


def _to_spec(name: str, service: ServiceSection) -> config.ServiceSpec:
    return config.ServiceSpec(
        name=name,
        depends_on=tuple(service.depends_on),
        internal=service.internal,
        idempotent=service.idempotent,
        deadline_ms=service.deadline_ms,
        work_class=service.work_class,
        limits=config.Limits(**service.limits.model_dump()),
        calls=tuple(
            config.CallRule(
                method=call.method,
                path_prefix=call.path,
                idempotent=call.idempotent,
                deadline_ms=call.deadline_ms or service.deadline_ms,
            )
            for call in service.calls
        ),
    )
