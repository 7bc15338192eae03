"""Steps in which operators change records and inspect a deployment."""

import contextlib
import io
import json
import re
from pathlib import Path
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.table_faults import FAULTS, FaultyTable
from hawthornyard.documents import UnknownLocation
from hawthornyard.errors import ConflictError
from hawthornyard.front import HttpServer
from hawthornyard.io import configure_log
from hawthornyard.operator import (
    Change,
    Draft,
    RecordName,
    fetch_status,
    new_change_metadata,
    plan_apply,
    read_accepted,
    read_changes,
    submit,
)
from hawthornyard.records import key_matches, team_of_key
from hawthornyard.settings import SidecarSettings, load_settings
from hawthornyard.stores import HttpTableStore, TableStore

ROOT = Path(__file__).resolve().parents[2]
PEER_KEY = {"HAWTHORNYARD_PEER_KEY": "a-key-for-tests-only"}


@then("{n_records:d} records are accepted by {n_changes:d} changes")
@then("{n_records:d} records are accepted by {n_changes:d} change")
def check_accepted(context: Context, n_records: int, n_changes: int) -> None:
    table = context.operator.standin.table
    live = list(read_accepted(table).live())
    assert len(live) == n_records, live
    assert len(read_changes(table)) == n_changes


@then("a catalog that follows the table holds no endpoint")
def check_no_endpoint(context: Context) -> None:
    context.execute_steps("When the table is followed")
    assert not list(context.catalog.endpoints())


@given(
    'another operator "{author}" took "{domain}" out of service with the message '
    '"{message}"'
)
def submit_other_change(
    context: Context, author: str, domain: str, message: str
) -> None:
    table = context.operator.standin.table
    context.other = _take_domain_out(table, author, domain, message)


@then("standard error contains the identifier of the other change")
def check_other_id(context: Context) -> None:
    assert context.other.metadata.change_id in context.operator.err, (
        context.operator.err
    )


@given("at the next write {fault}")
def inject_fault(context: Context, fault: str) -> None:
    standin = context.operator.standin
    table = standin.table
    others = [lambda: _take_domain_out(table, "pedro", "cross-roads", "").revision]
    standin.table = FaultyTable(table, competing_writes=others)
    standin.table.faults = list(FAULTS[fault])


@then('the change of "{author}" was accepted {n_times:d} times')
def check_n_accepted(context: Context, author: str, n_times: int) -> None:
    context.operator.standin.table.is_down = False
    changes = read_changes(context.operator.standin.table)
    accepted = [change for change in changes if change.metadata.author == author]
    assert len(accepted) == n_times, accepted
    record = read_accepted(context.operator.standin.table).find(
        RecordName("model", "scribe")
    )
    n_tokens = record.document["spec"]["context_tokens"]
    assert n_tokens == (4096 if n_times else 8192), n_tokens


# A field of a step text never matches an empty text, hence this step of its own.
@then('standard error contains ""')
def check_no_traceback(context: Context) -> None:
    assert "Traceback" not in context.operator.err, context.operator.err


@when("the table is up again")
def table_up(context: Context) -> None:
    context.operator.standin.table.is_down = False


@when("the operator follows the advice in the error")
def follow_advice(context: Context) -> None:
    advice = re.search(
        "hawthornyard (records history --change [0-9a-f]+)", _stderr(context)
    )
    assert advice, _stderr(context)
    context.operator.run(*advice[1].split())


@when(
    "{n_operators:d} operators change the same record at once,"
    " each retrying until accepted"
)
def change_concurrently(context: Context, n_operators: int) -> None:
    url = context.operator.table_url
    threads = [
        eventlet.spawn(_change_until_accepted, HttpTableStore(url), index)
        for index in range(n_operators)
    ]
    context.n_conflicts = sum(thread.wait() for thread in threads)


@then("{n_changes:d} changes are accepted, each based on the previous one")
def check_linear_history(context: Context, n_changes: int) -> None:
    changes = read_changes(context.operator.standin.table)
    assert len(changes) == n_changes, changes
    bases = [change.base for change in changes]
    assert bases == [0, *(change.revision for change in changes[:-1])], bases
    assert context.n_conflicts > 0, "the operators did not race"


@then("the record holds the value of the last change")
def check_last_change(context: Context) -> None:
    table = context.operator.standin.table
    last = read_changes(table)[-1]
    record = read_accepted(table).find(RecordName("model", "scribe"))
    assert record.revision == last.revision
    n_tokens = record.document["spec"]["context_tokens"]
    assert last.metadata.author == f"operator-{n_tokens}", (last, n_tokens)


@given("the operator's table is down")
def table_down(context: Context) -> None:
    context.operator.standin.faults.is_down = True


@then('the key matches its hash and names the team "{team}"')
def check_key(context: Context, team: str) -> None:
    body = json.loads(context.operator.out)
    assert key_matches(body["key"], body["key_hash"])
    assert team_of_key(body["key"]) == team


@given("the operator works on the running deployment")
def use_deployment(context: Context) -> None:
    server = HttpServer(("127.0.0.1", 0), context.deployment.table.app)
    server.start()
    context.operator.table_url = f"http://127.0.0.1:{server.port}"


@when("a failure domain of the deployment is taken out of service with --wait")
def take_out_and_wait(context: Context) -> None:
    _set_domain(context, in_service=False, urls=_gateway_urls(context))


@when(
    "the failure domain is brought back into service with --wait and a stopped gateway"
)
def bring_back_and_wait(context: Context) -> None:
    _set_domain(context, in_service=True, urls=["http://127.0.0.1:1"])


@then(
    "the status shows the accepted revision at {n_gateways:d} gateways"
    " and {n:d} sidecars"
)
def check_status(context: Context, n_gateways: int, n: int) -> None:
    table = ["--table", context.operator.table_url]
    options = ["--output", "json", *table, *_gateway_options(context)]
    context.operator.run("status", *options)
    assert context.operator.code == 0, context.operator.err
    gateways = json.loads(context.operator.out)["gateways"]
    revisions = [item["revision"] for item in gateways]
    table = context.deployment.table.table
    assert revisions == [read_accepted(table).revision] * n_gateways, revisions
    for item in gateways:
        assert len(item["endpoints"]) == n, item
        assert {each["revision"] for each in item["endpoints"]} == {revisions[0]}


@then("the status shows the sidecars of that failure domain as not accepting")
def check_not_accepting(context: Context) -> None:
    for status in [fetch_status(url) for url in _gateway_urls(context)]:
        for endpoint in status.endpoints:
            is_in_service = endpoint.failure_domain != "half-way-tree"
            assert endpoint.accepting is is_in_service, status


@given('an endpoint "{name}" has a record and is not running')
def declare_endpoint(context: Context, name: str) -> None:
    spec = {"failure_domain": "half-way-tree", "sidecar": "127.0.0.1:1"}
    spec["protocol"] = "generation"
    document = {"kind": "endpoint", "schema": 1, "name": name, "spec": spec}
    context.deployment.apply([document])


@when("the operator asks for the status")
def ask_status(context: Context) -> None:
    table = ["--table", context.operator.table_url]
    context.operator.run("status", *table, *_gateway_options(context))


@when("the table of the deployment is down")
def deployment_table_down(context: Context) -> None:
    context.deployment.table.faults.is_down = True


@given("the decision log is recorded")
def record_log(context: Context) -> None:
    context.log = io.StringIO()


@when('a caller sends request "{request_id}" and another one')
def send_requests(context: Context, request_id: str) -> None:
    configure_log(level="INFO")
    with contextlib.redirect_stderr(context.log):
        for name in ("other", request_id):
            headers = {"X-Request-ID": name}
            answer = context.client.complete("Check", max_tokens=2, headers=headers)
            assert answer.status == 200, answer.data
    configure_log(level="ERROR")
    hosts = context.deployment.hosts.values()
    context.n_ran = {host.name: len(host.standin.ran) for host in hosts}


@when('the operator explains "{request_id}"')
def explain_request(context: Context, request_id: str) -> None:
    path = context.operator.write("all.log", context.log.getvalue())
    context.operator.run("explain", request_id, str(path), "--output", "json")


@then('the explanation names the endpoint that answered "{request_id}"')
def check_explained(context: Context, request_id: str) -> None:
    body = json.loads(context.operator.out)
    assert body["request_id"] == request_id
    (endpoint,) = body["endpoints"]
    assert context.n_ran[endpoint] > 0, (body, context.n_ran)


@then("the explanation lists the gateway's routing decision, then the admission")
def check_decisions(context: Context) -> None:
    body = json.loads(context.operator.out)
    decisions = [(item["event"], item["process"]) for item in body["decisions"]]
    expected = [("route", "gateway-1"), ("admit", body["endpoints"][0])]
    assert [item for item in decisions if item in expected] == expected, decisions


@given("a decision log of a request that was tried twice")
def write_logs(context: Context) -> None:
    gateway = [
        _log_line("00.100", "route", "gateway-1", "two choices", endpoint="scribe-1"),
        _log_line(
            "00.300", "retry", "gateway-1", "overloaded", retried=True, n_attempts=1
        ),
        _log_line(
            "00.400", "route", "gateway-1", "only candidate", endpoint="scribe-2"
        ),
        _log_line("00.200", "route", "gateway-1", "x", endpoint="x", request_id="r-7"),
        "no JSON",
    ]
    sidecar = [
        _log_line("00.500", "admit", "scribe-2", "within limit", n_running=1, limit=4)
    ]
    context.operator.write("gateway.log", "\n".join(gateway))
    context.operator.write("sidecar.log", "\n".join(sidecar))


@then(
    "{n_engines:d} engines, {n_services:d} plain services, {n_domains:d} failure "
    "domains and {n_teams:d} teams are accepted"
)
def check_counts(
    context: Context, n_engines: int, n_services: int, n_domains: int, n_teams: int
) -> None:
    kinds = [(item.kind, item.document) for item in _live_records(context)]
    protocols = [
        document["spec"]["protocol"] for kind, document in kinds if kind == "endpoint"
    ]
    assert protocols.count("generation") == n_engines
    assert protocols.count("http") == n_services
    assert sum(kind == "failure_domain" for kind, _ in kinds) == n_domains
    assert sum(kind == "team" for kind, _ in kinds) == n_teams


@then("services of schema 1 and of schema 2 are accepted")
def check_schemas(context: Context) -> None:
    schemas = {item.document["schema"] for item in _live_records(context, "service")}
    assert schemas == {1, 2}, schemas


@then("its settings are valid and name the same sidecars as its records")
def check_settings(context: Context) -> None:
    folder = ROOT / "examples" / context.active_outline["deployment"] / "settings"
    loaded = [load_settings(path, environ=PEER_KEY) for path in folder.iterdir()]
    sidecars = {
        (item.name, item.failure_domain, item.listen, item.protocol)
        for item in loaded
        if isinstance(item, SidecarSettings)
    }
    specs = [
        (item.name, item.document["spec"])
        for item in _live_records(context, "endpoint")
    ]
    named = {
        (name, spec["failure_domain"], spec["sidecar"], spec["protocol"])
        for name, spec in specs
    }
    assert sidecars == named, sidecars ^ named
    assert len(loaded) > len(sidecars), "no gateway"


@then("the published keys match the hashes of its teams")
def check_published_keys(context: Context) -> None:
    page = (ROOT / "examples" / "README.md").read_text()
    keys = {team_of_key(key): key for key in re.findall("`(hy[.][^`]+)`", page)}
    for item in _live_records(context, "team"):
        assert key_matches(keys[item.name], item.document["spec"]["key_hash"]), item


def _take_domain_out(
    table: TableStore, author: str, domain: str, message: str
) -> Change:
    spec = {"region": "kingston", "in_service": False}
    document = {"kind": "failure_domain", "schema": 1, "name": domain, "spec": spec}
    plan = plan_apply(read_accepted(table), [Draft(document, UnknownLocation())])
    change = submit(table, plan, new_change_metadata(author, message=message))
    assert change is not None
    return change


def _change_until_accepted(table: TableStore, index: int) -> int:
    spec = {"context_tokens": index + 1}
    document = {"kind": "model", "schema": 1, "name": "scribe", "spec": spec}
    n_conflicts = 0
    while True:
        plan = plan_apply(read_accepted(table), [Draft(document, UnknownLocation())])
        try:
            submit(table, plan, new_change_metadata(f"operator-{index + 1}"))
            return n_conflicts
        except ConflictError:
            n_conflicts += 1


def _set_domain(context: Context, *, in_service: bool, urls: list[str]) -> None:
    text = (
        "kind: failure_domain\nschema: 1\nname: half-way-tree\n"
        f"spec: {{region: kingston, in_service: {str(in_service).lower()}}}\n"
    )
    path = context.operator.write("domain/half-way-tree.yaml", text)
    command = ["records", "apply", str(path), "--wait", "--timeout-s", "3"]
    command += ["--table", context.operator.table_url]
    for url in urls:
        command += ["--gateway", url]
    context.operator.run(*command)


def _gateway_options(context: Context) -> list[str]:
    return [word for url in _gateway_urls(context) for word in ("--gateway", url)]


def _gateway_urls(context: Context) -> list[str]:
    return [context.deployment.url(index) for index in range(2)]


def _live_records(context: Context, kind: str = "") -> list[Any]:
    live = read_accepted(context.operator.standin.table).live()
    return [item for item in live if item.kind == kind or not kind]


def _log_line(second: str, event: str, process: str, reason: str, **fields: Any) -> str:
    head = {"time": f"2026-01-01T00:00:{second}+00:00", "level": "INFO"}
    body = {"event": event, "process": process, "request_id": "r-9", "reason": reason}
    return json.dumps({**head, **body, **fields})


def _stderr(context: Context) -> str:
    return str(context.operator.err)
