"""Checking options and addresses of the command line."""

from typing import Final, NoReturn

from persimmonreach.core import Endpoint, Finding, FindingError, FindingsError

_COMMAND_LINE: Final = 'command line'
_LARGEST_PORT: Final = 65_535


def parse_address(name: str, text: str) -> Endpoint:
    """Return the address in ``HOST:PORT``.

    Raises
    ------
    FindingsError
        If ``text`` is not an address.

    """
    host, _, port = text.rpartition(':')
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= _LARGEST_PORT
    if not host or not is_port:
        raise_option(name, f'"{text}" is not HOST:PORT', '127.0.0.1:2379')
    return Endpoint(host, int(port))


def raise_option(name: str, problem: str, remedy: str) -> NoReturn:
    """Raise the finding of a wrong option or argument.

    Raises
    ------
    FindingsError
        Always.

    """
    finding = Finding(_COMMAND_LINE, name, problem, f'write {remedy}')
    raise FindingsError('invalid command', [FindingError(finding)])
