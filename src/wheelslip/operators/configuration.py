"""Immutable configuration values, and validation across declared objects."""

from collections.abc import Iterable, Mapping
from functools import cached_property

import msgspec

from wheelslip.operators.declarations import (
    DeclarationProblem,
    Kind,
    ModelSpec,
    ObjectKey,
    PolicySpec,
    PoolSpec,
    StrictStruct,
    TenantSpec,
    WorkloadSpec,
    check_spec,
    problem_from_error,
)
from wheelslip.operators.policy import PolicyError, check_policy

NO_REVISION = 0
"""Revision of the empty state, before the first accepted change."""


class ConfigurationChange(msgspec.Struct, frozen=True):
    """One accepted change.

    :param previous: revision that the change is based on.
    :param revision: revision that the key-value service assigned to the change.
    :param change_id: idempotency key set by the client.
    :param objects: maps object keys to specs as JSON, or to ``None`` for deleted objects.
    """

    previous: int
    revision: int
    change_id: str
    objects: dict[str, str | None]


class ConfigurationState(msgspec.Struct, frozen=True):
    """All declared objects at one revision, with their specs as JSON."""

    revision: int = NO_REVISION
    change_id: str = ""
    objects: dict[str, str] = {}

    def apply(self, change: ConfigurationChange) -> "ConfigurationState":
        """Return the state after ``change``, which must be based on this revision."""
        objects = dict(self.objects)
        for key, spec in change.objects.items():
            if spec is None:
                objects.pop(key, None)
            else:
                objects[key] = spec
        return ConfigurationState(change.revision, change.change_id, objects)


class Tenant(msgspec.Struct, frozen=True):
    """A tenant and its declared spec."""

    name: str
    spec: TenantSpec


class Workload(msgspec.Struct, frozen=True):
    """A workload and its declared spec."""

    name: str
    spec: WorkloadSpec


class Configuration:
    """Immutable view of one state with typed lookups.

    Every revision has its own instance.
    """

    def __init__(self, state: ConfigurationState):
        self.state = state
        self._specs = typed_specs(state.objects)

    @property
    def revision(self) -> int:
        """Revision of the state."""
        return self.state.revision

    @cached_property
    def _tenants_by_hash(self) -> Mapping[str, Tenant]:
        return {
            key_hash: Tenant(key.name, spec)
            for key, spec in self._of_kind(Kind.TENANT)
            for key_hash in spec.key_hashes
        }

    @cached_property
    def workloads(self) -> Mapping[str, Workload]:
        """Workloads by name."""
        return {key.name: Workload(key.name, spec) for key, spec in self._of_kind(Kind.WORKLOAD)}

    @cached_property
    def models(self) -> Mapping[str, ModelSpec]:
        """Models by name."""
        return {key.name: spec for key, spec in self._of_kind(Kind.MODEL)}

    @cached_property
    def pools(self) -> Mapping[str, PoolSpec]:
        """Pools by name."""
        return {key.name: spec for key, spec in self._of_kind(Kind.POOL)}

    @cached_property
    def drained_engines(self) -> frozenset[str]:
        """Names of the engines that are declared as draining."""
        return frozenset(key.name for key, _ in self._of_kind(Kind.DRAIN))

    @cached_property
    def policies(self) -> Mapping[str, PolicySpec]:
        """Policies by name."""
        return {key.name: spec for key, spec in self._of_kind(Kind.POLICY)}

    def tenant_of(self, key_hash: str) -> Tenant | None:
        """Return the tenant with the given bearer key hash, or ``None``."""
        return self._tenants_by_hash.get(key_hash)

    def tenants(self) -> list[Tenant]:
        """Return all tenants."""
        return [Tenant(key.name, spec) for key, spec in self._of_kind(Kind.TENANT)]

    def workload_for(self, name: str) -> Workload | None:
        """Return the workload for the ``model`` field of a request, or ``None``.

        The name of a model selects the repeatable workload of that model that sorts first by
        service class and name.
        """
        workload = self.workloads.get(name)
        if workload is not None:
            return workload
        matching = [
            candidate for candidate in self.workloads.values() if candidate.spec.model == name
        ]
        matching = [candidate for candidate in matching if candidate.spec.repeatable]
        return min(
            matching,
            key=lambda candidate: (candidate.spec.service_class, candidate.name),
            default=None,
        )

    def _of_kind(self, kind: Kind) -> Iterable[tuple[ObjectKey, StrictStruct]]:
        return [(key, spec) for key, spec in self._specs.items() if key.kind is kind]


def typed_specs(objects: Mapping[str, str]) -> dict[ObjectKey, StrictStruct]:
    """Return the typed specs of stored objects, sorted by key text.

    :raises msgspec.ValidationError: when a stored spec does not match its type.
    """
    specs = {}
    for text in sorted(objects):
        key = ObjectKey.parse(text)
        specs[key] = check_spec(key.kind, msgspec.json.decode(objects[text]))
    return specs


def check_objects(objects: Mapping[str, str]) -> list[DeclarationProblem]:
    """Return all problems of a set of objects: types, references, key hashes, policies, limits."""
    problems: list[DeclarationProblem] = []
    specs: dict[ObjectKey, StrictStruct] = {}
    for text, spec_json in sorted(objects.items()):
        key = ObjectKey.parse(text)
        try:
            specs[key] = check_spec(key.kind, msgspec.json.decode(spec_json))
        except msgspec.ValidationError as error:
            problems.append(problem_from_error(text, error, "spec"))
    problems.extend(_undeclared_references(specs))
    problems.extend(_duplicate_key_hashes(specs))
    problems.extend(_policy_problems(specs))
    problems.extend(_insufficient_token_limits(specs))
    return problems


def _undeclared_references(specs: dict[ObjectKey, StrictStruct]) -> list[DeclarationProblem]:
    """Find references to objects that are not declared."""
    problems = []

    def require(source: ObjectKey, path: str, target: ObjectKey) -> None:
        if target not in specs:
            reason = f"{target.kind.value} {target.name!r} is not declared"
            problems.append(DeclarationProblem(str(source), path, reason))

    for key, spec in specs.items():
        if isinstance(spec, ModelSpec):
            require(key, "spec.pool", ObjectKey(Kind.POOL, spec.pool))
        elif isinstance(spec, WorkloadSpec):
            require(key, "spec.model", ObjectKey(Kind.MODEL, spec.model))
        elif isinstance(spec, PolicySpec):
            for position, workload in enumerate(spec.workloads):
                target = ObjectKey(Kind.WORKLOAD, workload)
                require(key, f"spec.workloads[{position}]", target)
    return problems


def _duplicate_key_hashes(specs: dict[ObjectKey, StrictStruct]) -> list[DeclarationProblem]:
    """Find bearer key hashes that several tenants declare."""
    problems = []
    owners: dict[str, ObjectKey] = {}
    for key, spec in specs.items():
        if not isinstance(spec, TenantSpec):
            continue
        for position, key_hash in enumerate(spec.key_hashes):
            other = owners.setdefault(key_hash, key)
            if other != key:
                path = f"spec.key_hashes[{position}]"
                problems.append(DeclarationProblem(str(key), path, f"is also a key of {other}"))
    return problems


def _policy_problems(specs: dict[ObjectKey, StrictStruct]) -> list[DeclarationProblem]:
    """Find policies that fail to compile, to run or to pass their cases."""
    problems = []
    for key, spec in specs.items():
        if isinstance(spec, PolicySpec):
            try:
                check_policy(key.name, spec)
            except PolicyError as error:
                problems.append(DeclarationProblem(str(key), "spec.program", str(error)))
    return problems


def _insufficient_token_limits(specs: dict[ObjectKey, StrictStruct]) -> list[DeclarationProblem]:
    """Find token limits whose burst is below the largest ``max_output_tokens``."""
    max_output_tokens = max(
        (spec.max_output_tokens for spec in specs.values() if isinstance(spec, WorkloadSpec)),
        default=0,
    )
    problems = []
    for key, spec in specs.items():
        if not isinstance(spec, TenantSpec) or spec.limits.tokens_per_second is None:
            continue
        burst = spec.limits.tokens_per_second * spec.limits.burst_seconds
        if burst < max_output_tokens:
            reason = f"a burst of {burst:g} tokens is below max_output_tokens {max_output_tokens}"
            path = "spec.limits.tokens_per_second"
            problems.append(DeclarationProblem(str(key), path, reason))
    return problems
