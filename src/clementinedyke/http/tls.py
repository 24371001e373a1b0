"""TLS contexts of the ports that a daemon serves."""

import ssl

from clementinedyke.exceptions import SettingError


def load_tls(certificate: str, key: str) -> ssl.SSLContext | None:
    """Return the context of a port, or None for plain TCP.

    :param certificate: path of the certificate chain, or empty.
    :param key: path of the private key, or empty.
    :raises SettingError: if a file is not a valid certificate or key.
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
