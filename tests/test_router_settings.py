# SPDX-License-Identifier: MIT
"""The router's settings file."""

from __future__ import annotations

import pathlib
import re

import pytest

from violethatch.errors import SettingsError
from violethatch.router_settings import load_router_settings, parse_router_settings


ROOT = pathlib.Path(__file__).parent.parent
#: What the platform fills into the template's gaps, as its pages show it.
FIELDS = {
    "Node": "edge-heredia-1",
    "Zone": "heredia",
    "Region": "valle-central",
    "Listen.Front": "10.1.0.40:8227",
    "Listen.Ready": "10.1.0.40:8220",
    "Ip": "10.1.0.40",
    "InternalPorts.0": "7340",
    "InternalPorts.1": "7355",
    "Platform.Address": "10.200.1.7:8223",
    "Bounds.RevokeMs": "5000",
    "Bounds.GraceS": "8",
    "Bounds.stall_ms": "3000",
    "Bounds.DrainMs": "2000",
    "Bounds.ConfigApplyMs": "2000",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.RetrySlack": "200",
    "Limits.MemoryMb": "300",
    "Limits.MaxFds": "4100",
    "Limits.LinkMbps": "1000.0",
    "Limits.CpuShare": "1.0",
}


def filled(*, root=ROOT, **changes):
    """Return the template that is deployed from *root* with its gaps filled."""
    text = (root / "deploy" / "router.ini").read_text()
    fields = FIELDS | changes
    return re.sub(r"\{\{(.*?)\}\}", lambda gap: fields[gap[1]], text)


def filled_here(ports, changes, *, store, host="127.0.0.1", root=ROOT):
    """Return the template filled for an instance on this machine.

    Args:
        ports: For callers, readiness, metrics and other instances.
        changes: What else it is filled with.
        store: The platform's address.
        host: The instance's address.
        root: The folder that it is deployed from.
    """
    front, ready, metrics, peers = ports
    addresses = {
        "Listen.Front": f"{host}:{front}",
        "Listen.Ready": f"{host}:{ready}",
        "Ip": host,
        "InternalPorts.0": str(metrics),
        "InternalPorts.1": str(peers),
        "Platform.Address": store,
    }
    return filled(root=root, **(addresses | changes))


class TestRouterSettings:
    def test_template_is_valid(self):
        """What the platform fills in is a valid settings file."""
        settings = parse_router_settings(filled())
        assert settings.instance.id == "edge-heredia-1"
        assert settings.listen.metrics_port == 7340
        assert settings.proof_limit_s == pytest.approx(4.25)

    @pytest.mark.parametrize(
        ("changes", "message"),
        [
            ({"Listen.Front": "heredia:80"}, r"\[listen\] callers"),
            ({"Bounds.RevokeMs": "-1"}, r"\[bounds\] key_removal_ms"),
            ({"Bounds.RetryBudgetRatio": "7"}, r"\[bounds\] retry_ratio"),
            ({"Bounds.RevokeMs": "1000"}, r"\[store\] change_wait_s"),
        ],
    )
    def test_error_names_the_place(self, changes, message):
        """A bad value is told with its section and key."""
        with pytest.raises(SettingsError, match=message):
            parse_router_settings(filled(**changes))

    def test_requests_within_the_descriptors(self):
        """No more requests are taken than there are descriptors for."""
        settings = parse_router_settings(filled(**{"Limits.MaxFds": "500"}))
        assert settings.limits.most_requests == 100

    def test_lease_margin_below_duration(self):
        """A lease that ends before it begins is refused."""
        text = filled() + "\n[policy]\nlease_margin_s = 9\n"
        with pytest.raises(SettingsError, match="lease_margin_s"):
            parse_router_settings(text)

    @pytest.mark.parametrize(
        "line",
        [
            "mode = most",
            "queue_requests = 0",
            "workspace_floor_part = 1.1",
            "workspace_weights = a",
            "workspace_weights = a=x",
            "workspace_weights = a=-1",
            "workspace_weights = a=nan",
            "workspace_weights = =1",
            "workspace_weights = a=0, b=0",
        ],
    )
    def test_bad_admission_names_the_place(self, line):
        """Shares that nobody could be given are refused before they are in force."""
        key = line.partition(" ")[0]
        with pytest.raises(SettingsError, match=rf"\[admission\] {key}"):
            parse_router_settings(filled() + f"\n[admission]\n{line}\n")

    def test_weights_are_read_by_workspace(self):
        text = filled() + "\n[admission]\nworkspace_weights = a=2, b = 0.5\n"
        admission = parse_router_settings(text).admission
        assert admission.weights == {"a": 2.0, "b": 0.5}

    def test_missing_file(self, tmp_path):
        """The file that can't be read is named."""
        with pytest.raises(SettingsError, match=r"none\.ini"):
            load_router_settings(tmp_path / "none.ini")
