"""TLS contexts for the server ports of a daemon."""

import ssl

from clementinedyke.exceptions import SettingError


def load_tls(certificate: str, key: str) -> ssl.SSLContext | None:
    """Return the TLS context of a port, or None for plain TCP.

    :param certificate: path of the PEM certificate chain; empty disables TLS.
    :param key: path of the PEM private key.
    :raises SettingError: if the files cannot be read or are not a certificate
        chain and its key.
    """
    if not certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise SettingError(
            f'TLS certificate {certificate!r} and key {key!r} cannot be used; '
            f'allowed: a PEM certificate chain and its key ({error})'
        ) from error
    return context
