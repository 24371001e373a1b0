"""Tests of the settings, their documentation and error messages."""

import subprocess
import sys
from pathlib import Path

import pytest

from clementinedyke.exceptions import SettingError
from clementinedyke.settings.loader import (
    compile_settings_page,
    list_settings,
    load_settings,
)

_PAGE = Path(__file__).parent.parent / 'docs' / 'settings.md'


def run_check(*flags: str, **environment: str) -> tuple[int, str]:
    """Run ``clementinedyke check``; return exit status and standard error."""
    done = subprocess.run(
        [sys.executable, '-m', 'clementinedyke', 'check', *flags],
        capture_output=True,
        text=True,
        env=environment,
        timeout=30,
    )
    return done.returncode, done.stderr


class TestSettings:
    """Guards against undocumented settings and unvalidated values."""

    def test_page_matches_fields(self) -> None:
        """The published page matches the field definitions."""
        assert _PAGE.read_text(encoding='utf-8') == compile_settings_page()

    def test_all_settings_document_allowed_values(self) -> None:
        """Every setting documents its allowed values, with complete bounds."""
        assert all(details.allowed for details in list_settings())
        assert not any('None' in details.allowed for details in list_settings())

    @pytest.mark.parametrize(
        ('name', 'text', 'allowed'),
        [
            ('host', 'localhost', 'IP number'),
            ('port', '65536', '0 to 65535'),
            ('key_max_age', '1999', '2000 to 12000 ms'),
            ('key_max_age', '12001', '2000 to 12000 ms'),
            ('platform', '', 'IP:PORT'),
            ('platform', '10.0.0.1:99999', 'IP:PORT'),
            ('log_level', 'loud', 'debug, info, warning or error'),
            ('availability_zone', 'A b', '1 to 63'),
            ('tls_certificate', 'missing.pem', 'PEM file'),
            ('operator_token_file', 'missing', 'text file'),
        ],
    )
    def test_error_names_setting_and_allowed_values(
        self, name: str, text: str, allowed: str
    ) -> None:
        """An error names the setting and its allowed values."""
        with pytest.raises(SettingError) as caught:
            load_settings({name: text})
        assert name.replace('_', '-') in str(caught.value)
        assert allowed in str(caught.value)

    def test_error_hides_token(self) -> None:
        """An invalid token must not appear in the error message."""
        with pytest.raises(SettingError) as caught:
            load_settings({'operator_token': 'tooshort'})
        assert 'tooshort' not in str(caught.value)

    def test_token_file_is_stripped(self, tmp_path: Path) -> None:
        """The newline at the end of the file is not part of the token."""
        path = tmp_path / 'token'
        path.write_text('0123456789abcdef\n')
        settings = load_settings({'operator_token_file': str(path)})
        token = settings.operator_token.get_secret_value()
        assert token == '0123456789abcdef'
        assert token not in repr(settings)

    def test_invalid_variable_stops_start(self) -> None:
        """An invalid variable gives one error line and exit status 2."""
        status, errors = run_check(CLEMENTINEDYKE_KEY_MAX_AGE='1')
        assert status == 2
        assert errors.count('\n') == 1
        assert "CLEMENTINEDYKE_KEY_MAX_AGE) has value '1'" in errors

    def test_unknown_variable_stops_start(self) -> None:
        """A mistyped variable stops the start instead of being ignored."""
        status, errors = run_check(CLEMENTINEDYKE_KEY_MAXAGE='3000')
        assert status == 2
        assert errors.count('\n') == 1
        assert 'CLEMENTINEDYKE_KEY_MAXAGE ' in errors
        assert 'CLEMENTINEDYKE_KEY_MAX_AGE?' in errors

    def test_flag_wins_over_variable(self) -> None:
        """A flag overrides the environment variable, even an invalid one."""
        status, errors = run_check(
            '--port', '8080', CLEMENTINEDYKE_PORT='no number'
        )
        assert (status, errors) == (0, '')
