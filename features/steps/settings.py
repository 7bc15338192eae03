"""Steps that set the environment of the settings."""

import os

from behave import given
from behave.runner import Context

from hawthornyard.settings import PEER_KEY_VARIABLE


@given('the peer key is "{key}"')
def set_peer_key(context: Context, key: str) -> None:
    before = os.environ.get(PEER_KEY_VARIABLE)
    os.environ[PEER_KEY_VARIABLE] = key

    def restore() -> None:
        os.environ.pop(PEER_KEY_VARIABLE, None)
        if before is not None:
            os.environ[PEER_KEY_VARIABLE] = before

    context.add_cleanup(restore)
