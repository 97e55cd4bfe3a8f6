"""Guards against an install that fails, or misses a package that is imported."""

import ast
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGES = Path(__file__).parents[2]
OWN = 'persimmonreach'
NAMES = tuple(sorted(path.parent.name for path in PACKAGES.glob('*/pyproject.toml')))


def declared(name: str) -> set[str]:
    content = (PACKAGES / name / 'pyproject.toml').read_text(encoding='utf-8')
    return set(tomllib.loads(content)['project'].get('dependencies', ()))


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def distribution(module: str) -> str:
    parts = module.split('.')
    return f'{OWN}-{parts[1]}' if parts[0] == OWN else parts[0]


def imported(name: str) -> set[str]:
    modules = (
        module
        for path in (PACKAGES / name / 'src').rglob('*.py')
        for module in imported_modules(path)
    )
    needed = {distribution(module) for module in modules}
    return needed - set(sys.stdlib_module_names) - {f'{OWN}-{name}'}


@pytest.mark.parametrize('name', NAMES)
def test_each_imported_distribution_is_declared(name: str) -> None:
    assert imported(name) <= declared(name)


@pytest.mark.parametrize('name', NAMES)
def test_each_declared_package_of_the_workspace_exists(name: str) -> None:
    own = {item for item in declared(name) if item.startswith(f'{OWN}-')}
    assert own <= {f'{OWN}-{package}' for package in NAMES}
