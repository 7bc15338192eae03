"""Define the commands that read and write records."""

from collections.abc import Sequence
from pathlib import Path

import cyclopts
import yaml

from ..documents import format_problems
from ..errors import RecordError
from ..operator import (
    Change,
    ParsedRecords,
    Plan,
    RecordName,
    RecordSnapshot,
    new_change_metadata,
    plan_apply,
    plan_retire,
    read_accepted,
    read_change,
    read_changes,
    read_record_files,
    require_base,
    submit,
)
from ..records import KINDS, NEWEST_SCHEMA, is_supported, schema_of, upgrade
from ..stores import HttpTableStore, TableStore
from .exit import ExitCode
from .option import ChangeOptions, OutputOption, TableOption
from .output import OutputFormat, Result, show
from .progress import show_progress
from .record_results import (
    accepted_result,
    change_result,
    history_result,
    plan_result,
    problems_result,
)
from .rollout import wait_for_revision

DEFAULT_HISTORY_LENGTH = 20


records_app = cyclopts.App(
    name="records", help="Validate, apply, retire and read records."
)


def add_records_commands(app: cyclopts.App) -> None:
    """Add the records commands to the command line."""
    app.command(records_app)


@records_app.command
def validate(
    paths: list[Path],
    /,
    *,
    table: str = "",
    partial: bool = False,
    output: OutputOption = "text",
) -> ExitCode:
    """Validate record files without writing anything.

    Args:
        paths: YAML files and folders.
        table: URL of the table service; validate against its accepted records too.
        partial: Skip the check that referenced records exist.
        output: Output format: tables, or JSON.
    """
    parsed = _parse_files(paths)
    problems = list(parsed.problems)
    if not problems and not partial:
        accepted = (
            read_accepted(HttpTableStore(table)) if table else RecordSnapshot(0, ())
        )
        problems += plan_apply(accepted, parsed.drafts).problems
    show(problems_result(parsed, problems), output)
    if problems and output == "text":
        raise RecordError(format_problems(problems))
    return ExitCode.INVALID if problems else ExitCode.OK


@records_app.command
def diff(
    paths: list[Path], /, *, table: TableOption, output: OutputOption = "text"
) -> None:
    """Show what apply would change, without writing anything.

    Args:
        paths: YAML files and folders.
        table: URL of the platform's table service.
        output: Output format: tables, or JSON.
    """
    plan = plan_apply(
        read_accepted(HttpTableStore(table)), _parse_valid_files(paths).drafts
    )
    _require_valid(plan)
    show(plan_result(plan), output)


@records_app.command
def apply(
    paths: list[Path], /, *, options: ChangeOptions, output: OutputOption = "text"
) -> ExitCode:
    """Create or update records in one atomic change.

    Args:
        paths: YAML files and folders.
        options: Options of the change.
        output: Output format: tables, or JSON.
    """
    parsed = _parse_valid_files(paths)
    urls = options.gateway_urls()
    table = HttpTableStore(options.table)
    plan = plan_apply(_read_accepted(table, options.base), parsed.drafts)
    return _make_change(table, plan, options, urls, output)


@records_app.command
def retire(
    names: list[str], /, *, options: ChangeOptions, output: OutputOption = "text"
) -> ExitCode:
    """Retire records in one atomic change.

    Args:
        names: Records as kind/name.
        options: Options of the change.
        output: Output format: tables, or JSON.
    """
    records = [_parse_record_name(name) for name in names]
    urls = options.gateway_urls()
    table = HttpTableStore(options.table)
    plan = plan_retire(_read_accepted(table, options.base), records)
    return _make_change(table, plan, options, urls, output)


@records_app.command
def get(
    name: str = "",
    /,
    *,
    table: TableOption,
    newest: bool = False,
    output: OutputOption = "text",
) -> None:
    """Show all accepted records, those of one kind, or one record as YAML.

    Args:
        name: A kind, or a record as kind/name.
        table: URL of the platform's table service.
        newest: Show the record in the newest schema version, not the accepted one.
        output: Output format: tables, or JSON.
    """
    accepted = read_accepted(HttpTableStore(table))
    if "/" not in name:
        kinds = (_checked_kind(name),) if name else KINDS
        show(accepted_result(accepted, kinds), output)
        return
    record = accepted.find(_parse_record_name(name))
    if record is None or record.document is None:
        raise RecordError(f"{name}: no record of this name is accepted")
    document = record.document
    if newest and is_supported(document):
        document = upgrade(document)
    text = yaml.safe_dump(document, sort_keys=False).rstrip()
    body = {"revision": record.revision, "document": document}
    show(Result(body, notes=[f"# revision {record.revision}", text]), output)


@records_app.command
def history(
    name: str = "",
    /,
    *,
    table: TableOption,
    change: str = "",
    limit: int = DEFAULT_HISTORY_LENGTH,
    output: OutputOption = "text",
) -> None:
    """Show accepted changes, newest first.

    Args:
        name: Show only changes of this record, given as kind/name.
        table: URL of the platform's table service.
        change: Show only the change with this identifier, and all its records.
        limit: Maximum number of changes.
        output: Output format: tables, or JSON.
    """
    store = HttpTableStore(table)
    if change:
        show(change_result(_find_change(store, change)), output)
        return
    changes = read_changes(store)
    if name:
        wanted = str(_parse_record_name(name))
        changes = [
            item for item in changes if wanted in {str(rec) for rec in item.records}
        ]
    show(history_result(changes[::-1][:limit]), output)


@records_app.command
def schema(
    kind: str = "", version: int = 0, /, *, output: OutputOption = "text"
) -> None:
    """List the record kinds, or print the JSON Schema of one kind.

    Args:
        kind: Record kind.
        version: Schema version; the newest by default.
        output: Output format: tables, or JSON.
    """
    if not kind:
        rows = [(name, newest) for name, newest in NEWEST_SCHEMA.items()]
        show(Result(NEWEST_SCHEMA, columns=("kind", "newest"), rows=rows), output)
        return
    newest = NEWEST_SCHEMA[_checked_kind(kind)]
    if version not in range(newest + 1):
        raise RecordError(f"given schema {version}; allowed: 1 to {newest} for {kind}")
    show(Result(schema_of(kind, version or newest)), "json")


def _parse_files(paths: Sequence[Path]) -> ParsedRecords:
    with show_progress("files read") as on_progress:
        return read_record_files(paths, on_progress=on_progress)


def _parse_valid_files(paths: Sequence[Path]) -> ParsedRecords:
    parsed = _parse_files(paths)
    if parsed.problems:
        raise RecordError(format_problems(parsed.problems))
    return parsed


def _read_accepted(store: TableStore, base: int | None) -> RecordSnapshot:
    accepted = read_accepted(store)
    if base is not None:
        require_base(store, accepted, base)
    return accepted


def _require_valid(plan: Plan) -> None:
    if plan.problems:
        raise RecordError(format_problems(plan.problems))


def _make_change(
    table: TableStore,
    plan: Plan,
    options: ChangeOptions,
    urls: Sequence[str],
    output: OutputFormat,
) -> ExitCode:
    metadata = new_change_metadata(options.author, message=options.message)
    change = submit(table, plan, metadata)
    if change is None:
        body = {"change": None, "revision": plan.base, "in_force": None}
        show(Result(body, notes=["Nothing to change."]), output)
        return ExitCode.OK
    is_in_force = None
    if urls:
        timeout_s = options.timeout_s
        state = wait_for_revision(urls, change.revision, timeout_s=timeout_s)
        is_in_force = not state.lagging
    show(change_result(change, is_in_force=is_in_force), output)
    return ExitCode.NOT_IN_FORCE if is_in_force is False else ExitCode.OK


def _find_change(store: TableStore, change_id: str) -> Change:
    found = read_change(store, change_id)
    if found is None:
        raise RecordError(f"{change_id}: no change of this identifier was accepted")
    return found


def _parse_record_name(text: str) -> RecordName:
    kind, _, name = text.partition("/")
    if not name:
        raise RecordError(f"given {text}; allowed: kind/name")
    return RecordName(_checked_kind(kind), name)


def _checked_kind(text: str) -> str:
    if text not in KINDS:
        raise RecordError(f"given {text}; allowed: one of {', '.join(KINDS)}")
    return text
