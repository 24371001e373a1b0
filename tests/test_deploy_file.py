"""Tests of what the users' platform reads from the folder deploy/."""

import subprocess
import tomllib
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_DEPLOY = _ROOT / 'deploy'


def run_git(*arguments: str) -> int:
    """Run git in the repository and return its exit status."""
    return subprocess.run(
        ['git', *arguments], cwd=_ROOT, check=False, capture_output=True
    ).returncode


class TestProduction:
    """Guards against a deploy file that the platform cannot build.

    It builds the version in production from the history, and refuses a deploy
    file that names none of its commits.
    """

    def test_commit_is_in_history(self) -> None:
        """The named build must be an ancestor of the present one."""
        text = (_DEPLOY / 'system.toml').read_text(encoding='utf-8')
        commit = tomllib.loads(text)['production']
        assert len(commit) == 40
        assert run_git('merge-base', '--is-ancestor', commit, 'HEAD') == 0
        assert run_git('cat-file', '-e', f'{commit}:deploy/system.toml') == 0
