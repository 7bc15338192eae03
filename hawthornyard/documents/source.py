"""Parse YAML files and record the line of each value."""

from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

import yaml

from .problem import Problem
from .unknown_location import format_given
from .violation import FieldPath, Violation

MAX_FILE_BYTES = 16 * 1024 * 1024

# The loader of the C library is about ten times faster, but some builds of PyYAML
# lack it.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class SourceDocument:
    """A parsed YAML document with the line of each value.

    Attributes:
        path: File that it was read from.
        value: The parsed value.
    """

    __slots__ = ("_lines", "_texts", "path", "value")

    def __init__(
        self,
        path: Path,
        value: Any,
        lines: dict[FieldPath, int],
        texts: dict[FieldPath, str],
    ) -> None:
        self.path = path
        self.value = value
        self._lines = lines
        self._texts = texts

    @property
    def where(self) -> str:
        """Return the file and the line where the document begins."""
        return f"{self.path}:{self._line(())}"

    def problem(self, violation: Violation) -> Problem:
        """Return a problem that locates a violation in the file."""
        given = self._texts.get(violation.path) or format_given(violation.given)
        line = self._line(violation.path)
        return Problem(str(self.path), line, violation.field, given, violation.allowed)

    def problems(self, violations: Iterable[Violation]) -> list[Problem]:
        """Return located problems for the violations, sorted by line."""
        located = [self.problem(violation) for violation in violations]
        return sorted(located, key=lambda problem: problem.line)

    def _line(self, field: FieldPath) -> int:
        while field not in self._lines and field:
            field = field[:-1]
        return self._lines.get(field, 1)


class ParsedFile:
    """The result of parsing one file.

    Attributes:
        documents: Documents that were parsed.
        problems: Errors in the file and in the other documents.
    """

    __slots__ = ("documents", "problems")

    def __init__(
        self, documents: Sequence[SourceDocument], problems: Sequence[Problem]
    ) -> None:
        self.documents = documents
        self.problems = problems


def read_documents(path: Path) -> ParsedFile:
    """Parse the YAML documents of one file; empty documents are left out.

    Nothing is raised for a file that can't be read: the error is a problem of the
    result.
    """
    try:
        return _parse(path, _read_text(path))
    except OSError as exc:
        return _unreadable(path, exc.strerror or "no file", "a readable file")
    except UnicodeDecodeError:
        return _unreadable(path, "other bytes", "text in UTF-8")
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        given = exc.problem or "other text"
        return _unreadable(path, given, "YAML", line=mark.line + 1 if mark else 0)
    except RecursionError:
        return _unreadable(path, "nesting that is too deep", "YAML")
    except (yaml.YAMLError, ValueError) as exc:
        return _unreadable(path, " ".join(str(exc).split()), "YAML")


def _unreadable(path: Path, given: str, allowed: str, *, line: int = 0) -> ParsedFile:
    return ParsedFile((), [Problem(str(path), line, "", given, allowed)])


def _read_text(path: Path) -> str:
    with path.open("rb") as stream:
        data = stream.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"a file over {MAX_FILE_BYTES} bytes")
    return data.decode()


def _parse(path: Path, text: str) -> ParsedFile:
    documents: list[SourceDocument] = []
    problems: list[Problem] = []
    for node in yaml.compose_all(text, Loader=_Loader):
        collector = _LineCollector(path)
        collector.visit(node, (), node.start_mark.line + 1)
        problems.extend(collector.problems)
        if collector.problems:
            continue
        value = yaml.SafeLoader("").construct_document(node)
        if value is not None:
            documents.append(
                SourceDocument(path, value, collector.lines, collector.texts)
            )
    return ParsedFile(documents, problems)


class _LineCollector:
    """A visitor of YAML nodes that collects lines and reports duplicates and aliases.

    Attributes:
        lines: Line of each field, counted from 1.
        texts: Source text of each scalar.
        problems: Duplicate keys and aliases, which PyYAML accepts silently.
    """

    __slots__ = ("_path", "_visited", "lines", "problems", "texts")

    def __init__(self, path: Path) -> None:
        self._path = path
        self._visited: set[int] = set()
        self.lines: dict[FieldPath, int] = {}
        self.texts: dict[FieldPath, str] = {}
        self.problems: list[Problem] = []

    def visit(self, node: yaml.Node, field: FieldPath, line: int) -> None:
        """Visit a value and, recursively, the values inside it."""
        if field in self.lines:
            self._add_problem(line, field, "the field twice", "each field once")
        self.lines.setdefault(field, line)
        # PyYAML composes an alias to the same node object as its anchor.
        if id(node) in self._visited:
            self._add_problem(line, field, "an alias", "the value itself, written out")
            return
        self._visited.add(id(node))
        if isinstance(node, yaml.ScalarNode):
            self.texts[field] = node.value
        for item, name, item_line in _children(node):
            self.visit(item, (*field, name), item_line)

    def _add_problem(
        self, line: int, field: FieldPath, given: str, allowed: str
    ) -> None:
        name = ".".join(str(part) for part in field)
        self.problems.append(Problem(str(self._path), line, name, given, allowed))


def _children(node: yaml.Node) -> Iterator[tuple[yaml.Node, str | int, int]]:
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            yield item, index, item.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, item in node.value:
            yield item, str(key.value), key.start_mark.line + 1
