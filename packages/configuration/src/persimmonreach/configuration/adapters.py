"""Reading of declaration files."""

from collections.abc import Iterable
from pathlib import Path

from persimmonreach.configuration._model import Declarations
from persimmonreach.configuration._schema import SERVICE_FILE_SUFFIX, ZONES_FILE_NAME
from persimmonreach.configuration._sources import SourceFile
from persimmonreach.configuration.declarations import parse_declarations
from persimmonreach.core import Finding, raise_findings


def load_declarations(*directories: str) -> Declarations:
    """Read and validate the declarations in all directories.

    Raises
    ------
    FindingsError
        If files cannot be read or are not valid; contains all findings.

    """
    findings: list[Finding] = []
    sources = [
        source
        for directory in directories
        for source in _read_directory(Path(directory), findings)
    ]
    raise_findings('declarations cannot be read', findings)
    return parse_declarations(sources)


def _read_directory(directory: Path, findings: list[Finding]) -> Iterable[SourceFile]:
    if not directory.is_dir():
        findings.append(
            Finding(
                str(directory), '$', 'not a directory', 'give the path of a directory'
            ),
        )
        return
    for path in sorted(directory.rglob('*.json')):
        if not path.name.endswith(SERVICE_FILE_SUFFIX) and path.name != ZONES_FILE_NAME:
            remedy = f'name it NAME{SERVICE_FILE_SUFFIX} or {ZONES_FILE_NAME}'
            findings.append(Finding(str(path), '$', 'unexpected file name', remedy))
            continue
        try:
            yield SourceFile(str(path), path.read_text('utf-8'))
        except (OSError, UnicodeDecodeError) as error:
            findings.append(
                Finding(str(path), '$', str(error), 'provide a readable UTF-8 file')
            )
