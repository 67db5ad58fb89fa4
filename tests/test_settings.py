# SPDX-License-Identifier: MIT
"""Settings: each error names its place, and repeats no secret."""

from __future__ import annotations

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from violethatch.errors import SettingsError
from violethatch.settings import load_settings, parse_settings


GOOD = """
[instance]
id = e1
availability_zone = z1
[keys]
operators_key = 0123456789abcdef
peers_key = fedcba9876543210
[platform]
table_url = http://127.0.0.1:1/table
objects_url = http://127.0.0.1:1/objects
instances_url = http://127.0.0.1:1/instances
"""


class TestParseSettings:
    def test_defaults(self):
        """What is not given has the documented default."""
        parsed = parse_settings(GOOD)
        assert parsed.instance.id == "e1"
        assert parsed.policy.route_policy == "marginal_cost"

    @pytest.mark.parametrize(
        ("old", "new", "place"),
        [
            ("id = e1", "id = E 1", "f.ini: [instance] id:"),
            ("id = e1\n", "", "f.ini: [instance] id: missing"),
            ("[keys]", "[keyes]", "f.ini: unknown section [keyes]"),
            ("[keys]", "[policy]\npool = 1\n[keys]", "f.ini: [policy] pool: unknown"),
            ("[keys]", "[limits]\nrequests = 0\n[keys]", "f.ini: [limits] requests:"),
            ("[keys]", "[listen]\ncallers_port = x\n[keys]", "[listen] callers_port:"),
            ("[keys]", "[policy]\nrecovery = no\n[keys]", "[policy] recovery: not one"),
            (
                "[keys]",
                "[policy]\nlease_margin_s = 6\n[keys]",
                "[policy] lease_margin_s: must be below",
            ),
            (
                "[keys]",
                "[listen]\ncertificate_file = c\n[keys]",
                "[listen] certificate_file: needs",
            ),
            ("http://127.0.0.1:1/table", "ftp://x", "[platform] table_url:"),
            ("[instance]", "id = 1", "f.ini"),
        ],
    )
    def test_error_names_its_place(self, old, new, place):
        """File, section and key are in the message, under code 1601."""
        with pytest.raises(SettingsError) as caught:
            parse_settings(GOOD.replace(old, new), name="f.ini")
        assert place in caught.value.detail
        assert caught.value.code == 1601

    def test_secret_is_not_repeated(self):
        """A bad key's text does not reach the message."""
        with pytest.raises(SettingsError) as caught:
            parse_settings(GOOD.replace("0123456789abcdef", "hunter2"))
        assert "hunter2" not in caught.value.detail

    def test_missing_file(self, tmp_path):
        """A file that is not there is a coded error."""
        with pytest.raises(SettingsError, match="can't be read"):
            load_settings(tmp_path / "none.ini")

    @given(text=st.text(max_size=300))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_text(self, text):
        """Whatever the text, it is either valid or a coded error."""
        with pytest.raises(SettingsError):
            parse_settings(text)
