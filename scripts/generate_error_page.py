"""Generates ``docs/ERRORS.md`` from the error table."""

import pathlib

from wheelslip.errors import ERROR_TABLE

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "ERRORS.md"

_INTRODUCTION = """# Errors

Generated from `src/wheelslip/errors.py` by `make pages`; a test holds the two together.

Every answer that is an error has this body, and `Retry-After` where the table gives one:

```json
{"error": {"message": "...", "type": "KIND", "code": "KIND", "run_state": "not_run",
           "retry": true, "retry_after_seconds": 1, "request_id": "..."}}
```

`run_state` says what is known of execution: `not_run` is proven, `may_have_run` is not
known, `ran` is known. In a stream that has begun, the same body comes as an event named
`error`, and no `[DONE]` follows it.

| Kind | Status | Run state | Retry | Retry-After, s | Meaning |
|---|---|---|---|---|---|
"""


def render() -> str:
    """Return the Markdown text of the page."""
    rows = [
        f"| `{kind.value}` | {definition.status} | `{definition.run_state.value}` | "
        f"{'yes' if definition.retry else 'no'} | {definition.retry_after_seconds or '-'} | "
        f"{definition.meaning} |"
        for kind, definition in ERROR_TABLE.items()
    ]
    return _INTRODUCTION + "\n".join(rows) + "\n"


if __name__ == "__main__":
    PAGE.write_text(render())
