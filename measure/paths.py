"""Paths in the repository that the measurements use."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
"""The root of the repository."""
