"""Paths of the repository."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
"""The repository's root folder."""
