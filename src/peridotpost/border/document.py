"""Reads JSON or YAML and remembers on which line each value stands.

Errors from pydantic carry a path; this module adds the line, so that an
operator is pointed at the place to mend.
"""

import dataclasses
import json
from typing import Any

import pydantic
import yaml

Path = tuple[str | int, ...]
MAX_DEPTH = 32
"""Nesting bound: deeper texts are mistakes or attacks on the parser."""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong in a document.

    :param line: counted from 1; 0 where no line is known.
    """

    file: str
    path: str
    line: int
    message: str

    def __str__(self) -> str:
        place = f'{self.file}:{self.line}' if self.line else self.file
        where = f' {self.path}:' if self.path else ''
        return f'{place}:{where} {self.message}'


class DocumentError(ValueError):
    """A document is wrong; `problems` lists every place."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Plain data and the line of each path in it."""

    file: str
    data: Any
    lines: dict[Path, int]

    def problem(self, path: Path, message: str) -> Problem:
        """Return a problem at `path`, with the nearest known line."""
        line = 0
        for length in range(len(path), -1, -1):
            if path[:length] in self.lines:
                line = self.lines[path[:length]]
                break
        return Problem(self.file, _spell(path), line, message)

    def problems_of(self, error: pydantic.ValidationError) -> list[Problem]:
        """Translate pydantic's errors into problems with lines."""
        return [
            self.problem(tuple(entry['loc']), _spell_pydantic(entry))
            for entry in error.errors()
        ]


def _spell(path: Path) -> str:
    return '.'.join(str(part) for part in path)


def _spell_pydantic(entry: Any) -> str:
    kind = entry['type']
    if kind == 'missing':
        return 'is missing; add it'
    if kind == 'extra_forbidden':
        return 'is not a known field; remove it or mend its spelling'
    message = str(entry['msg'])
    return f'{message[0].lower()}{message[1:]} (found {entry["input"]!r:.80})'


def read_yaml(text: str, file: str) -> Document:
    """Read YAML without anchors, aliases, tags or repeated keys.

    :raises DocumentError: the text is not such a document.
    """
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        # At the end of the text the parser points one line past it.
        last = text.count('\n') + 1
        line = min(mark.line + 1, last) if mark is not None else 0
        message = error.problem or 'is not YAML'
        raise DocumentError([Problem(file, '', line, message)]) from error
    except yaml.YAMLError as error:
        raise DocumentError([Problem(file, '', 0, str(error))]) from error
    if node is None:
        raise DocumentError([Problem(file, '', 1, 'the text is empty')])
    reader = _NodeReader(file)
    data = reader.read(node, ())
    if reader.problems:
        raise DocumentError(reader.problems)
    return Document(file, data, reader.lines)


def read_json(text: str, file: str) -> Document:
    """Read JSON.

    :raises DocumentError: the text is not JSON, or repeats a key.
    """
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        problem = Problem(file, '', error.lineno, f'not JSON: {error.msg}')
        raise DocumentError([problem]) from error
    except RecursionError as error:
        problem = Problem(file, '', 0, 'is nested too deeply')
        raise DocumentError([problem]) from error
    # JSON without tabs is YAML, and YAML's nodes know their lines.
    return read_yaml(text.replace('\t', ' '), file)


class _NodeReader:
    """Turns YAML nodes into plain data, collecting lines and problems."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.lines: dict[Path, int] = {}
        self.problems: list[Problem] = []
        self.seen: set[int] = set()
        self.loader = yaml.CSafeLoader('')

    def read(self, node: yaml.Node, path: Path) -> Any:
        self.lines[path] = node.start_mark.line + 1
        if len(path) > MAX_DEPTH:
            return self._reject(node, path, 'is nested too deeply')
        if id(node) in self.seen:
            # A text of a few hundred bytes can name billions of values
            # through aliases of aliases; none is needed here.
            return self._reject(node, path, 'repeats an anchor; write it out')
        self.seen.add(id(node))
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read(child, (*path, index))
                for index, child in enumerate(node.value)
            ]
        try:
            build = self.loader.construct_object
            return build(node)
        except (yaml.YAMLError, ValueError) as error:
            return self._reject(node, path, f'is not a plain value: {error}')

    def _read_mapping(self, node: yaml.MappingNode, path: Path) -> Any:
        data: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = key_node.value
            if not isinstance(key, str):
                self._reject(key_node, path, 'has a key that is no string')
                continue
            if key in data:
                self._reject(key_node, (*path, key), 'stands twice')
                continue
            data[key] = self.read(value_node, (*path, key))
        return data

    def _reject(self, node: yaml.Node, path: Path, message: str) -> None:
        line = node.start_mark.line + 1
        self.problems.append(Problem(self.file, _spell(path), line, message))
