"""Ed25519 signatures of versions, under several keys with expiry and revocation.  No I/O but reading keys.

A signature covers the version's epoch, number, digest and expiry, so that it is not valid for another
document, for another number or after its expiry.
"""

from __future__ import annotations

import stat
from dataclasses import dataclass
from pathlib import Path

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from capershelf.stream.ledger import VersionNumber

STATEMENT_TAG = "capershelf-version-1"
KEY_BYTES = 32


@dataclass(frozen=True, slots=True)
class Signature:
    """The signature of a version; all fields are empty if the version is unsigned."""

    key: str = ""
    expires_ms: float = 0.0
    value: str = ""  # hex


@dataclass(frozen=True, slots=True)
class Key:
    """A trusted public key; it expires at until_ms (0: never)."""

    name: str
    public: Ed25519PublicKey
    until_ms: float = 0.0
    revoked: bool = False


def statement(number: VersionNumber, digest: str, expires_ms: float) -> bytes:
    """The bytes that are signed."""
    return f"{STATEMENT_TAG}\n{number.epoch}\n{number.version}\n{digest}\n{expires_ms:.0f}\n".encode()


def sign(
    private: Ed25519PrivateKey, name: str, number: VersionNumber, digest: str, expires_ms: float
) -> Signature:
    """Sign a version."""
    return Signature(name, expires_ms, private.sign(statement(number, digest, expires_ms)).hex())


class KeyRing:
    """The keys that an operator trusts."""

    def __init__(self, keys: tuple[Key, ...]) -> None:
        self._keys = {key.name: key for key in keys}

    def fault(
        self, number: VersionNumber, digest: str, signature: Signature, now_ms: float
    ) -> tuple[str, str]:
        """The code and text of what is wrong with the signature; both empty if it is valid."""
        if not signature.value:
            return "unsigned", f"{number} has no signature"
        key = self._keys.get(signature.key)
        if key is None:
            return "unknown-key", f"{number} is signed with {signature.key!r}, which is not trusted here"
        if key.revoked:
            return "revoked-key", f"{number} is signed with {signature.key!r}, which is revoked"
        if key.until_ms and now_ms > key.until_ms:
            return "expired-key", f"{number} is signed with {signature.key!r}, whose time is over"
        if now_ms > signature.expires_ms:
            return "expired", f"the time of {number} is over"
        try:
            value = bytes.fromhex(signature.value)
            key.public.verify(value, statement(number, digest, signature.expires_ms))
        except (ValueError, InvalidSignature):
            return "bad-signature", f"the signature of {number} is not that of {signature.key!r}"
        return "", ""


def read_private(path: Path) -> Ed25519PrivateKey:
    """Read a private key: 64 hex digits in a file readable by its owner only; raises ValueError."""
    try:
        mode, text = path.stat().st_mode, path.read_text()
    except (OSError, UnicodeDecodeError) as problem:
        raise ValueError(f"{path}: {problem}") from problem
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise ValueError(f"{path} is open to others (mode {mode & 0o777:03o}, 600 wanted)")
    return Ed25519PrivateKey.from_private_bytes(_hex_key(path, text))


def read_ring(folder: Path) -> KeyRing:
    """Read all NAME.pub in a folder: 64 hex digits, then lines `until MS` or `revoked`."""
    keys = []
    try:
        files = sorted(folder.glob("*.pub"))
        if not files:
            raise ValueError(f"{folder}: no NAME.pub lies there")
        for path in files:
            if path.stat().st_mode & (stat.S_IWGRP | stat.S_IWOTH):
                raise ValueError(f"{path} may be written by others")
            first, *more = path.read_text().split("\n")
            words = [line.split() for line in more if line.strip()]
            until = [float(word[1]) for word in words if word[0] == "until" and len(word) == 2]
            if any(word[0] not in ("until", "revoked") for word in words):
                raise ValueError(f"{path}: a line that is neither `until MS` nor `revoked`")
            public = Ed25519PublicKey.from_public_bytes(_hex_key(path, first))
            keys.append(Key(path.stem, public, until[0] if until else 0.0, ["revoked"] in words))
    except (OSError, UnicodeDecodeError) as problem:
        raise ValueError(f"{folder}: {problem}") from problem
    return KeyRing(tuple(keys))


def _hex_key(path: Path, text: str) -> bytes:
    try:
        key = bytes.fromhex(text.strip())
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise ValueError(f"{path} must hold {2 * KEY_BYTES} hex digits")
    return key
