"""Tests of the list service."""
