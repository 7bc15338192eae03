"""Steps on what a clone of the repository holds."""

import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from tools.tracked_links import find_leaving_links

TARGETS = {
    "a folder of a host": "/srv/environment",
    "a folder beside it": "../../environment",
    "another file of it": "../README.md",
}


@given('a repository that tracks a link in "{folder}" to {target}')
def make_repository(context: Context, folder: str, target: str) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.root = Path(temporary.name).resolve()
    (context.root / folder).mkdir()
    (context.root / folder / "link").symlink_to(TARGETS[target])
    for command in (["init", "--quiet"], ["add", "--all"]):
        subprocess.run(["git", *command], cwd=context.root, check=True)


@when("its links are checked")
def check_links(context: Context) -> None:
    context.leaving = find_leaving_links(context.root)


@then("{n:d} links are refused")
def check_refused_links(context: Context, n: int) -> None:
    assert len(context.leaving) == n, context.leaving
