"""A member's fencing token and quotas for its successor, in `fleet.json`.

The file is bounded by the budgets. It is written under another name and renamed, so
that a crash leaves the old or the new one. The state directory may hold 3 MB in all, so
the records of many budgets are compressed.
"""

from __future__ import annotations

import json
import logging
import threading
import zlib
from pathlib import Path
from typing import Any

from rainfall.journal.files import FileSystem, LocalFileSystem, write_all
from rainfall.journal.recovery import this_boot
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

FILE_NAME = "fleet.json"
FORMAT_VERSION = 1
MAX_FILE_BYTES = 16 << 20
"""A larger file is not read."""
COMPRESSION_THRESHOLD_BYTES = 64 * 1024
"""A longer document is compressed."""
COMPRESSION_LEVEL = 1
"""zlib's fastest."""
CLOCK_KEYS = ("closed_us", "known_us", "spent")
"""Keys of a quota's record that mean nothing by the clock of another boot."""
QuotaRecords = dict[int, dict[str, Any]]
"""Records of quotas by destination, as `MemberQuota.to_record` makes them."""
log = logging.getLogger("rainfall.fleet")


class StateFile:
    """The file, and the order of its versions."""

    def __init__(
        self, folder: Path, synced: bool, files: FileSystem | None = None
    ) -> None:
        """Name the file; nothing is read or written yet.

        Args:
            folder: The state directory.
            synced: Whether each version must survive a loss of power.
            files: The file system; by default that of the machine.
        """
        self.folder = folder
        self.path = folder / FILE_NAME
        self.synced = synced
        self.files = files or LocalFileSystem()
        self.last_written = b""
        """What the file holds, if this process wrote it."""
        self.lock = threading.Lock()
        self.last_sequence = 0
        """Number of the last version that was encoded."""
        self.newest_sequence = 0
        """Number of the newest version that was written."""

    def read(self) -> tuple[Token, QuotaRecords]:
        """Return the token of the process before, and the records of its quotas.

        A file that cannot be read counts as missing: its process's lease expires first,
        and a quota without a record waits for a window.
        """
        try:
            if self.files.size(self.path) > MAX_FILE_BYTES:
                raise ValueError("too large")
            document = json.loads(decompress(self.files.read(self.path)))
            if document["form"] != FORMAT_VERSION:
                raise ValueError(f"form {document['form']!r} is not known")
            token = Token.from_wire(document["token"])
            records = {
                int(name): dict(record) for name, record in document["purses"].items()
            }
        except FileNotFoundError:
            return ZERO_TOKEN, {}
        except (
            OSError,
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            RecursionError,
            zlib.error,
        ) as error:
            log.warning("%s cannot be read, and counts as none: %r", self.path, error)
            return ZERO_TOKEN, {}
        if not this_boot() or document.get("boot") != this_boot():
            records = {
                name: {
                    key: value for key, value in record.items() if key not in CLOCK_KEYS
                }
                for name, record in records.items()
            }
        return token, records

    def encode(self, token: Token, records: QuotaRecords) -> tuple[int, bytes]:
        """Return the arguments of `write` for the present state."""
        self.last_sequence += 1
        document = {
            "form": FORMAT_VERSION,
            "boot": this_boot(),
            "token": token.to_wire(),
            "purses": {str(name): record for name, record in sorted(records.items())},
        }
        text = json.dumps(document, separators=(",", ":")).encode()
        if len(text) > COMPRESSION_THRESHOLD_BYTES:
            text = zlib.compress(text, COMPRESSION_LEVEL)
        return self.last_sequence, text

    def write(self, sequence: int, data: bytes) -> OSError | None:
        """Write a version, and return why that failed if it did; then the old one stays.

        It may be called from any thread: an older version never replaces a newer one.
        """
        with self.lock:
            if sequence < self.newest_sequence:
                return None
            self.newest_sequence = sequence
            try:
                self.replace_file(data)
            except OSError as error:
                return error
            return None

    def replace_file(self, data: bytes) -> None:
        """Replace the file, unless it holds the same.

        Raises:
            OSError: It could not be written.
        """
        if data == self.last_written:
            return
        self.last_written = b""
        new_path = self.path.with_suffix(".new")
        fd = self.files.open(new_path, anew=True)
        try:
            write_all(self.files, fd, data, 0)
            if self.synced:
                self.files.sync(fd)
        finally:
            self.files.close(fd)
        self.files.replace(new_path, self.path)
        if self.synced:
            self.files.sync_directory(self.folder)
        self.last_written = data


def decompress(data: bytes) -> bytes:
    """Return the JSON of a file, which may be compressed.

    Raises:
        zlib.error: It neither begins as an object nor can be decompressed.
    """
    return data if data.startswith(b"{") else zlib.decompress(data)
