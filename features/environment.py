"""Set up behave: apply eventlet's patches before other imports, use fixtures by tag."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from behave import use_fixture  # noqa: E402
from behave.model import Scenario  # noqa: E402
from behave.runner import Context  # noqa: E402

from features import fixtures  # noqa: E402
from hawthornyard.io import configure_log  # noqa: E402

# These fixtures are set up for each scenario, even if the tag is on the feature.
_FIXTURES_PER_SCENARIO = (
    "edge",
    "operator",
    "platform_standins",
    "platform_world",
    "wide_processes",
)
_FIXTURE_PREFIX = "fixture."


def before_all(context: Context) -> None:
    configure_log(level="ERROR")


def before_tag(context: Context, tag: str) -> None:
    name = tag.removeprefix(_FIXTURE_PREFIX)
    if name != tag and name not in _FIXTURES_PER_SCENARIO:
        use_fixture(getattr(fixtures, name), context)


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.answers = []
    for name in _FIXTURES_PER_SCENARIO:
        if _FIXTURE_PREFIX + name in scenario.effective_tags:
            use_fixture(getattr(fixtures, name), context)
