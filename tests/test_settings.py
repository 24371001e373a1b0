"""Tests of settings, their documentation and their refusal."""

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
    """Return exit status and standard error of ``clementinedyke check``."""
    done = subprocess.run(
        [sys.executable, '-m', 'clementinedyke', 'check', *flags],
        capture_output=True,
        text=True,
        env=environment,
        timeout=30,
    )
    return done.returncode, done.stderr


class TestSettings:
    """Guards against settings that are undocumented or taken unchecked."""

    def test_page_matches_fields(self) -> None:
        """The published page must not drift from the fields."""
        assert _PAGE.read_text(encoding='utf-8') == compile_settings_page()

    def test_numbers_have_unit_or_range(self) -> None:
        """A bound that is not documented cannot be obeyed."""
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
    def test_names_what_is_wrong(
        self, name: str, text: str, allowed: str
    ) -> None:
        """A refusal names the setting and what is allowed."""
        with pytest.raises(SettingError) as caught:
            load_settings({name: text})
        assert name.replace('_', '-') in str(caught.value)
        assert allowed in str(caught.value)

    def test_hides_token(self) -> None:
        """A refused token must not reach standard error."""
        with pytest.raises(SettingError) as caught:
            load_settings({'operator_token': 'tooshort'})
        assert 'tooshort' not in str(caught.value)

    def test_reads_token_file(self, tmp_path: Path) -> None:
        """The line end of the file is not part of the token."""
        path = tmp_path / 'token'
        path.write_text('0123456789abcdef\n')
        settings = load_settings({'operator_token_file': str(path)})
        token = settings.operator_token.get_secret_value()
        assert token == '0123456789abcdef'
        assert token not in repr(settings)

    def test_wrong_setting_stops_start(self) -> None:
        """A wrong variable gives one line and exit status 2."""
        status, errors = run_check(CLEMENTINEDYKE_KEY_MAX_AGE='1')
        assert status == 2
        assert errors.count('\n') == 1
        assert "CLEMENTINEDYKE_KEY_MAX_AGE) has value '1'" in errors

    def test_mistyped_variable_stops_start(self) -> None:
        """A default must not be in force where another value was meant."""
        status, errors = run_check(CLEMENTINEDYKE_KEY_MAXAGE='3000')
        assert status == 2
        assert errors.count('\n') == 1
        assert 'CLEMENTINEDYKE_KEY_MAXAGE ' in errors
        assert 'CLEMENTINEDYKE_KEY_MAX_AGE?' in errors

    def test_flag_wins_over_variable(self) -> None:
        """A flag given by hand overrides the environment of the host."""
        status, errors = run_check(
            '--port', '8080', CLEMENTINEDYKE_PORT='no number'
        )
        assert (status, errors) == (0, '')
