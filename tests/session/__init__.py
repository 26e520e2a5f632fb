"""Tests of session migration."""
