"""Prepare behave: eventlet first, then the shared fixtures by tag."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from behave import use_fixture  # noqa: E402
from behave.model import Scenario  # noqa: E402
from behave.runner import Context  # noqa: E402

from features import fixtures  # noqa: E402
from hawthornyard.rim import configure_log  # noqa: E402

_BY_TAG = {
    "fixture.callers": fixtures.callers,
    "fixture.cut_off_gateway": fixtures.cut_off_gateway,
    "fixture.kingston": fixtures.kingston,
    "fixture.processes": fixtures.processes,
    "fixture.silent_engine": fixtures.silent_engine,
}


def before_all(context: Context) -> None:
    configure_log(level="ERROR")


def before_tag(context: Context, tag: str) -> None:
    if tag in _BY_TAG:
        use_fixture(_BY_TAG[tag], context)


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.answers = []
