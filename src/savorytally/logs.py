"""Logs: one JSON object a line on stderr.

A line has the fields ``time`` (seconds since the Unix epoch), ``level``,
``host``, ``source`` and ``message``, and those given with
:func:`fields`. Keys are never given to a log call; as a second guard,
whatever looks like the value of a header with a secret is replaced.
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
    """Return what ``extra`` of a log call takes to add fields to its line.

    :param request_id: the root request.
    :param code: the numbered result code.
    """
    given = {"request_id": request_id, "code": code, **others}
    return {_ATTRIBUTE: {key: given[key] for key in given if given[key]}}


def redact(text: str) -> str:
    """Replace what looks like the value of a header with a secret."""
    return _SECRETS.sub(rf"\1{REDACTED}", text)


class JsonFormatter(standard.Formatter):
    """Turns a record into one line of JSON.

    :param host_id: the host that logs.
    """

    def __init__(self, host_id: str) -> None:
        super().__init__()
        self._host_id = host_id

    def format(self, record: standard.LogRecord) -> str:
        """Return the line without its end."""
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


def start(host_id: str, level: str) -> None:
    """Send all logs to stderr as JSON lines.

    :param host_id: the host that logs.
    :param level: the least severe level that is written.
    """
    # The command line is argparse's; absl's flags keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(LEVELS[level])
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(host_id))
