"""Steps for the connections between peers."""

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.peers import PEER_NAME, ListeningPeer
from hawthornyard.core import PeerUp
from hawthornyard.demo import wait_until


@given("a link to the peer")
def start_link(context: Context) -> None:
    context.links = context.pair.links(context.pair.key)
    context.links.set_addresses(context.pair.addresses)
    wait_until(lambda: _n_up(context.pair) == 1)


@given("a link whose key is wrong")
def start_link_with_wrong_key(context: Context) -> None:
    context.links = context.pair.links(b"another key of the deployment")
    context.links.set_addresses(context.pair.addresses)


@when("the peer is removed and added again {n_times:d} times")
def remove_and_add(context: Context, n_times: int) -> None:
    for _ in range(n_times):
        context.links.set_addresses({})
        context.links.set_addresses(context.pair.addresses)
        eventlet.sleep(0)


@then("the peer has been connected to once")
def check_connected_once(context: Context) -> None:
    # Long enough for a second green thread of the link, if there is one, to connect
    # and to replace the first connection.
    eventlet.sleep(0.5)
    assert _n_up(context.pair) == 1, _n_up(context.pair)


@when("the link is told to reconnect")
def reconnect(context: Context) -> None:
    context.links.reconnect(PEER_NAME)


@then("the peer is connected again within {seconds:d} second")
def check_connected_again(context: Context, seconds: int) -> None:
    wait_until(lambda: _n_up(context.pair) == 2, timeout_s=seconds)


@when("the handshake was refused {n_times:d} times")
def wait_refused(context: Context, n_times: int) -> None:
    wait_until(lambda: context.pair.n_accepted >= n_times)


@then("no socket of a refused handshake is left open")
def check_sockets(context: Context) -> None:
    context.links.set_addresses({})
    wait_until(lambda: context.pair.n_closed == context.pair.n_accepted)
    assert _n_up(context.pair) == 0


def _n_up(pair: ListeningPeer) -> int:
    return sum(isinstance(msg, PeerUp) for msg in pair.messages)
