"""Read record files."""

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from ..documents import Problem, read_documents
from ..records import schema_violations
from .draft import Draft

YAML_SUFFIXES = (".yaml", ".yml")


OnProgress = Callable[[int, int], object]


def _ignore_progress(n_read: int, n_files: int) -> None:
    """Do nothing; the default of `on_progress`."""


class ParsedRecords:
    """The records and problems found in record files.

    Attributes:
        drafts: Documents that are valid against their schemas.
        problems: Errors in the other documents and unreadable files.
    """

    __slots__ = ("drafts", "problems")

    def __init__(self, drafts: Sequence[Draft], problems: Sequence[Problem]) -> None:
        self.drafts = drafts
        self.problems = problems


def read_record_files(
    paths: Sequence[Path], *, on_progress: OnProgress = _ignore_progress
) -> ParsedRecords:
    """Read and check the records in files and folders.

    If the files contain neither a record nor an error, that is a problem too.

    Args:
        paths: YAML files, and folders that are searched recursively for them.
        on_progress: Called after each file with the number of files read so far
            and the number of all files.
    """
    drafts: list[Draft] = []
    problems: list[Problem] = []
    files = [file for path in paths for file in _yaml_files(path)]
    for n_read, file in enumerate(files, start=1):
        parsed = read_documents(file)
        problems.extend(parsed.problems)
        for source in parsed.documents:
            document_problems = source.problems(schema_violations(source.value))
            problems.extend(document_problems)
            if not document_problems:
                drafts.append(Draft(source.value, source))
        on_progress(n_read, len(files))
    if not drafts and not problems:
        names = ", ".join(str(path) for path in paths)
        problems.append(Problem(names, 0, "", "no record", "YAML records"))
    return ParsedRecords(drafts, problems)


def _yaml_files(path: Path) -> Iterator[Path]:
    if not path.is_dir():
        yield path
        return
    for file in sorted(path.rglob("*")):
        if file.suffix in YAML_SUFFIXES and file.is_file():
            yield file
