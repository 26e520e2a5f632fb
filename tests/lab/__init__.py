"""Tests of the fleet lab."""
