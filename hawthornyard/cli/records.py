"""Write, change, retire and read records."""

from collections.abc import Sequence
from pathlib import Path

import cyclopts
import yaml

from ..documents import report
from ..errors import RecordError
from ..operator import (
    Accepted,
    Change,
    Plan,
    RecordFiles,
    RecordName,
    new_note,
    plan_apply,
    plan_retire,
    read_accepted,
    read_change,
    read_changes,
    read_record_files,
    require_base,
    submit,
)
from ..records import KINDS, NEWEST_SCHEMA, is_known, schema_of, upgrade
from ..stores import HttpTableStore, TableStore
from .exit import ExitCode
from .option import ChangeOptions, OutputOption, TableOption
from .output import Output, Result, show
from .progress import show_progress
from .recordview import (
    accepted_result,
    change_result,
    history_result,
    plan_result,
    problems_result,
)
from .wait import wait_for_revision

DEFAULT_HISTORY_LENGTH = 20


records_app = cyclopts.App(name="records", help="Write, change and retire records.")


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
    """Check record files; writes nothing.

    Args:
        paths: YAML files and folders.
        table: URL of the table service; checks against the accepted records too.
        partial: Do not check whether the records that are named exist.
        output: Tables for people, or JSON.
    """
    files = _read(paths)
    problems = list(files.problems)
    if not problems and not partial:
        accepted = read_accepted(HttpTableStore(table)) if table else Accepted(0, ())
        problems += plan_apply(accepted, files.drafts).problems
    show(problems_result(files, problems), output)
    if problems and output == "text":
        raise RecordError(report(problems))
    return ExitCode.INVALID if problems else ExitCode.OK


@records_app.command
def diff(
    paths: list[Path], /, *, table: TableOption, output: OutputOption = "text"
) -> None:
    """Show what apply would change; writes nothing.

    Args:
        paths: YAML files and folders.
        table: URL of the platform's table service.
        output: Tables for people, or JSON.
    """
    plan = plan_apply(read_accepted(HttpTableStore(table)), _drafts(paths).drafts)
    _require_sound(plan)
    show(plan_result(plan), output)


@records_app.command
def apply(
    paths: list[Path], /, *, options: ChangeOptions, output: OutputOption = "text"
) -> ExitCode:
    """Create or update records in one change, all or none.

    Args:
        paths: YAML files and folders.
        options: How the change is made.
        output: Tables for people, or JSON.
    """
    files = _drafts(paths)
    urls = options.gateway_urls()
    table = HttpTableStore(options.table)
    plan = plan_apply(_accepted(table, options.base), files.drafts)
    return _make_change(table, plan, options, urls, output)


@records_app.command
def retire(
    names: list[str], /, *, options: ChangeOptions, output: OutputOption = "text"
) -> ExitCode:
    """Retire records in one change, all or none.

    Args:
        names: Records as kind/name.
        options: How the change is made.
        output: Tables for people, or JSON.
    """
    records = [_record_name(name) for name in names]
    urls = options.gateway_urls()
    table = HttpTableStore(options.table)
    plan = plan_retire(_accepted(table, options.base), records)
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
    """Show accepted records: all, those of a kind, or one as YAML.

    Args:
        name: A kind, or a record as kind/name.
        table: URL of the platform's table service.
        newest: Show the newest schema instead of the one that was accepted.
        output: Tables for people, or JSON.
    """
    accepted = read_accepted(HttpTableStore(table))
    if "/" not in name:
        kinds = (_kind(name),) if name else KINDS
        show(accepted_result(accepted, kinds), output)
        return
    record = accepted.find(_record_name(name))
    if record is None or record.document is None:
        raise RecordError(f"{name}: no record of this name is accepted")
    document = record.document
    if newest and is_known(document):
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
        name: Only changes of this record, given as kind/name.
        table: URL of the platform's table service.
        change: Only the change of this identifier, with all its records.
        limit: Number of changes at most.
        output: Tables for people, or JSON.
    """
    store = HttpTableStore(table)
    if change:
        show(change_result(_one_change(store, change)), output)
        return
    changes = read_changes(store)
    if name:
        wanted = str(_record_name(name))
        changes = [
            item for item in changes if wanted in {str(rec) for rec in item.records}
        ]
    show(history_result(changes[::-1][:limit]), output)


@records_app.command
def schema(
    kind: str = "", version: int = 0, /, *, output: OutputOption = "text"
) -> None:
    """List the kinds of records, or print the JSON Schema of one.

    Args:
        kind: Record kind.
        version: Schema version, the newest by default.
        output: Tables for people, or JSON.
    """
    if not kind:
        rows = [(name, newest) for name, newest in NEWEST_SCHEMA.items()]
        show(Result(NEWEST_SCHEMA, columns=("kind", "newest"), rows=rows), output)
        return
    newest = NEWEST_SCHEMA[_kind(kind)]
    if version not in range(newest + 1):
        raise RecordError(f"given schema {version}; allowed: 1 to {newest} for {kind}")
    show(Result(schema_of(kind, version or newest)), "json")


def _read(paths: Sequence[Path]) -> RecordFiles:
    with show_progress("files read") as on_progress:
        return read_record_files(paths, on_progress=on_progress)


def _drafts(paths: Sequence[Path]) -> RecordFiles:
    files = _read(paths)
    if files.problems:
        raise RecordError(report(files.problems))
    return files


def _accepted(store: TableStore, base: int | None) -> Accepted:
    accepted = read_accepted(store)
    if base is not None:
        require_base(store, accepted, base)
    return accepted


def _require_sound(plan: Plan) -> None:
    if plan.problems:
        raise RecordError(report(plan.problems))


def _make_change(
    table: TableStore,
    plan: Plan,
    options: ChangeOptions,
    urls: Sequence[str],
    output: Output,
) -> ExitCode:
    note = new_note(options.author, message=options.message)
    change = submit(table, plan, note)
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


def _one_change(store: TableStore, change_id: str) -> Change:
    found = read_change(store, change_id)
    if found is None:
        raise RecordError(f"{change_id}: no change of this identifier was accepted")
    return found


def _record_name(text: str) -> RecordName:
    kind, _, name = text.partition("/")
    if not name:
        raise RecordError(f"given {text}; allowed: kind/name")
    return RecordName(_kind(kind), name)


def _kind(text: str) -> str:
    if text not in KINDS:
        raise RecordError(f"given {text}; allowed: one of {', '.join(KINDS)}")
    return text
