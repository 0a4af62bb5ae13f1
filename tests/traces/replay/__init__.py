"""Tests of replays of compiled schedules."""
