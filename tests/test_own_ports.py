# SPDX-License-Identifier: MIT
"""Ports of several test processes on one machine."""

from __future__ import annotations

import subprocess
import sys

from pathlib import Path

import own_ports


def test_two_processes_choose_the_same_ports():
    """Whole runs of the tests at one time took each other's ports."""
    code = "import own_ports; print(*own_ports.free_ports(3))"
    printed = subprocess.run(
        [sys.executable, "-c", code],
        cwd=Path(__file__).parent,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    theirs = {int(port) for port in printed.split()}
    assert len(theirs) == 3
    assert theirs.isdisjoint(own_ports._ports)


def test_block_is_free_again_when_its_process_ends():
    """A claim that outlived its process would leave no blocks after some runs."""
    first_port = own_ports.END_PORT
    end_port = first_port + own_ports.BLOCK_PORTS
    claim, ports = own_ports.claimed_block(first_port=first_port, end_port=end_port)
    claim.close()
    claim, again = own_ports.claimed_block(first_port=first_port, end_port=end_port)
    claim.close()
    assert ports == again
