"""Settings of one node, read from a TOML file and command-line flags, and validated."""

import ipaddress
import pathlib
import tomllib
from typing import Annotated, TypeVar

import msgspec

PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class SettingsError(Exception):
    """Raised for an invalid settings file or flag; the message has the file, key and reason."""


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets around an IPv6 host."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``.

        :raises ValueError: if the host is not an IP address or the port is out of range.
        """
        host, separator, port_text = text.rpartition(":")
        if not separator:
            raise ValueError(f"{text!r} is not IP:PORT")
        host = host.strip("[]")
        ipaddress.ip_address(host)
        if not port_text.isdigit() or not 0 < int(port_text) < 65536:
            raise ValueError(f"{text!r} has no port from 1 to 65535")
        return cls(host, int(port_text))


class NodeSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Name, location and addresses of this node.

    :ivar callers: address of the caller API.
    :ivar operators: address of the operator API.
    :ivar peers: address that listens for other nodes.
    :ivar advertised: address at which other nodes reach ``peers``; empty if it is the same.
    :ivar seeds: addresses of nodes that this node contacts first.
    """

    name: NonEmptyText
    zone: NonEmptyText
    callers: str
    operators: str
    peers: str
    region: NonEmptyText = "default"
    advertised: str = ""
    seeds: tuple[str, ...] = ()


class PlatformSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses of the key-value service and the machine list."""

    key_value: str
    machine_list: str


class LimitsSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on the requests of one node, and its timeouts."""

    max_body_bytes: PositiveInt = 4 * 1024 * 1024
    max_header_bytes: PositiveInt = 32 * 1024
    caller_threads: PositiveInt = 256
    max_waiting_requests: PositiveInt = 128
    caller_timeout_seconds: PositiveFloat = 10.0
    engine_connect_seconds: PositiveFloat = 1.0
    engine_stall_seconds: PositiveFloat = 2.0
    home_answer_seconds: PositiveFloat = 0.05
    key_value_timeout_seconds: PositiveFloat = 1.0
    stop_deadline_seconds: PositiveFloat = 120.0


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All settings of one node."""

    node: NodeSection
    platform: PlatformSection
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)


_ADDRESS_KEYS = (
    ("node", "callers"),
    ("node", "operators"),
    ("node", "peers"),
    ("platform", "key_value"),
    ("platform", "machine_list"),
)


def load_settings(path: str, overrides: dict[str, object] | None = None) -> Settings:
    """Read and validate a node's settings file.

    :param path: a TOML file.
    :param overrides: values by dotted key, such as ``node.zone``, that replace the file's.
    :raises SettingsError: if the file cannot be read or a value is invalid.
    """
    settings = read_settings(path, Settings, overrides)
    _check_addresses(path, settings)
    return settings


def read_settings(
    path: str, kind: type[SettingsT], overrides: dict[str, object] | None = None
) -> SettingsT:
    """Read a TOML file as one type of settings, without checks beyond those of the type.

    :param kind: the settings type.
    :param overrides: values by dotted key, such as ``node.zone``, that replace the file's.
    :raises SettingsError: if the file cannot be read or a value is invalid.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not TOML: {error}") from error
    for dotted_key, value in (overrides or {}).items():
        _override(document, dotted_key, value)
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {_key_and_reason(error)}") from error


def _override(document: dict, dotted_key: str, value: object) -> None:
    section, _, key = dotted_key.partition(".")
    if not key or not isinstance(document.setdefault(section, {}), dict):
        raise SettingsError(f"flag --{dotted_key}: not a settings key of the form section.key")
    document[section][key] = value


def _key_and_reason(error: msgspec.ValidationError) -> str:
    """Return the dotted key that failed validation, and the reason."""
    reason, _, path = str(error).partition(" - at ")
    key = path.strip("`$.") or "(top level)"
    return f"{key}: {reason}"


def _check_addresses(path: str, settings: Settings) -> None:
    for section, key in _ADDRESS_KEYS:
        check_address(path, f"{section}.{key}", getattr(getattr(settings, section), key))
    if settings.node.advertised:
        check_address(path, "node.advertised", settings.node.advertised)
    for position, seed in enumerate(settings.node.seeds):
        check_address(path, f"node.seeds[{position}]", seed)


def check_address(path: str, key: str, text: str) -> None:
    """Check that a setting is an ``IP:PORT`` address.

    :raises SettingsError: if it is not.
    """
    try:
        Address.parse(text)
    except ValueError as error:
        raise SettingsError(f"{path}: {key}: {error}") from error
