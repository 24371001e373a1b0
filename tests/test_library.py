"""Tests of the public names that other programs import."""

import ast
import inspect
import pkgutil
import subprocess
import sys

import pytest

import clementinedyke as library
from clementinedyke.claims.messages import CommitBatch

_IO_MODULES = frozenset(
    ('trio', 'trio_asyncio', 'time', 'os', 'socket', 'asyncio')
)
_CORES = (
    'AdmissionCore',
    'CapacityPlanner',
    'ClaimCore',
    'CloserCore',
    'ConfigurationCore',
    'LeaseCore',
    'Membership',
    'OutboxCore',
    'PartCore',
    'QuarantineCore',
    'RetryCore',
    'RolePlanner',
    'RouterCore',
)


def list_from_import(node: ast.ImportFrom) -> set[str]:
    """Return the modules that a ``from`` import loads."""
    names = {alias.name for alias in node.names}
    if node.module == 'clementinedyke':
        return {f'clementinedyke.{name}' for name in names}
    if node.module == 'clementinedyke.clock' and names == {'Milliseconds'}:
        return set()  # A type alias, which reads no clock.
    return {str(node.module)}


def list_imports(module: str) -> set[str]:
    """Return the modules that a module of the package imports."""
    tree = ast.parse(inspect.getsource(sys.modules[module]))
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.update(list_from_import(node))
    return names


def list_all_imports(module: str) -> set[str]:
    """Return the modules that a module imports, also indirectly.

    Imports are followed only within the package.
    """
    seen: set[str] = set()
    pending = [module]
    while pending:
        name = pending.pop()
        for imported in list_imports(name) - seen:
            seen.add(imported)
            if imported.startswith('clementinedyke.'):
                pending.append(imported)
    return seen


class TestCores:
    """Guards against I/O, clocks or event loops in a decision core."""

    @pytest.mark.parametrize('name', _CORES)
    def test_imports_no_io(self, name: str) -> None:
        """A core that reads a clock or a socket is not deterministic."""
        module = getattr(library, name).__module__
        roots = {item.partition('.')[0] for item in list_all_imports(module)}
        assert not roots & _IO_MODULES


class TestReadme:
    """Guards against a README example that no longer runs."""

    def test_library_example(self) -> None:
        """The first action on a requested claim commits a batch."""
        core = library.ClaimCore(library.ClaimSettings(), now=0)
        event = library.ClaimRequested(
            'request-1', key='booking-17', digest='d', nonce='n'
        )
        assert isinstance(core.handle(event, now=5)[0], CommitBatch)


class TestStart:
    """Guards against starts that load what an entry daemon does not use.

    Loading all re-exported names took a third of the processor time of a start.
    """

    def test_entry_daemon_loads_its_modules_only(self) -> None:
        """The command of the entry daemon loads no package of `serve`."""
        script = (
            'import sys, clementinedyke.platform.command as command\n'
            'print(*sys.modules)'
        )
        listed = subprocess.run(
            [sys.executable, '-c', script],
            check=True,
            capture_output=True,
            text=True,
        ).stdout.split()
        loaded = {
            name.split('.')[1]
            for name in listed
            if name.startswith('clementinedyke.')
        }
        assert 'entry' in loaded
        assert not loaded & {
            'admission',
            'capacity',
            'claims',
            'configuration',
            'control',
            'members',
            'records',
            'roles',
            'routing',
            'usage',
        }

    def test_each_module_can_be_loaded_first(self) -> None:
        """No module depends on another one having been loaded before.

        Packages that use each other once loaded only because the package itself
        loaded all of them, in an order that worked.
        """
        script = (
            'import importlib, sys\n'
            'for name in sys.argv[1:]:\n'
            '    for known in list(sys.modules):\n'
            '        if known.partition(".")[0] == "clementinedyke":\n'
            '            sys.modules.pop(known)\n'
            '    importlib.import_module(name)\n'
        )
        names = [
            module.name
            for module in pkgutil.walk_packages(
                library.__path__, 'clementinedyke.'
            )
            if not module.name.endswith('__main__')
        ]
        assert len(names) > 200
        subprocess.run([sys.executable, '-c', script, *names], check=True)

    def test_unknown_name(self) -> None:
        """A name that is not re-exported is refused as of any module."""
        with pytest.raises(AttributeError, match='no_such_name'):
            library.no_such_name  # noqa: B018
