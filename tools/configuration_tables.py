"""Generate the tables in docs/CONFIGURATION.md from the schemas, or check them."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from hawthornyard.records import NEWEST_SCHEMA, schema_of
from hawthornyard.settings import SETTINGS_SCHEMAS

PATH = Path(__file__).resolve().parent.parent / "docs" / "CONFIGURATION.md"

TABLE_HEADER = """| field | form | required | default | meaning |
| --- | --- | --- | --- | --- |
"""
BOUND_LABELS = {
    "minimum": "at least",
    "exclusiveMinimum": "more than",
    "maximum": "at most",
}


def main(args: list[str]) -> int:
    """Write the page; with `--check` return 1 if it is out of date."""
    current = PATH.read_text()
    page = _replace(current, "records", _records())
    page = _replace(page, "settings", _settings())
    if args != ["--check"]:
        PATH.write_text(page)
        return 0
    if page == current:
        return 0
    print(f"{PATH.name} is out of date; run python tools/configuration_tables.py")
    return 1


def _replace(page: str, name: str, text: str) -> str:
    begin_mark, end_mark = f"<!-- begin {name} -->\n", f"<!-- end {name} -->"
    head, _, rest = page.partition(begin_mark)
    _, _, tail = rest.partition(end_mark)
    return f"{head}{begin_mark}{text}{end_mark}{tail}"


def _records() -> str:
    parts = []
    for kind, newest in NEWEST_SCHEMA.items():
        parts.append(f"\n### {kind}\n")
        for version in range(newest, 0, -1):
            spec = schema_of(kind, version)["properties"]["spec"]
            parts.append(f"\nSchema {version}:\n\n{_table(spec)}")
    return "".join(parts) + "\n"


def _settings() -> str:
    parts = [
        f"\n### {program}\n\n{_table(schema)}"
        for program, schema in SETTINGS_SCHEMAS.items()
    ]
    return "".join(parts) + "\n"


def _table(schema: dict[str, Any]) -> str:
    return TABLE_HEADER + "".join(
        f"| {' | '.join(row)} |\n" for row in _rows(schema, "")
    )


def _rows(schema: dict[str, Any], prefix: str) -> Iterator[list[str]]:
    required = schema.get("required", ())
    for name, part in schema.get("properties", {}).items():
        default = f"`{json.dumps(part['default'])}`" if "default" in part else ""
        is_required = "yes" if name in required else ""
        meaning = part.get("description", "").replace("|", "\\|")
        yield [f"{prefix}`{name}`", _format_type(part), is_required, default, meaning]
        below = f"{prefix}`{name}`."
        yield from _rows(part, below)
        yield from _rows(part.get("items", {}), below)


def _format_type(part: dict[str, Any]) -> str:
    if "const" in part:
        return f"`{part['const']}`"
    if "enum" in part:
        return ", ".join(f"`{value}`" for value in part["enum"])
    bounds = [
        f"{text} {part[key]}" for key, text in BOUND_LABELS.items() if key in part
    ]
    return ", ".join([part.get("type", "any"), *bounds])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
