"""Show the main features of a deployment from end to end."""

import sys
from collections.abc import Callable

import eventlet

from ..io import configure_log
from ..records import Document
from .client import Client
from .deployment import Deployment, EndpointHost, wait_until

Show = Callable[[str], None]

# Seconds after which no request may reach a failure domain that was taken out.
DOMAIN_OUT_BOUND_S = 3.0
N_CALLS = 12


def run_demo(*, verbose: bool = False) -> bool:
    """Run every step, print its result and return whether all steps passed.

    Args:
        verbose: Whether to print the log lines of decisions as well.
    """
    configure_log(level="INFO" if verbose else "ERROR")
    deployment = _start_deployment()
    client = Client(deployment.url(), deployment.key)
    steps = (
        _stream_completion,
        _complete_whole,
        _repeat_keyed_call,
        _take_domain_out,
        _bring_domain_back,
    )
    results = [_run_step(step, deployment, client) for step in steps]
    n_passed = sum(results)
    _print(f"\n{n_passed} of {len(results)} steps passed.")
    return n_passed == len(results)


def _start_deployment() -> Deployment:
    deployment = Deployment()
    for index, domain in enumerate(("new-kingston", "half-way-tree"), start=1):
        deployment.add_engine(f"scribe-{index}", domain)
        deployment.add_service(f"frontdesk-{index}", domain)
    deployment.add_gateway("gateway-1", "new-kingston")
    revision = deployment.apply(deployment.documents())
    _print(f"The records are applied at revision {revision}.")
    deployment.wait_ready()
    _print("One gateway serves four endpoints in two failure domains.")
    return deployment


def _run_step(
    step: Callable[[Deployment, Client], bool], deployment: Deployment, client: Client
) -> bool:
    has_passed = step(deployment, client)
    _print("  ok" if has_passed else "  FAILED")
    return has_passed


def _stream_completion(deployment: Deployment, client: Client) -> bool:
    _print("\nA streamed generation; its tokens arrive one by one:")
    texts = []
    for event in client.stream("Draft the minutes.", max_tokens=30):
        texts.append(event.text)
        sys.stdout.write(event.text)
        sys.stdout.flush()
    _print("")
    return len([text for text in texts if text]) == 30


def _complete_whole(deployment: Deployment, client: Client) -> bool:
    _print("\nA short generation, answered as a whole:")
    resp = client.complete("Is bylaw 7 in force?", max_tokens=5)
    _print(f"  {resp.status}: {resp.json()['choices'][0]['text'].strip()}")
    return resp.status == 200


def _repeat_keyed_call(deployment: Deployment, client: Client) -> bool:
    _print("\nA call that issues a badge, sent twice with one idempotency key:")
    path = "/v1/services/frontdesk/badges"
    headers = {"Idempotency-Key": "visit-4711"}
    first = client.request("POST", path, {"guest": "A"}, headers=headers)
    second = client.request("POST", path, {"guest": "A"}, headers=headers)
    n_ran = sum(len(host.standin.ran) for host in _plain_services(deployment))
    _print(f"  answered {first.status} and {second.status}, run {n_ran} time(s)")
    return first.data == second.data and n_ran == 1


def _take_domain_out(deployment: Deployment, client: Client) -> bool:
    _print("\nThe failure domain half-way-tree is taken out of service:")
    deployment.apply([_domain_document(in_service=False)])
    host = deployment.hosts["scribe-2"]
    wait_until(lambda: not host.sidecar.state.is_accepting)
    eventlet.sleep(DOMAIN_OUT_BOUND_S)
    n_ran_before = len(host.standin.ran)
    n_answered = _call_concurrently(client, N_CALLS)
    n_ran_there = len(host.standin.ran) - n_ran_before
    _print(
        f"  {n_answered} of {N_CALLS} calls answered, {n_ran_there} by half-way-tree"
    )
    return n_answered == N_CALLS and n_ran_there == 0


def _bring_domain_back(deployment: Deployment, client: Client) -> bool:
    _print("\nThe failure domain half-way-tree is put back in service:")
    deployment.apply([_domain_document(in_service=True)])
    deployment.wait_ready()
    host = deployment.hosts["scribe-2"]
    n_ran_before = len(host.standin.ran)
    n_answered = _call_concurrently(client, N_CALLS)
    n_ran_there = len(host.standin.ran) - n_ran_before
    _print(
        f"  {n_answered} of {N_CALLS} calls answered, {n_ran_there} by half-way-tree"
    )
    return n_answered == N_CALLS and n_ran_there > 0


def _call_concurrently(client: Client, n_calls: int) -> int:
    pool = eventlet.GreenPool(n_calls)
    prompts = [f"Summary {index}" for index in range(n_calls)]
    answers = pool.imap(lambda prompt: client.complete(prompt, max_tokens=3), prompts)
    return sum(answer.status == 200 for answer in answers)


def _plain_services(deployment: Deployment) -> list[EndpointHost]:
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


def _print(text: str) -> None:
    print(text, flush=True)
