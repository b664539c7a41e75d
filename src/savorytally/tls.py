"""TLS contexts of a node, made from its settings."""

import ssl

from . import settings


def peer_server(given: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context of incoming peer streams.

    A peer without a certificate of the fleet's authority is refused during
    the handshake, before it can send a frame.

    :return: ``None`` for plain TCP.
    :raises OSError: if a certificate can't be read.
    """
    if given is None:
        return None
    return _mutual(given, ssl.PROTOCOL_TLS_SERVER)


def peer_client(given: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context of outgoing peer streams.

    Hosts are addressed by IP number and the authority issues certificates
    to the fleet only, so membership is checked and no host name.

    :return: ``None`` for plain TCP.
    :raises OSError: if a certificate can't be read.
    """
    if given is None:
        return None
    return _mutual(given, ssl.PROTOCOL_TLS_CLIENT)


def entry(given: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context towards callers, who need no certificate.

    :return: ``None`` for plain HTTP.
    :raises OSError: if a certificate can't be read.
    """
    if given is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(given.certificate, given.key)
    return context


def _mutual(given: settings.Tls, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(given.authority)
    context.load_cert_chain(given.certificate, given.key)
    return context
