"""Steps that validate and apply records from files."""

import json
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

from hawthornyard.cli import ExitCode
from hawthornyard.cli.option import (
    AUTHOR_VARIABLE,
    GATEWAYS_VARIABLE,
    TABLE_VARIABLE,
)
from hawthornyard.io import ConfigPoller, EventletInbox
from hawthornyard.records import (
    NEWEST_SCHEMA,
    Catalog,
    Document,
    build_record,
    schema_of,
    upgrade,
)
from hawthornyard.settings import PEER_KEY_VARIABLE, SETTINGS_SCHEMAS
from hawthornyard.stores import Put

ROOT = Path(__file__).resolve().parents[2]
RECORD_PREFIX = "record/"


@given('the record file "{name}"')
def write_records(context: Context, name: str) -> None:
    context.operator.write(name, context.text)


@given('in "{name}" the text "{found}" is replaced by "{replaced}"')
def replace_text(context: Context, name: str, found: str, replaced: str) -> None:
    path = context.operator.folder / name
    text = path.read_text()
    assert found in text, found
    start = text.index(found)
    # In a table cell " // " stands for a line break, indented within a spec.
    indent = "  " if "spec:" in text[:start] else ""
    path.write_text(text.replace(found, replaced.replace(" // ", f"\n{indent}"), 1))


_FILE_CONTENTS = {
    "an open bracket": b"spec: [",
    "bytes that are no text": b"name: \xff\xfe",
    "a deep nesting": b"[" * 100_000,
    "too many bytes": b"#" * (16 * 1024 * 1024 + 1),
    "a list": b"[1, 2]",
    "nothing": b"# nothing\n",
    "two documents": b"a: 1\n---\na: 2\n",
    "an infinite number": b"kind: team\nschema: 1\nname: a\nspec:\n"
    b'  key_hash: "x"\n  weight: .inf\n',
}


@given('the file "{name}" holds {content}')
def write_content(context: Context, name: str, content: str) -> None:
    (context.operator.folder / name).write_bytes(_FILE_CONTENTS[content])


@when("the operator validates the folder")
def validate(context: Context) -> None:
    context.operator.run("records", "validate", str(context.operator.folder))


@given("the operator applied the folder")
@when("the operator applies the folder")
def apply_folder(context: Context) -> None:
    context.operator.run("records", "apply", str(context.operator.folder))
    context.catalog = Catalog()
    _follow(context, context.catalog)


@when("the table is followed")
def follow(context: Context) -> None:
    _follow(context, context.catalog)


@when('the operator runs "{command}"')
def run(context: Context, command: str) -> None:
    operator = context.operator
    words = command.format(folder=operator.folder, table=operator.table_url).split()
    operator.run(*words)


@then("the exit code is {code:d}")
def check_code(context: Context, code: int) -> None:
    operator = context.operator
    assert operator.code == code, (operator.code, operator.out, operator.err)


@then('standard output contains "{text}"')
def check_out(context: Context, text: str) -> None:
    assert text in context.operator.out, context.operator.out


@then('standard error contains "{text}"')
def check_err(context: Context, text: str) -> None:
    assert text in context.operator.err, context.operator.err
    assert "Traceback" not in context.operator.err, context.operator.err


@then('the only error is at "{place}" in "{field}", given "{given_text}"')
def check_error(context: Context, place: str, field: str, given_text: str) -> None:
    lines = context.operator.err.splitlines()
    assert len(lines) == 1, lines
    assert f"{context.operator.folder}/{place}: {field}: " in lines[0], lines
    assert f"given {given_text}; allowed: " in lines[0], lines


# A field of a step text never matches an empty text, hence this step of its own.
@then('the only error is at "{place}" in "{field}", given ""')
def check_error_without_value(context: Context, place: str, field: str) -> None:
    lines = context.operator.err.splitlines()
    assert len(lines) == 1, lines
    expected = f"{context.operator.folder}/{place}: {field}: allowed: "
    assert expected in lines[0], lines


@then('the JSON output has "{text}" at "{path}"')
def check_json_text(context: Context, text: str, path: str) -> None:
    assert _value_at(context, path) == text, context.operator.out


@then('the JSON output has {number:d} at "{path}"')
def check_json_number(context: Context, number: int, path: str) -> None:
    assert _value_at(context, path) == number, context.operator.out


@then('the table keeps "{label}" in schema {schema:d}')
def check_schema(context: Context, label: str, schema: int) -> None:
    row = context.operator.standin.table.read(RECORD_PREFIX + label)
    assert json.loads(row.value)["schema"] == schema, row


@then('a catalog that reads the table has service "{name}" with priority {value:d}')
def check_priority(context: Context, name: str, value: int) -> None:
    assert context.catalog.service(name).priority == value


@then('in that catalog a POST to "{path}" of service "{name}" may run at most once')
def check_at_most_once(context: Context, path: str, name: str) -> None:
    assert not context.catalog.service(name).is_idempotent("POST", path)


@when('a newer program writes "{label}" in schema {schema:d}')
def write_newer(context: Context, label: str, schema: int) -> None:
    kind, name = label.split("/")
    document = {"kind": kind, "schema": schema, "name": name, "spec": {"new": 1}}
    put = Put(RECORD_PREFIX + label, json.dumps(document))
    context.revision = context.operator.standin.table.transact([], [put])
    _follow(context, context.catalog)


@then("a catalog that followed the table still has the model with {n_tokens:d} tokens")
def check_last_understood(context: Context, n_tokens: int) -> None:
    assert context.catalog.model("scribe").context_tokens == n_tokens


@then('that catalog reports "{label}" as not understood')
def check_not_understood(context: Context, label: str) -> None:
    assert context.catalog.not_understood == {label}


@then("that catalog is at the revision of the newer program's write")
def check_revision(context: Context) -> None:
    assert context.catalog.revision == context.revision


@when('the operator\'s record "{label}" is written again with {n_tokens:d} tokens')
def write_again(context: Context, label: str, n_tokens: int) -> None:
    path = context.operator.folder / "context.yaml"
    path.write_text(path.read_text().replace("8192", str(n_tokens)))
    context.operator.run("records", "apply", str(context.operator.folder))
    assert context.operator.code == ExitCode.OK, context.operator.err
    _follow(context, context.catalog)


@then("that catalog has the model with {n_tokens:d} tokens and reports no record")
def check_newer_understood(context: Context, n_tokens: int) -> None:
    assert context.catalog.model("scribe").context_tokens == n_tokens
    assert not context.catalog.not_understood


@then("docs/CONFIGURATION.md names every field of every record schema")
def check_page_fields(context: Context) -> None:
    page = (ROOT / "docs" / "CONFIGURATION.md").read_text()
    for kind, newest in NEWEST_SCHEMA.items():
        section = page.split(f"### {kind}\n")[1].split("\n### ")[0]
        for version in range(1, newest + 1):
            spec = schema_of(kind, version)["properties"]["spec"]
            missing = [
                name for name in _field_names(spec) if f"`{name}`" not in section
            ]
            assert not missing, (kind, version, missing)


@then("docs/CONFIGURATION.md names every setting, environment variable and exit code")
def check_page_settings(context: Context) -> None:
    page = (ROOT / "docs" / "CONFIGURATION.md").read_text()
    names = [AUTHOR_VARIABLE, GATEWAYS_VARIABLE, PEER_KEY_VARIABLE, TABLE_VARIABLE]
    names += [code.name.lower() for code in ExitCode]
    for schema in SETTINGS_SCHEMAS.values():
        names += _field_names(schema)
    missing = [name for name in names if f"`{name}`" not in page]
    assert not missing, missing


@then("a record with all defaults written out equals one without them")
def check_defaults(context: Context) -> None:
    for kind, newest in NEWEST_SCHEMA.items():
        for version in range(1, newest + 1):
            head = {"kind": kind, "schema": version, "name": "a"}
            spec = _REQUIRED_FIELDS[kind]
            full_spec = {**_defaults(kind, version), **spec}
            short_values = _record_values({**head, "spec": spec})
            assert short_values == _record_values({**head, "spec": full_spec}), kind


_REQUIRED_FIELDS: dict[str, dict[str, Any]] = {
    "service": {"protocol": "http"},
    "failure_domain": {"region": "kingston"},
    "endpoint": {"failure_domain": "a", "sidecar": "127.0.0.1:1", "protocol": "http"},
    "model": {"context_tokens": 1},
    "team": {"key_hash": ""},
}


def _record_values(document: Document) -> list[Any]:
    values = build_record(upgrade(document)).values()
    return [list(item) if isinstance(item, tuple) else item for item in values]


def _defaults(kind: str, version: int) -> dict[str, Any]:
    spec = schema_of(kind, version)["properties"]["spec"]
    optional = {
        key: part["default"]
        for key, part in spec["properties"].items()
        if key not in spec["required"]
    }
    return optional


def _field_names(schema: Any) -> list[str]:
    names = []
    for name, part in schema.get("properties", {}).items():
        names += [name, *_field_names(part), *_field_names(part.get("items", {}))]
    return names


def _value_at(context: Context, path: str) -> Any:
    value = json.loads(context.operator.out)
    for part in path.split("."):
        value = value[int(part) if part.isdigit() else part]
    return value


def _follow(context: Context, catalog: Catalog) -> None:
    inbox = EventletInbox()
    ConfigPoller(context.operator.standin.table, inbox).poll()
    push = inbox.get()
    catalog.apply(push.revision, push.entries)
