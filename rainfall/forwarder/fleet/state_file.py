"""The state file `fleet.json`: a member's fencing token and quotas for its successor.

The successor is the next process of the same forwarder, after a restart or a handover.
The file's size is bounded by the number of budgets. Each version is written to another
file, which is then renamed, so a crash leaves either the old or the new version. The
state directory may hold 3 MB in all, so the records of many budgets are compressed.
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
"""The `form` of the document."""
MAX_FILE_BYTES = 16 << 20
"""A larger file is not read."""
COMPRESSION_THRESHOLD_BYTES = 64 * 1024
"""A longer document is compressed."""
COMPRESSION_LEVEL = 1
"""zlib's fastest level."""
CLOCK_KEYS = ("closed_us", "known_us", "spent")
"""Keys of a quota's record whose times are invalid after a reboot: the clock restarts."""
QuotaRecords = dict[int, dict[str, Any]]
"""Records of quotas by destination, from `MemberQuota.to_record` or `close`."""
log = logging.getLogger("rainfall.fleet")


class StateFile:
    """Reads and writes the state file; an older version never replaces a newer one."""

    def __init__(
        self, folder: Path, synced: bool, files: FileSystem | None = None
    ) -> None:
        """Set the file's path; nothing is read or written yet.

        Args:
            folder: The state directory.
            synced: Whether each version is synced to disk, to survive a power failure.
            files: The file system; by default that of the machine.
        """
        self.folder = folder
        self.path = folder / FILE_NAME
        self.synced = synced
        self.files = files or LocalFileSystem()
        self.last_written = b""
        """The file's content, if this process wrote it."""
        self.lock = threading.Lock()
        self.last_sequence = 0
        """Sequence number of the last version that was encoded."""
        self.newest_sequence = 0
        """Sequence number of the newest version that was passed to `write`."""

    def read(self) -> tuple[Token, QuotaRecords]:
        """Return the previous process's token, and the records of its quotas.

        A missing file and one that cannot be read both give ZERO_TOKEN and no records.
        That is safe: without its token the service grants the name only once the
        previous process's lease has expired, and a quota without a record sends nothing
        for a whole window.
        """
        try:
            if self.files.size(self.path) > MAX_FILE_BYTES:
                raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
            document = json.loads(decompress(self.files.read(self.path)))
            if document["form"] != FORMAT_VERSION:
                raise ValueError(f"unknown format version {document['form']!r}")
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
            log.warning("cannot read %s, treated as missing: %r", self.path, error)
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
        """Return the arguments of `write`: a sequence number, and the file's content."""
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
        """Write a version; may be called from any thread.

        A version older than one passed before is skipped.

        Returns:
            The error if the write failed, which leaves the previous version in place;
            None otherwise.
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
        """Replace the file atomically, unless it has the same content already.

        Raises:
            OSError: The file cannot be written.
        """
        if data == self.last_written:
            return
        self.last_written = b""
        new_path = self.path.with_suffix(".new")
        fd = self.files.open(new_path, truncate=True)
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
    """Return a file's content as JSON; it may be compressed or plain.

    Raises:
        zlib.error: The content neither begins with `{` nor can be decompressed.
    """
    return data if data.startswith(b"{") else zlib.decompress(data)
