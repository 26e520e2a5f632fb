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

from rainfall.journal.files import Files, SystemFiles, write_all
from rainfall.journal.recovery import this_boot
from rainfall.lease.token import NEVER, Token

NAME = "fleet.json"
FORM = 1
MOST_BYTES = 16 << 20
PLAIN_BYTES = 64 * 1024  # what is longer is compressed
COMPRESSION = 1  # zlib's fastest
OF_A_CLOCK = ("closed_us", "known_us", "spent")
"""What of a purse's record means nothing by the clock of another boot."""
Records = dict[int, dict[str, Any]]
log = logging.getLogger("rainfall.fleet")


class Keep:
    """`synced`: what is written outlasts the machine, too."""

    def __init__(self, folder: Path, synced: bool, files: Files | None = None) -> None:
        self.folder, self.path, self.synced = folder, folder / NAME, synced
        self.files = files or SystemFiles()
        self.written = b""
        self.lock = threading.Lock()
        self.number = self.newest = 0

    def read(self) -> tuple[Token, Records]:
        """The token of the process before and its purses' records, by destination. A
        file that cannot be read counts as none: its process's lease runs out first, and
        a purse without a record waits a window.
        """
        try:
            if self.files.size(self.path) > MOST_BYTES:
                raise ValueError("too large")
            told = json.loads(plain(self.files.read(self.path)))
            if told["form"] != FORM:
                raise ValueError(f"form {told['form']!r} is not known")
            token = Token.of(told["token"])
            records = {
                int(name): dict(record) for name, record in told["purses"].items()
            }
        except FileNotFoundError:
            return NEVER, {}
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
            return NEVER, {}
        if not this_boot() or told.get("boot") != this_boot():
            records = {
                name: {
                    key: value for key, value in record.items() if key not in OF_A_CLOCK
                }
                for name, record in records.items()
            }
        return token, records

    def made(self, token: Token, records: Records) -> tuple[int, bytes]:
        """What `write` takes, as of now."""
        self.number += 1
        text = json.dumps(
            {
                "form": FORM,
                "boot": this_boot(),
                "token": token.told(),
                "purses": {
                    str(name): record for name, record in sorted(records.items())
                },
            },
            separators=(",", ":"),
        ).encode()
        return self.number, text if len(text) <= PLAIN_BYTES else zlib.compress(
            text, COMPRESSION
        )

    def write(self, number: int, data: bytes) -> OSError | None:
        """Returns once it is on disk, as the level promises, or why it is not; the file
        before stays then. From any thread: an older one never takes a newer one's
        place.
        """
        with self.lock:
            if number < self.newest:
                return None
            self.newest = number
            try:
                self.put(data)
            except OSError as error:
                return error
            return None

    def put(self, data: bytes) -> None:
        if data == self.written:
            return
        self.written = b""
        beside = self.path.with_suffix(".new")
        fd = self.files.open(beside, anew=True)
        try:
            write_all(self.files, fd, data, 0)
            if self.synced:
                self.files.sync(fd)
        finally:
            self.files.close(fd)
        self.files.replace(beside, self.path)
        if self.synced:
            self.files.sync_folder(self.folder)
        self.written = data


def plain(data: bytes) -> bytes:
    """A file's JSON. Raises zlib.error where it neither begins as an object nor can be
    unpacked.
    """
    return data if data.startswith(b"{") else zlib.decompress(data)
