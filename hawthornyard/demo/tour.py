"""Show the main job from end to end."""

import sys
from collections.abc import Callable

import eventlet

from ..records import Document
from ..rim import configure_log
from .client import Client
from .deployment import Deployment, EndpointHost, wait_until

Show = Callable[[str], None]

DOMAIN_OUT_BOUND_S = 3.0
N_CALLS = 12


def run_demo(*, verbose: bool = False) -> bool:
    """Run every step, print what happens and return whether all went well.

    Args:
        verbose: Show the decision log lines as well.
    """
    configure_log(level="INFO" if verbose else "ERROR")
    deployment = _start()
    client = Client(deployment.url(), deployment.key)
    steps = (_stream, _check, _badge_twice, _domain_out, _domain_back)
    results = [_run(step, deployment, client) for step in steps]
    n_passed = sum(results)
    _show(f"\n{n_passed} of {len(results)} steps went well.")
    return n_passed == len(results)


def _start() -> Deployment:
    deployment = Deployment()
    for index, domain in enumerate(("new-kingston", "half-way-tree"), start=1):
        deployment.add_engine(f"scribe-{index}", domain)
        deployment.add_service(f"frontdesk-{index}", domain)
    deployment.add_gateway("gateway-1", "new-kingston")
    revision = deployment.apply(deployment.documents())
    _show(f"Applied the records: revision {revision}.")
    deployment.wait_ready()
    _show("One gateway hears four endpoints in two failure domains.")
    return deployment


def _run(
    step: Callable[[Deployment, Client], bool], deployment: Deployment, client: Client
) -> bool:
    went_well = step(deployment, client)
    _show("  ok" if went_well else "  FAILED")
    return went_well


def _stream(deployment: Deployment, client: Client) -> bool:
    _show("\nA governor has minutes drafted; tokens arrive one by one:")
    texts = []
    for event in client.stream("Draft the minutes.", max_tokens=30):
        texts.append(event.text)
        sys.stdout.write(event.text)
        sys.stdout.flush()
    _show("")
    return len([text for text in texts if text]) == 30


def _check(deployment: Deployment, client: Client) -> bool:
    _show("\nA clerk asks for a short check:")
    resp = client.complete("Is bylaw 7 in force?", max_tokens=5)
    _show(f"  {resp.status}: {resp.json()['choices'][0]['text'].strip()}")
    return resp.status == 200


def _badge_twice(deployment: Deployment, client: Client) -> bool:
    _show("\nA kiosk sends the same badge issue twice, with one idempotency key:")
    path = "/v1/services/frontdesk/badges"
    headers = {"Idempotency-Key": "visit-4711"}
    first = client.request("POST", path, {"guest": "A"}, headers=headers)
    second = client.request("POST", path, {"guest": "A"}, headers=headers)
    n_run = sum(len(host.standin.ran) for host in _services(deployment))
    _show(f"  answers {first.status} and {second.status}, run {n_run} time(s)")
    return first.data == second.data and n_run == 1


def _domain_out(deployment: Deployment, client: Client) -> bool:
    _show("\nOperators take half-way-tree out of service:")
    deployment.apply([_domain_document(in_service=False)])
    host = deployment.hosts["scribe-2"]
    wait_until(lambda: not host.sidecar.state.is_accepting)
    eventlet.sleep(DOMAIN_OUT_BOUND_S)
    before = len(host.standin.ran)
    n_answered = _call_at_once(client, N_CALLS)
    n_sent = len(host.standin.ran) - before
    _show(f"  {n_answered} of {N_CALLS} calls answered, {n_sent} of them there")
    return n_answered == N_CALLS and n_sent == 0


def _domain_back(deployment: Deployment, client: Client) -> bool:
    _show("\nOperators bring half-way-tree back:")
    deployment.apply([_domain_document(in_service=True)])
    deployment.wait_ready()
    host = deployment.hosts["scribe-2"]
    before = len(host.standin.ran)
    n_answered = _call_at_once(client, N_CALLS)
    n_sent = len(host.standin.ran) - before
    _show(f"  {n_answered} of {N_CALLS} calls answered, {n_sent} of them there")
    return n_answered == N_CALLS and n_sent > 0


def _call_at_once(client: Client, n_calls: int) -> int:
    pool = eventlet.GreenPool(n_calls)
    prompts = [f"Summary {index}" for index in range(n_calls)]
    answers = pool.imap(lambda prompt: client.complete(prompt, max_tokens=3), prompts)
    return sum(answer.status == 200 for answer in answers)


def _services(deployment: Deployment) -> list[EndpointHost]:
    hosts = deployment.hosts.values()
    return [host for host in hosts if host.protocol == "http"]


def _domain_document(*, in_service: bool) -> Document:
    spec = {"region": "kingston", "in_service": in_service}
    return {
        "kind": "failure_domain",
        "schema": 1,
        "name": "half-way-tree",
        "spec": spec,
    }


def _show(text: str) -> None:
    print(text, flush=True)
