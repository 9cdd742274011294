"""Tests of the platform adapter against stand-ins of the platform."""
