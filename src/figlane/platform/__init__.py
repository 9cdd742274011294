"""Adapter for the users' platform: its header names, formats and APIs."""
