"""Ports that tests give to the processes they start."""

import pytest

from tests.fakes import free_ports

RUN_NUMBER = 59


@pytest.fixture
def start_run():
    ranges = []

    def start():
        ranges.append(free_ports.PortRange(RUN_NUMBER))
        return ranges[-1]

    yield start
    for each in ranges:
        each.close()


def test_no_port_is_drawn_twice_in_a_row_of_draws(start_run):
    ports = start_run()
    drawn = [ports.choose_port() for _ in range(150)]
    assert len(set(drawn)) == 150


def test_concurrent_runs_draw_other_ports(start_run):
    runs = [start_run() for _ in range(3)]
    drawn = [run.choose_port() for run in runs for _ in range(150)]
    assert len(set(drawn)) == 450
