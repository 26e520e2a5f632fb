"""What a member keeps for its successor, in `fleet.json` of the state folder: its
token, and each purse.

Bounded by the budgets; written beside and renamed, so that a crash leaves the old or
the new one. The folder may hold 3 MB in all, so the records of many budgets are
compressed.
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
COMPRESSION_THRESHOLD_BYTES = 64 * 1024  # what is longer is compressed
COMPRESSION_LEVEL = 1  # zlib's fastest
CLOCK_KEYS = ("closed_us", "known_us", "spent")
"""What of a purse's record means nothing by the clock of another boot."""
QuotaRecords = dict[int, dict[str, Any]]
log = logging.getLogger("rainfall.fleet")


class StateFile:
    """`synced`: what is written outlasts the machine, too."""

    def __init__(
        self, folder: Path, synced: bool, files: FileSystem | None = None
    ) -> None:
        self.folder, self.path, self.synced = folder, folder / FILE_NAME, synced
        self.files = files or LocalFileSystem()
        self.last_written = b""
        self.lock = threading.Lock()
        self.last_sequence = self.newest_sequence = 0

    def read(self) -> tuple[Token, QuotaRecords]:
        """The token of the process before and its purses' records, by destination.

        A file that cannot be read counts as none: its process's lease runs out first,
        and a purse without a record waits a window.
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
        """What `write` takes, as of now."""
        self.last_sequence += 1
        text = json.dumps(
            {
                "form": FORMAT_VERSION,
                "boot": this_boot(),
                "token": token.to_wire(),
                "purses": {
                    str(name): record for name, record in sorted(records.items())
                },
            },
            separators=(",", ":"),
        ).encode()
        return self.last_sequence, text if len(
            text
        ) <= COMPRESSION_THRESHOLD_BYTES else zlib.compress(text, COMPRESSION_LEVEL)

    def write(self, sequence: int, data: bytes) -> OSError | None:
        """Returns once it is on disk, as the level promises, or why it is not; the file
        before stays then. From any thread: an older one never takes a newer one's
        place.
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
    """A file's JSON.

    Raises zlib.error where it neither begins as an object nor can be unpacked.
    """
    return data if data.startswith(b"{") else zlib.decompress(data)
