"""Types of declared objects and the validation of single declarations."""

import enum
import re
from typing import Annotated

import msgspec

from wheelslip.routing.model import ServiceClass

NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$"
_KEY_HASH_PATTERN = r"^sha256:[0-9a-f]{64}$"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
KeyHash = Annotated[str, msgspec.Meta(pattern=_KEY_HASH_PATTERN)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]


class Kind(enum.StrEnum):
    """Kinds of declaration."""

    TENANT = "Tenant"
    POOL = "Pool"
    MODEL = "Model"
    WORKLOAD = "Workload"
    POLICY = "Policy"
    DRAIN = "Drain"


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True):
    """Base class of declared types; rejects unknown fields."""


class TenantLimits(StrictStruct):
    """Limits of a tenant across all nodes; ``None`` means unlimited.

    ``requests_per_second`` and ``tokens_per_second`` are average rates; the burst is the rate
    times ``burst_seconds``. Tokens include prompt and output tokens.
    """

    requests_per_second: PositiveFloat | None = None
    tokens_per_second: PositiveFloat | None = None
    concurrent_streams: PositiveInt | None = None
    burst_seconds: PositiveFloat = 2.0


class TenantSpec(StrictStruct):
    """A tenant: hashes of its bearer keys, its fair-share weight and its limits."""

    key_hashes: tuple[KeyHash, ...]
    weight: PositiveFloat = 1.0
    limits: TenantLimits = msgspec.field(default_factory=TenantLimits)


class PoolSpec(StrictStruct):
    """A pool of interchangeable engines.

    :param loads_at_once: maximum number of engines that load weights at the same time.
    """

    loads_at_once: PositiveInt = 2


class ModelSpec(StrictStruct):
    """A model, the pool that serves it and its desired weights version."""

    pool: Name
    version: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    adapters: tuple[Name, ...] = ()
    replicas: PositiveInt = 1


class WorkloadSpec(StrictStruct):
    """A class of requests, selected by the ``model`` field of a request.

    :param service_class: named ``class`` in declarations.
    :param deadline_seconds: default time limit for the first token.
    :param repeatable: whether a request may be executed more than once.
    """

    model: Name
    service_class: ServiceClass = msgspec.field(name="class")
    deadline_seconds: PositiveFloat
    repeatable: bool = True
    max_output_tokens: PositiveInt = 4096


class PolicyCase(StrictStruct):
    """A test case of a policy: overrides of the sample facts and the expected fields."""

    name: str
    expect: dict[str, object]
    request: dict[str, object] = {}
    tenant: dict[str, object] = {}
    system: dict[str, object] = {}


class PolicySpec(StrictStruct):
    """A Starlark policy program and its workloads; an empty tuple selects all workloads."""

    program: Annotated[str, msgspec.Meta(min_length=1, max_length=16384)]
    workloads: tuple[Name, ...] = ()
    cases: tuple[PolicyCase, ...] = ()


class DrainSpec(StrictStruct):
    """Drains the engine with the name of the declaration: it receives no new requests."""

    reason: str = ""


SPEC_TYPES: dict[Kind, type[StrictStruct]] = {
    Kind.TENANT: TenantSpec,
    Kind.POOL: PoolSpec,
    Kind.MODEL: ModelSpec,
    Kind.WORKLOAD: WorkloadSpec,
    Kind.POLICY: PolicySpec,
    Kind.DRAIN: DrainSpec,
}


class Metadata(StrictStruct):
    """Metadata of a declaration; the name is unique within the kind."""

    name: Name


class Declaration(StrictStruct):
    """A declaration whose spec is not yet validated."""

    kind: Kind
    metadata: Metadata
    spec: dict[str, object] = {}

    @property
    def key(self) -> "ObjectKey":
        """Kind and name of the declared object."""
        return ObjectKey(self.kind, self.metadata.name)


class ObjectKey(msgspec.Struct, frozen=True, order=True):
    """Key of a declared object; its text form is ``Kind/name``."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        """Return ``Kind/name``."""
        return f"{self.kind.value}/{self.name}"

    @classmethod
    def parse(cls, text: str) -> "ObjectKey":
        """Parse ``Kind/name``.

        :raises ValueError: when the kind is unknown or the name is malformed.
        """
        kind, _, name = text.partition("/")
        if not re.match(NAME_PATTERN, name):
            raise ValueError(f"{text!r} is not Kind/name")
        return cls(Kind(kind), name)


class DeclarationProblem(msgspec.Struct, frozen=True):
    """A validation error.

    :param place: object key, or file and document, that the error is in.
    :param path: path of the field within the document.
    """

    place: str
    path: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.place}: {self.path}: {self.reason}"


def check_spec(kind: Kind, spec: dict[str, object]) -> StrictStruct:
    """Return the typed spec of one declaration.

    :raises msgspec.ValidationError: when the spec does not match its type.
    """
    return msgspec.convert(spec, SPEC_TYPES[kind])


def problem_from_error(
    place: str, error: msgspec.ValidationError, prefix: str = ""
) -> DeclarationProblem:
    """Convert a validation error; the path of the field is taken from its message."""
    reason, _, path = str(error).partition(" - at ")
    inner = path.strip("`").removeprefix("$").lstrip(".")
    full = ".".join(part for part in (prefix, inner) if part)
    return DeclarationProblem(place, full or "(document)", reason)
