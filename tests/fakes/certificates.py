"""A certificate authority for tests."""

import datetime
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from savorytally import settings

DAY = datetime.timedelta(days=1)


class Authority:
    """Issues certificates into a directory.

    :param directory: directory of the certificate files.
    :param name: common name of the authority and prefix of its files.
    """

    def __init__(self, directory: pathlib.Path, name: str = "fleet") -> None:
        self._directory = directory
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._path = directory / f"{name}.pem"
        root_certificate = self._build(name, self._key, authority=True)
        self._path.write_bytes(_pem(root_certificate))

    def issue(self, name: str) -> settings.Tls:
        """Issue a certificate and return TLS settings with its files."""
        key = ec.generate_private_key(ec.SECP256R1())
        stem = self._directory / f"{self._name}-{name}"
        certificate = stem.with_suffix(".crt")
        certificate.write_bytes(_pem(self._build(name, key)))
        stem.with_suffix(".key").write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return settings.Tls(
            certificate=str(certificate),
            key=str(stem.with_suffix(".key")),
            authority=str(self._path),
        )

    def _build(
        self,
        name: str,
        key: ec.EllipticCurvePrivateKey,
        authority: bool = False,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        usage = x509.BasicConstraints(ca=authority, path_length=None)
        return (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(_name(self._name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(usage, critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.DNSName("localhost")]),
                critical=False,
            )
            .sign(self._key, hashes.SHA256())
        )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
