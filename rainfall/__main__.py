"""Runs one forwarder process: python -m rainfall."""

from __future__ import annotations

import sys

OPENSSL_MODULES = ("ssl", "_hashlib")
"""Modules that load OpenSSL. asyncio and hashlib do without them if they are missing."""


def exclude_openssl() -> None:
    """Keep OpenSSL out of this process: no TLS is spoken, and it takes over 4 MB.

    To be called before asyncio is imported.
    """
    for name in OPENSSL_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]


if __name__ == "__main__":
    exclude_openssl()
    from rainfall.forwarder.process import main

    sys.exit(main())
