"""Robust fit of overhead and seconds per token of one worker to recent prefill samples. No I/O."""

import math
from dataclasses import dataclass
from typing import NamedTuple

MIN_SECONDS_PER_TOKEN = 1.0 / 500_000.0
"""Three times the fastest known worker (157,000 tokens/s): faster samples come from prompts that
were cached without being known to be."""

MAX_SECONDS_PER_TOKEN = 1.0 / 5_000.0
"""An eighth of the rate of the slowest known worker (41,400 tokens/s): slower samples come from
workers that are suspended or wait for something else than prefill."""

MAX_OVERHEAD_SECONDS = 0.2
"""Longer overheads exceed the targets of urgent requests, so they are waits and not overhead."""

TIME_NOISE_SECONDS = 0.02
"""Spread of the overhead: a decoding step takes up to about 26 ms. Shorter prefills say little
about the rate."""

SAMPLE_DECAY = 0.93
"""Decay of a fit with each sample; its memory is about 14 samples."""

RUN_FACTOR = 1.5
"""Deviation from the expected time of a sample that is part of a run."""

RUN_SAMPLES = 3
"""After so many samples in a row that deviate in the same direction, the fit starts again from
them. Two in a row happen with wrong guesses of cached parts."""

RELAXATION_SECONDS = 10.0
"""Time constant with which a worker's samples lose their weight against the service's speed. After
half a minute without samples both count about the same."""

PRIOR_SAMPLES = 0.7
"""Number of samples for which the service's rate counts as much as the worker's own. Its weight
falls with the square of the number: with a weight of half a sample, the estimate of a worker five
times as fast as the others was still 15% too low after 20 requests."""

PRIOR_OVERHEAD_SAMPLES = 1.0
"""Number of samples that the service's overhead counts for."""

CACHE_SECONDS = 0.1
"""Time for which a fitted speed is used again. A dispatcher compares all workers for each request,
and the relaxation since the last sample changes slowly."""

OUTLIER_FACTOR = 2.5
"""A sample that differs from the estimate by this factor counts only when the next one deviates in
the same direction: a frozen worker, a lost report and a wrong guess of what is cached affect one
sample."""

MAX_SAMPLE_FACTOR = 4.0
"""Samples are clipped to this multiple of the expected time."""

RUN_TTL_SECONDS = 3.0
"""Longest time between two samples of a run."""


MIN_SAMPLES = 0.01
"""Below so many samples, decayed by age, the service's speed is used alone."""


class Speed(NamedTuple):
    """Fitted parameters of the time to a first token."""

    seconds_per_token: float
    overhead_seconds: float

    def seconds(self, tokens: int, has_overhead: bool) -> float:
        """Return the expected time of a sample."""
        return tokens * self.seconds_per_token + (self.overhead_seconds if has_overhead else 0.0)


class _Sample(NamedTuple):
    tokens: int
    seconds: float
    has_overhead: bool


@dataclass
class _Sums:
    """Decayed weighted sums of products; ``a`` is 1 for samples with overhead, else 0.

    :ivar count: number of samples.
    :ivar w: sum of the weights.
    """

    count: float = 0.0
    w: float = 0.0
    aa: float = 0.0
    an: float = 0.0
    nn: float = 0.0
    a_s: float = 0.0
    ns: float = 0.0

    def add(self, sample: _Sample, weight: float, decay: float) -> None:
        """Add a sample after decaying the sums."""
        self.scale(decay)
        tokens, seconds, has_overhead = sample
        self.count += 1.0
        self.w += weight
        self.nn += weight * tokens * tokens
        self.ns += weight * tokens * seconds
        if has_overhead:
            self.aa += weight
            self.an += weight * tokens
            self.a_s += weight * seconds

    def scale(self, factor: float) -> None:
        """Reduce the weight of all samples."""
        self.count *= factor
        self.w *= factor
        self.aa *= factor
        self.an *= factor
        self.nn *= factor
        self.a_s *= factor
        self.ns *= factor


class PrefillFit:
    """Fit of one worker."""

    def __init__(self):
        self._sums = _Sums()
        self._updated_at = 0.0
        self._overhead: float | None = None
        self._held: _Sample | None = None
        self._run: list[_Sample] = []
        self._run_direction = 0
        self._run_updated_at = 0.0
        self._cached: tuple[float, Speed] | None = None

    def recent_samples(self, now: float) -> float:
        """Return the number of samples that the fit is based on, decayed by age."""
        return self._sums.count * self._relaxation(now)

    def cached_speed(self, now: float) -> Speed | None:
        """Return the last fitted speed if it is still valid."""
        if self._cached is None or now - self._cached[0] > CACHE_SECONDS:
            return None
        return self._cached[1]

    def speed(self, prior: Speed, now: float) -> Speed:
        """Return the fitted speed, drawn to the prior as the samples age."""
        speed = self._fit(prior, self._relaxation(now))
        self._cached = (now, speed)
        return speed

    def add(
        self, tokens: int, seconds: float, has_overhead: bool, prior: Speed, now: float
    ) -> None:
        """Add a sample; hold it back while it is an outlier that no other one confirms."""
        if seconds < 0.0 or tokens < 0:
            return
        sample = _Sample(tokens, seconds, has_overhead)
        speed = self.speed(prior, now)
        if not self._is_informative(sample, speed):
            self._add_sample(sample, speed, now)
            return
        self._extend_run(sample, speed, now)
        if len(self._run) >= RUN_SAMPLES:
            self._restart(speed, now)
        elif self._held is not None and len(self._run) > 1:
            self._add_sample(self._held, speed, now)
            self._add_sample(sample, speed, now)
            self._held = None
        elif _is_outlier(sample, speed):
            self._held = sample
        else:
            self._held = None
            self._add_sample(sample, speed, now)

    def _is_informative(self, sample: _Sample, speed: Speed) -> bool:
        """Return whether the prefill of a sample is longer than the noise of its overhead."""
        computed = sample.seconds - (speed.overhead_seconds if sample.has_overhead else 0.0)
        return max(computed, sample.tokens * speed.seconds_per_token) > TIME_NOISE_SECONDS

    def _extend_run(self, sample: _Sample, speed: Speed, now: float) -> None:
        """Add a sample to the run of deviations in one direction, or end the run."""
        expected = max(speed.seconds(sample.tokens, sample.has_overhead), 1e-6)
        direction = _direction(sample.seconds / expected)
        expired = now - self._run_updated_at > RUN_TTL_SECONDS
        if not direction or direction != self._run_direction or expired:
            self._run = []
            self._held = None
        self._run_direction = direction
        self._run_updated_at = now
        if direction:
            self._run = [*self._run, sample][-RUN_SAMPLES:]

    def _restart(self, speed: Speed, now: float) -> None:
        """Fit the samples of the run only.

        The overhead is kept: a change of the rate does not change it, and the samples of a run
        are often of equal length, so that they do not tell overhead and rate apart.
        """
        self._overhead = speed.overhead_seconds
        self._sums = _Sums()
        self._held = None
        for sample in self._run:
            self._sums.add(sample, _weight(sample, speed), 1.0)
        self._run = []
        self._updated_at = now
        self._cached = None

    def _add_sample(self, sample: _Sample, speed: Speed, now: float) -> None:
        expected = speed.seconds(sample.tokens, sample.has_overhead)
        longest = MAX_SAMPLE_FACTOR * expected + TIME_NOISE_SECONDS
        sample = sample._replace(seconds=min(sample.seconds, longest))
        self._sums.scale(self._relaxation(now))
        self._updated_at = now
        self._sums.add(sample, _weight(sample, speed), SAMPLE_DECAY)
        self._cached = None

    def _relaxation(self, now: float) -> float:
        return math.exp(min(0.0, self._updated_at - now) / RELAXATION_SECONDS)

    def _fit(self, prior: Speed, relaxation: float) -> Speed:
        """Solve the least squares problem with the prior as additional samples."""
        sums = self._sums
        samples = sums.count * relaxation
        if not sums.nn or samples < MIN_SAMPLES:
            return prior
        prior_nn = sums.nn * (PRIOR_SAMPLES / samples) ** 2
        nn = sums.nn + prior_nn
        ns = sums.ns + prior_nn * prior.seconds_per_token
        overhead = prior.overhead_seconds if self._overhead is None else self._overhead
        if sums.aa:
            prior_aa = sums.aa * PRIOR_OVERHEAD_SAMPLES / samples
            aa = sums.aa + prior_aa
            a_s = sums.a_s + prior_aa * overhead
            overhead = (a_s * nn - sums.an * ns) / (aa * nn - sums.an * sums.an)
            overhead = min(max(overhead, 0.0), MAX_OVERHEAD_SECONDS)
        slope = (ns - overhead * sums.an) / nn
        return Speed(min(max(slope, MIN_SECONDS_PER_TOKEN), MAX_SECONDS_PER_TOKEN), overhead)


def _weight(sample: _Sample, speed: Speed) -> float:
    """Return the inverse of a sample's expected variance, which grows with the work."""
    return 1.0 / (TIME_NOISE_SECONDS + sample.tokens * speed.seconds_per_token)


def _direction(deviation: float) -> int:
    """Return 1 for a sample that is too slow, -1 for one that is too fast, else 0."""
    if deviation > RUN_FACTOR:
        return 1
    return -1 if deviation < 1 / RUN_FACTOR else 0


def _is_outlier(sample: _Sample, speed: Speed) -> bool:
    expected = speed.seconds(sample.tokens, sample.has_overhead)
    low, high = sorted((sample.seconds, expected))
    return high > OUTLIER_FACTOR * low + TIME_NOISE_SECONDS
