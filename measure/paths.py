"""Where the repository's files are."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
"""The root of the repository."""
