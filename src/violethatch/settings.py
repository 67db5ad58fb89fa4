# SPDX-License-Identifier: MIT
"""An instance's settings: an INI file, validated field by field.

Each section is a `NamedTuple`; the field's name is the key in the file and
its annotation says what is valid.  ``docs/settings.md`` lists them all and is
held against this module by a test.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import configparser
import pathlib

from typing import Annotated, Any, NamedTuple, Protocol, TypeVar, get_type_hints

import msgspec

from .errors import SettingsError


_Sections = TypeVar("_Sections", bound=tuple[Any, ...])

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Secret = Annotated[str, msgspec.Meta(min_length=16)]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/]+(/.*)?$")]


class InstanceSection(NamedTuple):
    """Who this instance is."""

    id: Name
    availability_zone: Name
    region: Name = "default"


class ListenSection(NamedTuple):
    """Where the instance listens, by IP number; port 0 takes a free one."""

    address: str = "127.0.0.1"
    callers_port: Port = 0
    operators_port: Port = 0
    peers_port: Port = 0
    certificate_file: str = ""
    certificate_key_file: str = ""


class KeysSection(NamedTuple):
    """Secrets of operators and of peers."""

    operators_key: Secret
    peers_key: Secret


class PlatformSection(NamedTuple):
    """The platform's services."""

    table_url: Url
    objects_url: Url
    instances_url: Url
    timeout_s: Positive = 2.0


class LimitsSection(NamedTuple):
    """Bounds on what one instance takes on."""

    requests: PositiveInt = 2000
    connections: PositiveInt = 4096
    body_bytes: PositiveInt = 1_048_576
    retain_bytes: PositiveInt = 33_554_432
    drain_grace_s: Positive = 1.0
    drain_limit_s: Positive = 120.0


class PolicySection(NamedTuple):
    """Constants of the decisions."""

    route_policy: str = "marginal_cost"
    recovery: str = "in_place"
    remote_runners: PositiveInt = 32
    stall_floor_s: Positive = 0.25
    stall_initial_s: Positive = 2.0
    recovery_wait_s: Positive = 2.0
    heartbeat_interval_s: Positive = 0.5
    heartbeat_misses: PositiveInt = 4
    poll_interval_s: Positive = 1.0
    table_write_interval_s: Positive = 0.1
    lease_duration_s: Positive = 6.0
    lease_margin_s: Positive = 2.0
    request_deadline_s: Positive = 120.0
    outcome_wait_s: Positive = 10.0


class Settings(NamedTuple):
    """All sections of a settings file.

    .. versionadded:: 26.1.0
    """

    instance: InstanceSection
    listen: ListenSection
    keys: KeysSection
    platform: PlatformSection
    limits: LimitsSection
    policy: PolicySection


ROUTE_POLICIES = ("marginal_cost", "own_only", "random", "round_robin", "least_own")
RECOVERIES = ("in_place", "new_route", "restart")


def load_settings(path: str | pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        SettingsError: Names the file, the section and the key.

    .. versionadded:: 26.1.0
    """
    return parse_settings(read_settings_text(path), name=str(path))


def read_settings_text(path: str | pathlib.Path) -> str:
    """Read a settings file's text.

    Raises:
        SettingsError: Names the file and what is wrong with it.

    .. versionadded:: 26.1.0
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        msg = f"{path}: can't be read: {error}"
        raise SettingsError(msg) from error


def parse_settings(text: str, *, name: str = "<settings>") -> Settings:
    """Validate the text of a settings file.

    Args:
        text: INI text.
        name: What errors call the file.

    Raises:
        SettingsError: Names the file, the section and the key.

    .. versionadded:: 26.1.0
    """
    settings = parse_sections(text, Settings, name=name)
    _check_together(settings, name=name)
    return settings


def parse_sections(text: str, kind: type[_Sections], *, name: str) -> _Sections:
    """Validate INI text into a `NamedTuple` of sections.

    Args:
        text: INI text.
        kind: The `NamedTuple` whose fields are sections.
        name: What errors call the file.

    Raises:
        SettingsError: Names the file, the section and the key.

    .. versionadded:: 26.1.0
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        msg = f"{name}: {error.message}"
        raise SettingsError(msg) from error
    kinds = get_type_hints(kind)
    unknown = sorted(set(parser.sections()) - set(kinds))
    if unknown:
        msg = f"{name}: unknown section [{unknown[0]}]"
        raise SettingsError(msg)
    return kind(
        *(_section(parser, section, each, name=name) for section, each in kinds.items())
    )


def _section(
    parser: configparser.ConfigParser, section: str, kind: Any, *, name: str
) -> Any:
    """Validate one section into its `NamedTuple`."""
    given = dict(parser[section]) if parser.has_section(section) else {}
    hints = get_type_hints(kind, include_extras=True)
    unknown = sorted(set(given) - set(hints))
    if unknown:
        msg = f"{name}: [{section}] {unknown[0]}: unknown key"
        raise SettingsError(msg)
    values = {}
    for key, hint in hints.items():
        if key in given:
            values[key] = _value(given[key], hint, where=f"{name}: [{section}] {key}")
        elif key not in kind._field_defaults:
            msg = f"{name}: [{section}] {key}: missing"
            raise SettingsError(msg)
    return kind(**values)


def _value(text: str, hint: Any, *, where: str) -> Any:
    """Convert one value, with an error that names its place.

    The text itself is not repeated: it may be a secret.
    """
    try:
        return msgspec.convert(text, hint, strict=False)
    except msgspec.ValidationError as error:
        msg = f"{where}: {error}"
        raise SettingsError(msg) from error


class LeaseTimes(Protocol):
    """A section with a lease's times."""

    @property
    def lease_duration_s(self) -> float:
        """How long a lease lasts."""

    @property
    def lease_margin_s(self) -> float:
        """How much earlier its holder stops."""


def check_lease_times(policy: LeaseTimes, *, name: str) -> None:
    """Check that a lease's holder stops after it begins.

    Args:
        policy: The section with the times.
        name: What errors call the file.

    Raises:
        SettingsError: The margin leaves nothing of the duration.

    .. versionadded:: 26.1.0
    """
    if policy.lease_margin_s >= policy.lease_duration_s:
        msg = f"{name}: [policy] lease_margin_s: must be below lease_duration_s"
        raise SettingsError(msg)


def _check_together(settings: Settings, *, name: str) -> None:
    """Check what no single field can tell."""
    policy = settings.policy
    if policy.route_policy not in ROUTE_POLICIES:
        msg = f"{name}: [policy] route_policy: not one of {', '.join(ROUTE_POLICIES)}"
        raise SettingsError(msg)
    if policy.recovery not in RECOVERIES:
        msg = f"{name}: [policy] recovery: not one of {', '.join(RECOVERIES)}"
        raise SettingsError(msg)
    check_lease_times(policy, name=name)
    listen = settings.listen
    if bool(listen.certificate_file) != bool(listen.certificate_key_file):
        msg = f"{name}: [listen] certificate_file: needs certificate_key_file with it"
        raise SettingsError(msg)
