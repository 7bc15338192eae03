"""Generate docs/ERRORS.md from the table of answers, or check it."""

import sys
from pathlib import Path

from hawthornyard.errors import ANSWERS, ErrorKind

PATH = Path(__file__).resolve().parent.parent / "docs" / "ERRORS.md"

PAGE_HEADER = """# Errors

Generated from `hawthornyard/errors.py` by `python tools/error_table.py`.

An error answer has a JSON body with `error.type` (the kind), `error.ran`,
`error.retryable` and `error.n_delivered`, and the same in the headers
`X-Error-Kind`, `X-Request-Ran`, `X-Should-Retry` and `Retry-After`. A stream
that has begun ends with an event that holds the same body.

"Ran: no" is said only where the code can show that the request was not run
and never will be.

| kind | status | ran | may retry | after (s) | meaning |
| --- | --- | --- | --- | --- | --- |
"""

PAGE_FOOTER = """
## Malformed heads

Heads are validated line by line as they arrive, before any field of them is used. A
request with a malformed head gets 400 and reaches no endpoint. A response with one
counts as broken off: `outcome_unknown` for what may not be repeated, another attempt
for what may. The same holds for the fields behind a chunked body.

| in a field line | RFC 9112, 9110 | here |
| --- | --- | --- |
| a name that is empty or no token, no colon | invalid | refused |
| whitespace before the colon | refuse in requests, remove in responses | refused |
| whitespace at the start of the line (folding) | refuse or replace | refused |
| a carriage return that ends no line | refuse or replace | refused |
| a control byte other than a tab in the value | refuse, may keep some | refused |
| a line end without a carriage return | may accept | accepted |
| whitespace around the value | not part of it | removed |
| tabs, bytes over 127, an empty value | valid | passed on |

Whitespace before the colon and folded lines are refused in responses as well: an
endpoint that writes them has spoiled its head, and what it meant is not known.
"""


def render_page() -> str:
    """Return the content of the page."""
    rows = []
    for kind in ErrorKind:
        answer = ANSWERS[kind]
        retry = "yes" if answer.retryable else "no"
        after = str(answer.retry_after_s or "")
        cells = [f"`{kind.value}`", str(answer.status), answer.ran.value]
        cells += [retry, after, answer.meaning]
        rows.append(f"| {' | '.join(cells)} |")
    return PAGE_HEADER + "\n".join(rows) + "\n" + PAGE_FOOTER


def main(args: list[str]) -> int:
    """Write the page; with `--check` return 1 if it is out of date."""
    if args != ["--check"]:
        PATH.write_text(render_page())
        return 0
    if PATH.exists() and PATH.read_text() == render_page():
        return 0
    print("docs/ERRORS.md is out of date; run python tools/error_table.py")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
