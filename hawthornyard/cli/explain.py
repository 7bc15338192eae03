"""Define the explain command."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import cyclopts

from ..errors import HawthornyardError
from ..operator import Explanation, LogExtract, explain, extract_lines
from .exit import ExitCode
from .option import OutputOption
from .output import Result, make_console, show


def add_explain_command(app: cyclopts.App) -> None:
    """Add the explain command to the command line."""
    app.command(explain_request, name="explain")


def explain_request(
    request_id: str,
    files: list[Path] | None = None,
    /,
    *,
    output: OutputOption = "text",
) -> ExitCode:
    """Explain from decision logs where a request was sent and why.

    Args:
        request_id: The X-Request-ID of the request.
        files: Log files of gateways and sidecars; standard input by default.
        output: Output format: tables, or JSON.
    """
    extract = extract_lines(_read_lines(files or []), request_id)
    if extract.n_skipped:
        console = make_console(to_stderr=True)
        console.print(f"{extract.n_skipped} lines skipped: not a JSON object")
    show(_result(request_id, extract, explain(extract.lines)), output)
    return ExitCode.OK if extract.lines else ExitCode.FAILED


def _result(request_id: str, extract: LogExtract, explanation: Explanation) -> Result:
    body = {
        "request_id": request_id,
        "endpoints": list(explanation.endpoints),
        "decisions": [
            {
                "time": line.time,
                "process": line.process,
                "event": line.event,
                "reason": line.reason,
                "details": dict(line.details),
                "sentence": sentence,
            }
            for line, sentence in zip(extract.lines, explanation.sentences, strict=True)
        ],
    }
    rows = [
        (line.time, line.process, sentence)
        for line, sentence in zip(extract.lines, explanation.sentences, strict=True)
    ]
    columns = ("time", "process", "decision")
    return Result(
        body, columns=columns, rows=rows, notes=[_summary(request_id, explanation)]
    )


def _summary(request_id: str, explanation: Explanation) -> str:
    if not explanation.sentences:
        return f"No log line names the request {request_id}."
    if not explanation.endpoints:
        return f"Request {request_id} was sent to no endpoint."
    return f"Request {request_id} was sent to: {', then '.join(explanation.endpoints)}."


def _read_lines(files: Sequence[Path]) -> Iterator[str]:
    if not files or files == [Path("-")]:
        yield from sys.stdin
        return
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as stream:
                yield from stream
        except OSError as exc:
            raise HawthornyardError(f"{file}: {exc.strerror}") from exc
