"""Creates the TLS contexts of a node from its settings."""

import ssl

from . import settings


def peer_server(certificates: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the TLS context for incoming peer streams.

    The handshake fails for a peer without a certificate of the fleet's
    authority, so that it can't send a frame.

    :param certificates: paths of certificate files, ``None`` for
        plain TCP.
    :return: ``None`` for plain TCP.
    :raises OSError: if a certificate can't be read.
    """
    if certificates is None:
        return None
    return _mutual_tls_context(certificates, ssl.PROTOCOL_TLS_SERVER)


def peer_client(certificates: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the TLS context for outgoing peer streams.

    Hosts are addressed by IP address, and the authority issues certificates
    to the fleet only. Therefore the certificate is verified but not the host
    name.

    :param certificates: paths of certificate files, ``None`` for
        plain TCP.
    :return: ``None`` for plain TCP.
    :raises OSError: if a certificate can't be read.
    """
    if certificates is None:
        return None
    return _mutual_tls_context(certificates, ssl.PROTOCOL_TLS_CLIENT)


def entry(certificates: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the TLS context for callers, who need no certificate.

    :param certificates: paths of certificate files, ``None`` for
        plain HTTP.
    :return: ``None`` for plain HTTP.
    :raises OSError: if a certificate can't be read.
    """
    if certificates is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificates.certificate, certificates.key)
    return context


def _mutual_tls_context(
    certificates: settings.Tls, protocol: int
) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(certificates.authority)
    context.load_cert_chain(certificates.certificate, certificates.key)
    return context
