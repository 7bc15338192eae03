"""Steps that read the Prometheus metrics of a gateway and a sidecar."""

import urllib3
from behave import given, then, when
from behave.runner import Context
from prometheus_client.parser import text_string_to_metric_families

from features.support.processes import TEAM_KEY
from hawthornyard.demo import Client
from hawthornyard.demo.deployment import wait_until

ALLOWED_LABELS = {"service", "kind", "name", "le"}
N_TOKENS = 12


@given("a finished stream of 12 tokens and a call refused for a wrong key")
def stream_and_fail(context: Context) -> None:
    url = context.processes.gateway_url()
    events = list(Client(url, TEAM_KEY).stream("A visitor", max_tokens=N_TOKENS))
    assert len([event for event in events if event.id]) == N_TOKENS
    assert Client(url, "hy.kiosk.wrong").complete("x").status == 401


def _fetch_metrics(context: Context, url: str) -> None:
    resp = urllib3.PoolManager().request(
        "GET", url + "/metrics", timeout=5.0, retries=False, redirect=False
    )
    assert resp.status == 200
    assert resp.headers["Content-Type"].startswith("text/plain; version=0.0.4")
    context.families = list(text_string_to_metric_families(resp.data.decode()))
    context.samples = {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in context.families
        for sample in family.samples
    }


def _sample_value(context: Context, metric: str, **labels: str) -> float:
    key = ("hawthornyard_" + metric, *sorted(labels.items()))
    value: float = context.samples.get(key, 0.0)
    return value


@when("the gateway's metrics are read")
def read_gateway(context: Context) -> None:
    _fetch_metrics(context, context.processes.gateway_url())


@when("the sidecar's metrics are read")
def read_sidecar(context: Context) -> None:
    (line,) = context.processes.sidecar.log_events("started")
    url = f"http://127.0.0.1:{line['metrics_port']}"

    def has_attempts() -> bool:
        _fetch_metrics(context, url)
        return (
            _sample_value(context, "attempts_total", service="summaries", kind="ok") > 0
        )

    wait_until(has_attempts)


@then('requests are counted as "summaries" "ok" and as "" "unauthenticated"')
def check_requests(context: Context) -> None:
    assert _sample_value(context, "requests_total", service="summaries", kind="ok") >= 1
    assert (
        _sample_value(context, "requests_total", service="", kind="unauthenticated")
        >= 1
    )


@then('12 tokens, 1 first token and the gaps between them are counted for "summaries"')
def check_tokens(context: Context) -> None:
    n_streams = _sample_value(context, "requests_total", service="summaries", kind="ok")
    n_tokens = _sample_value(context, "tokens_total", service="summaries")
    assert n_tokens == N_TOKENS * n_streams
    name = "time_to_first_token_seconds_count"
    assert _sample_value(context, name, service="summaries") == n_streams
    # Tokens that arrive together add a single gap.
    n_gaps = _sample_value(context, "inter_token_seconds_count", service="summaries")
    assert 0 < n_gaps <= (N_TOKENS - 1) * n_streams, n_gaps


@then("the gauges show nothing in flight, 1 peer and a configuration in force")
def check_gauges(context: Context) -> None:
    assert _sample_value(context, "requests_in_flight") == 0
    assert _sample_value(context, "peer_connections") == 1
    assert _sample_value(context, "config_revision") >= 1
    assert _sample_value(context, "endpoints_accepting") == 1
    assert _sample_value(context, "loop_lag_seconds_count") > 0


@then('an attempt of "summaries" is counted as "ok" with its first token')
def check_attempts(context: Context) -> None:
    n_attempts = _sample_value(
        context, "attempts_total", service="summaries", kind="ok"
    )
    name = "time_to_first_token_seconds_count"
    assert _sample_value(context, name, service="summaries") == n_attempts
    assert _sample_value(context, "tokens_total") == N_TOKENS * n_attempts
    assert _sample_value(context, "decisions_total", name="admit") == n_attempts
    assert _sample_value(context, "attempts_limit") >= 1


@then("metric names and units follow the Prometheus conventions")
def check_names(context: Context) -> None:
    for family in context.families:
        assert family.name.startswith("hawthornyard_"), family.name
        assert family.documentation, family.name
        if family.type == "histogram":
            assert family.name.endswith("_seconds"), family.name


@then("no label names a team, a request or an attempt")
def check_labels(context: Context) -> None:
    names = {name for key in context.samples for name, _ in key[1:]}
    assert names <= ALLOWED_LABELS, names
    values = {value for key in context.samples for _, value in key[1:]}
    assert "kiosk" not in values, values
