"""The operators' text: its schema, its checks and what they mean."""

from collections.abc import Iterator
import graphlib
from typing import Annotated

import pydantic

from peridotpost.border import document
from peridotpost.model import config

MAX_TEXT_BYTES = 1_000_000
"""The platform's service holds values up to a megabyte."""
MAX_DEADLINE_MS = 300_000
NAME_PATTERN = r'^[a-z][a-z0-9-]{0,62}$'

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Positive = Annotated[int, pydantic.Field(gt=0, strict=True)]
DeadlineMs = Annotated[
    int, pydantic.Field(gt=0, le=MAX_DEADLINE_MS, strict=True)
]
Flag = Annotated[bool, pydantic.Field(strict=True)]


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class LimitsText(_Strict):
    """``limits`` of a service; each holds for one target."""

    queue: Annotated[int, pydantic.Field(ge=0, le=10_000, strict=True)] = 64
    body_bytes: Annotated[Positive, pydantic.Field(le=16_777_216)] = 1_048_576
    answer_bytes: Annotated[Positive, pydantic.Field(le=16_777_216)] = (
        4_194_304
    )


class CallText(_Strict):
    """An entry of ``calls``: what is special about some of them."""

    method: Annotated[str, pydantic.Field(pattern=r'^[A-Z]{1,16}$')]
    path: Annotated[str, pydantic.Field(pattern=r'^/[^\s]*$')] = '/'
    idempotent: Flag
    deadline_ms: DeadlineMs | None = None


class ServiceText(_Strict):
    """One service; ``idempotent: false`` is the safe default."""

    depends_on: list[Name] = []
    internal: Flag = False
    idempotent: Flag = False
    deadline_ms: DeadlineMs = 5_000
    work_class: config.WorkClass = config.WorkClass.SHORT
    limits: LimitsText = LimitsText()
    calls: list[CallText] = []


class MeshText(_Strict):
    """The whole text."""

    mesh: Name
    availability_zones: Annotated[list[Name], pydantic.Field(min_length=1)]
    services: Annotated[dict[Name, ServiceText], pydantic.Field(min_length=1)]


def read_text(text: str, file: str) -> MeshText:
    """Check the operators' text.

    :raises document.DocumentError: every problem found, with its line.
    """
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        message = (
            f'is {size} bytes, over the limit of {MAX_TEXT_BYTES}; '
            'shorten it or split the mesh'
        )
        raise document.DocumentError([document.Problem(file, '', 0, message)])
    read = document.read_yaml(text, file)
    try:
        mesh = MeshText.model_validate(read.data)
    except pydantic.ValidationError as error:
        raise document.DocumentError(read.problems_of(error)) from error
    problems = list(_problems(mesh, read))
    if problems:
        raise document.DocumentError(problems)
    return mesh


def _problems(
    mesh: MeshText, read: document.Document
) -> Iterator[document.Problem]:
    yield from _repeated(
        mesh.availability_zones, ('availability_zones',), read
    )
    for name, service in mesh.services.items():
        path = ('services', name)
        yield from _repeated(service.depends_on, (*path, 'depends_on'), read)
        for index, needed in enumerate(service.depends_on):
            if needed not in mesh.services:
                yield read.problem(
                    (*path, 'depends_on', index),
                    f'names {needed!r}, which is no service of this text; '
                    'add the service or remove the dependency',
                )
        yield from _repeated_calls(service, path, read)
    cycle = _cycle(mesh)
    if cycle:
        yield read.problem(
            ('services', cycle[0], 'depends_on'),
            f'is a cycle: {" -> ".join(cycle)}; a call could never end',
        )


def _repeated(
    names: list[str], path: document.Path, read: document.Document
) -> Iterator[document.Problem]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield read.problem((*path, index), f'lists {name!r} twice')


def _repeated_calls(
    service: ServiceText, path: document.Path, read: document.Document
) -> Iterator[document.Problem]:
    seen: set[tuple[str, str]] = set()
    for index, call in enumerate(service.calls):
        if (call.method, call.path) in seen:
            yield read.problem(
                (*path, 'calls', index),
                f'repeats {call.method} {call.path}',
            )
        seen.add((call.method, call.path))


def _cycle(mesh: MeshText) -> list[str]:
    """Return the names along one cycle of dependencies, empty if none."""
    graph = {
        name: service.depends_on for name, service in mesh.services.items()
    }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        found: list[str] = error.args[1]
        return found
    return []


def to_config(
    mesh: MeshText, revision: int, write_id: str
) -> config.ConfigVersion:
    """Turn a checked text into the version that daemons hold."""
    return config.ConfigVersion(
        revision=revision,
        write_id=write_id,
        availability_zones=tuple(mesh.availability_zones),
        services={
            name: _to_spec(name, service)
            for name, service in mesh.services.items()
        },
    )


def _to_spec(name: str, service: ServiceText) -> config.ServiceSpec:
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
