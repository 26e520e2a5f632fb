"""Growth of the list service with its members, by counted work: no clock is read for a verdict."""

from __future__ import annotations

import asyncio
import resource
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PATIENCE_S = 20.0


async def service_process(folder: Path, descriptors: int) -> tuple[asyncio.subprocess.Process, int]:
    """A list service with a hard limit of descriptors, and the port of its fleet address."""
    address = "127.0.0.1:0"
    words = ["--state", folder / "state", "--listen", address, "--write", address, "--fleet", address,
             "--new", "--ports", folder / "ports"]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lemonshunt.registry", *map(str, words), cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)))
    async with asyncio.timeout(PATIENCE_S):
        while not (folder / "ports").exists() or not (folder / "ports").read_text():
            await asyncio.sleep(0.02)
    return process, int((folder / "ports").read_text().split()[2])


@pytest.mark.parametrize("descriptors", [96])
def test_with_few_descriptors_whoever_finds_no_place_is_answered(tmp_path: Path, descriptors: int) -> None:
    async def run() -> list[bytes]:
        process, port = await service_process(tmp_path, descriptors)
        try:
            async with asyncio.timeout(PATIENCE_S):
                links = [await asyncio.open_connection("127.0.0.1", port) for _ in range(descriptors)]
                for _, writer in links:
                    writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return [await reader.readline() for reader, _ in links]
        finally:
            process.kill()
            await process.wait()

    told = [line.split()[1] for line in asyncio.run(run())]
    assert set(told) == {b"200", b"503"}
    assert told.count(b"503") < descriptors // 2
