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

# Made anew for each scenario of a feature with the tag.
_BY_SCENARIO = (
    "edge",
    "operator",
    "platform_standins",
    "platform_world",
    "wide_processes",
)
_PREFIX = "fixture."


def before_all(context: Context) -> None:
    configure_log(level="ERROR")


def before_tag(context: Context, tag: str) -> None:
    name = tag.removeprefix(_PREFIX)
    if name != tag and name not in _BY_SCENARIO:
        use_fixture(getattr(fixtures, name), context)


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.answers = []
    for name in _BY_SCENARIO:
        if _PREFIX + name in scenario.effective_tags:
            use_fixture(getattr(fixtures, name), context)
