"""Reads JSON or YAML and records the line number of each value.

Errors from pydantic contain a path; this module adds the line, so that an
operator finds the place to correct.
"""

import dataclasses
import json
from typing import Any

import pydantic
import yaml

Path = tuple[str | int, ...]
MAX_DEPTH = 32
"""Deeper nesting is a mistake or an attack on the parser."""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An error in a document.

    :param line: line number, from 1; 0 if it is unknown.
    """

    file: str
    path: str
    line: int
    message: str

    def __str__(self) -> str:
        location = f'{self.file}:{self.line}' if self.line else self.file
        path = f' {self.path}:' if self.path else ''
        return f'{location}:{path} {self.message}'


class DocumentError(ValueError):
    """A document is invalid; `problems` lists every error found."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Parsed data and the line number of each path in it."""

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
        return Problem(self.file, _format_path(path), line, message)

    def problems_of(self, error: pydantic.ValidationError) -> list[Problem]:
        """Convert pydantic's errors into problems with line numbers."""
        return [
            self.problem(tuple(details['loc']), _pydantic_message(details))
            for details in error.errors()
        ]


def _format_path(path: Path) -> str:
    return '.'.join(str(part) for part in path)


def _pydantic_message(details: Any) -> str:
    error_type = details['type']
    if error_type == 'missing':
        return 'is missing; add it'
    if error_type == 'extra_forbidden':
        return 'is not a known field; remove it or correct its spelling'
    message = str(details['msg'])
    return (
        f'{message[0].lower()}{message[1:]} (found {details["input"]!r:.80})'
    )


def read_yaml(text: str, file: str) -> Document:
    """Parse YAML without aliases, custom tags or duplicate keys.

    :raises DocumentError: the text is not such a document.
    """
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        # An error at the end of the text is reported one line past it.
        last_line = text.count('\n') + 1
        line = min(mark.line + 1, last_line) if mark is not None else 0
        message = error.problem or 'is not valid YAML'
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
    """Parse JSON without duplicate keys.

    :raises DocumentError: the text is not such a document.
    """
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        problem = Problem(file, '', error.lineno, f'not JSON: {error.msg}')
        raise DocumentError([problem]) from error
    except RecursionError as error:
        problem = Problem(file, '', 0, 'is nested too deeply')
        raise DocumentError([problem]) from error
    # JSON without tabs is valid YAML, whose nodes have line numbers.
    return read_yaml(text.replace('\t', ' '), file)


class _NodeReader:
    """Converts YAML nodes to plain data; collects lines and problems."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.lines: dict[Path, int] = {}
        self.problems: list[Problem] = []
        self.visited: set[int] = set()
        self.loader = yaml.CSafeLoader('')

    def read(self, node: yaml.Node, path: Path) -> Any:
        self.lines[path] = node.start_mark.line + 1
        if len(path) > MAX_DEPTH:
            return self._reject(node, path, 'is nested too deeply')
        if id(node) in self.visited:
            # With nested aliases, a text of a few hundred bytes can expand to
            # billions of values.
            return self._reject(
                node, path, 'is an alias; write the value out instead'
            )
        self.visited.add(id(node))
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read(child, (*path, index))
                for index, child in enumerate(node.value)
            ]
        try:
            construct = self.loader.construct_object
            return construct(node)
        except (yaml.YAMLError, ValueError) as error:
            return self._reject(node, path, f'is not a plain value: {error}')

    def _read_mapping(self, node: yaml.MappingNode, path: Path) -> Any:
        data: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = key_node.value
            if not isinstance(key, str):
                self._reject(key_node, path, 'has a key that is not a string')
                continue
            if key in data:
                self._reject(key_node, (*path, key), 'is a duplicate key')
                continue
            data[key] = self.read(value_node, (*path, key))
        return data

    def _reject(self, node: yaml.Node, path: Path, message: str) -> None:
        line = node.start_mark.line + 1
        self.problems.append(
            Problem(self.file, _format_path(path), line, message)
        )
