"""Read the records that operators keep in files."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from ..documents import Problem, read_documents
from ..records import violations
from .draft import Draft

SUFFIXES = (".yaml", ".yml")


class RecordFiles:
    """What the files hold.

    Attributes:
        drafts: Documents that their schemas accept.
        problems: What is wrong with the others.
    """

    __slots__ = ("drafts", "problems")

    def __init__(self, drafts: Sequence[Draft], problems: Sequence[Problem]) -> None:
        self.drafts = drafts
        self.problems = problems


def read_record_files(paths: Sequence[Path]) -> RecordFiles:
    """Return the records in files and folders.

    Args:
        paths: YAML files, and folders whose YAML files are read, nested ones too.
    """
    drafts: list[Draft] = []
    problems: list[Problem] = []
    for path in paths:
        for file in _files(path):
            reading = read_documents(file)
            problems.extend(reading.problems)
            for source in reading.documents:
                found = source.problems(violations(source.value))
                problems.extend(found)
                if not found:
                    drafts.append(Draft(source.value, source))
        if not drafts and not problems:
            problems.append(Problem(str(path), 0, "", "no record", "YAML records"))
    return RecordFiles(drafts, problems)


def _files(path: Path) -> Iterator[Path]:
    if not path.is_dir():
        yield path
        return
    for file in sorted(path.rglob("*")):
        if file.suffix in SUFFIXES and file.is_file():
            yield file
