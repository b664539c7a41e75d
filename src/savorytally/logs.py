"""Structured logs: one JSON object per line on stderr.

A line has the fields ``time`` (seconds since the Unix epoch), ``level``,
``host``, ``source`` and ``message``, and those passed with :func:`fields`.
API keys are never passed to a log call. As a second safeguard, text that
looks like the value of a secret header is redacted.
"""

import json
import logging as standard
import re
import typing as t

from absl import flags
from absl import logging

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
REDACTED = "[redacted]"

_ATTRIBUTE = "savorytally_fields"
_SECRETS = re.compile(
    r"""
    (
        \b(?:authorization|x-api-key|savorytally-call-token)
        ["']?\s*[:=,]\s*b?["']?
        (?:\w+\s+(?=[^\s"',]))?
      | \bbearer\s+
    )
    [^\s"',;)}\]]+
    """,
    re.IGNORECASE | re.VERBOSE,
)


def fields(
    request_id: str = "", code: int = 0, **others: str | int | float
) -> dict[str, t.Any]:
    """Return the ``extra`` argument of a log call that adds fields.

    :param request_id: identifier of the root request.
    :param code: number of the result code.
    :param others: other fields by name; empty ones are left out.
    """
    given = {"request_id": request_id, "code": code, **others}
    return {_ATTRIBUTE: {key: given[key] for key in given if given[key]}}


def redact(text: str) -> str:
    """Redact text that looks like the value of a secret header."""
    return _SECRETS.sub(rf"\1{REDACTED}", text)


class JsonFormatter(standard.Formatter):
    """Formats a log record as a JSON object on one line.

    :param host_id: identifier of this host.
    """

    def __init__(self, host_id: str) -> None:
        super().__init__()
        self._host_id = host_id

    def format(self, record: standard.LogRecord) -> str:
        """Return the line without a line break."""
        line: dict[str, t.Any] = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "host": self._host_id,
            "source": f"{record.name}.{record.module}",
            "message": redact(record.getMessage()),
        }
        for key, value in getattr(record, _ATTRIBUTE, {}).items():
            line[key] = redact(value) if isinstance(value, str) else value
        if record.exc_info:
            line["exception"] = redact(self.formatException(record.exc_info))
        return json.dumps(line)


def configure(host_id: str, level: str) -> None:
    """Send all logs to stderr as JSON lines.

    :param host_id: identifier of this host.
    :param level: lowest level that is written.
    """
    # argparse parses the command line; absl's flags keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(LEVELS[level])
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(host_id))
