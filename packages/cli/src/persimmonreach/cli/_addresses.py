"""Parsing of addresses, and errors for invalid options and arguments."""

from typing import Final, NoReturn

from persimmonreach.core import Endpoint, Finding, FindingError, FindingsError

_FINDING_SOURCE: Final = 'command line'
_MAX_PORT: Final = 65_535


def parse_endpoint(name: str, text: str) -> Endpoint:
    """Parse an address of the form ``HOST:PORT``.

    Parameters
    ----------
    name
        Name of the option or argument, for the error message.
    text
        Text to parse.

    Raises
    ------
    FindingsError
        If ``text`` has no host, or its port is not between 1 and 65535.

    """
    host, _, port = text.rpartition(':')
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT
    if not host or not is_port:
        raise_option_error(name, f'expected HOST:PORT, found "{text}"', '127.0.0.1:2379')
    return Endpoint(host, int(port))


def raise_option_error(name: str, problem: str, remedy: str) -> NoReturn:
    """Raise an error for an invalid option or argument.

    Parameters
    ----------
    name
        Name of the option or argument.
    problem
        Description of the error.
    remedy
        What to write instead, for the error message.

    Raises
    ------
    FindingsError
        Always.

    """
    finding = Finding(_FINDING_SOURCE, name, problem, f'write {remedy}')
    raise FindingsError('invalid command line', [FindingError(finding)])
