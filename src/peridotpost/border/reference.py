"""The reference of settings and of the text, made from their models.

What is printed is what is checked: names, types, bounds and defaults come
out of the models, explanations out of their doc texts.
"""

from collections.abc import Iterator
import dataclasses
import re
from typing import Any

import msgspec
from msgspec import inspect as msgspec_inspect
import pydantic

from peridotpost.border import proxy
from peridotpost.border import settings
from peridotpost.border import text

PARAM = re.compile(r':param (\w+):(.*?)(?=\n\s*:param |\Z)', re.DOTALL)
BOUNDS = {
    'ge': 'at least',
    'gt': 'over',
    'le': 'at most',
    'lt': 'under',
    'min_length': 'length at least',
    'max_length': 'length at most',
    'pattern': 'matches',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One field of a section.

    :param default: as JSON; empty where the field is required.
    """

    name: str
    kind: str
    default: str
    about: str


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One model and the place where it stands in its file."""

    place: str
    about: str
    fields: list[Field]


def render() -> str:
    """Return the whole reference as Markdown."""
    parts = [
        '# Reference of settings and text\n\nMade by `peridotctl reference`; '
        'a test keeps it equal to the models.\n'
    ]
    for title, sections in (
        ('`peridot-proxy`: settings, JSON', _of_struct(proxy.ProxySettings)),
        ('`peridotd`: settings, JSON', _of_model(settings.DaemonSettings)),
        ('The text of services, YAML', _of_model(text.MeshText)),
    ):
        parts.append(f'## {title}\n')
        parts += [_table(one) for one in sections]
    return '\n'.join(parts)


def _table(section: Section) -> str:
    head = f'### `{section.place}`\n\n' if section.place else ''
    lines = [
        f'{head}{section.about}\n',
        '| field | type | default | meaning |',
        '|---|---|---|---|',
    ]
    lines += [
        f'| `{one.name}` | {one.kind} | {one.default or "required"} '
        f'| {one.about} |'
        for one in section.fields
    ]
    return '\n'.join(lines) + '\n'


def _about(doc: str | None) -> tuple[str, dict[str, str]]:
    """Split a doc text into its summary and what it says of fields."""
    doc = doc or ''
    told = {
        match[1]: ' '.join(match[2].split()) for match in PARAM.finditer(doc)
    }
    summary = doc.split(':param', 1)[0]
    return ' '.join(summary.split()).replace('``', '`'), told


def _of_struct(
    struct: type[msgspec.Struct], place: str = ''
) -> Iterator[Section]:
    info = msgspec_inspect.type_info(struct)
    assert isinstance(info, msgspec_inspect.StructType)
    summary, told = _about(struct.__doc__)
    fields, inner = [], []
    for one in info.fields:
        kind, part = _struct_kind(one.type)
        if part is not None:
            inner.append((f'{place}.{one.name}'.lstrip('.'), part))
        default = ''
        if not one.required:
            default = _shown(one.default)
        fields.append(Field(one.name, kind, default, told.get(one.name, '')))
    yield Section(place, summary, fields)
    for where, part in inner:
        yield from _of_struct(part, where)


def _struct_kind(
    found: msgspec_inspect.Type,
) -> tuple[str, type[msgspec.Struct] | None]:
    if isinstance(found, msgspec_inspect.StructType):
        return 'object', found.cls
    names = {'Str': 'text', 'Int': 'whole number', 'Float': 'number'}
    name = type(found).__name__.removesuffix('Type')
    bounds = [
        f'{BOUNDS[key]} {getattr(found, key)}'
        for key in BOUNDS
        if getattr(found, key, None) is not None
    ]
    return ', '.join([names.get(name, name.lower()), *bounds]), None


def _of_model(
    model: type[pydantic.BaseModel], place: str = ''
) -> Iterator[Section]:
    schema = model.model_json_schema()
    yield from _of_schema(schema, schema.get('$defs', {}), place, {place})


def _of_schema(
    schema: dict[str, Any],
    parts: dict[str, Any],
    place: str,
    seen: set[str],
) -> Iterator[Section]:
    summary, told = _about(schema.get('description'))
    required = set(schema.get('required', ()))
    fields, inner = [], []
    properties: dict[str, Any] = schema.get('properties', {})
    for name in properties:
        one = properties[name]
        kind, part = _schema_kind(one, parts)
        if part is not None:
            inner.append((f'{place}.{name}'.lstrip('.'), part))
        default = '' if name in required else _shown(one.get('default'))
        fields.append(Field(name, kind, default, told.get(name, '')))
    yield Section(place, summary, fields)
    for where, part in inner:
        if where not in seen:
            seen.add(where)
            yield from _of_schema(part, parts, where, seen)


def _schema_kind(
    one: dict[str, Any], parts: dict[str, Any]
) -> tuple[str, dict[str, Any] | None]:
    for way in ('allOf', 'anyOf'):
        options = [
            option for option in one.get(way, ()) if option != {'type': 'null'}
        ]
        if options:
            return _schema_kind(options[0], parts)
    if '$ref' in one:
        part = parts[one['$ref'].rpartition('/')[2]]
        if 'enum' in part:
            return ' or '.join(f'`{value}`' for value in part['enum']), None
        return 'object', part
    if one.get('type') == 'array':
        kind, inner = _schema_kind(one['items'], parts)
        return f'list of {kind}', inner
    if one.get('type') == 'object':
        by_name = one.get('patternProperties', {})
        values = next(iter(by_name.values()), None)
        if values is not None:
            kind, inner = _schema_kind(values, parts)
            return f'map of {kind}', inner
    return _plain_kind(one), None


def _plain_kind(one: dict[str, Any]) -> str:
    names = {
        'string': 'text',
        'integer': 'whole number',
        'number': 'number',
        'boolean': 'true or false',
    }
    if 'const' in one:
        return f'`{one["const"]}`'
    if 'enum' in one:
        return ' or '.join(f'`{value}`' for value in one['enum'])
    words = {
        'minimum': 'at least',
        'exclusiveMinimum': 'over',
        'maximum': 'at most',
        'pattern': 'matches',
        'minLength': 'length at least',
    }
    bounds = [f'{words[key]} {one[key]}' for key in words if key in one]
    return ', '.join([names.get(one.get('type', ''), 'any'), *bounds])


def _shown(value: object) -> str:
    """Return a default as JSON; parts are described on their own."""
    if isinstance(value, dict | msgspec.Struct):
        return 'see below'
    shown = msgspec.json.encode(value).decode()
    return f'`{shown}`'
