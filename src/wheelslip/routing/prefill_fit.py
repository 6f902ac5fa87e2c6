"""Robust fit of overhead and seconds per token of one worker to recent prefill samples. No I/O."""

import math
from dataclasses import dataclass, replace
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

RECENT_DECAY = 0.6
"""Decay of the sums that detect a change; their memory is about 2.5 samples."""

RECENT_CHANGE_FACTOR = 1.8
"""When the recent samples differ from the fit by this factor, they replace it."""

RELAXATION_SECONDS = 10.0
"""Time constant with which a worker's samples lose their weight against the service's speed. After
half a minute without samples both count about the same."""

PRIOR_SAMPLES = 0.5
"""Number of samples that the service's rate counts for. Above one, the estimate of a worker five
times as fast as the others is still 20% off after 20 requests spread over 20 s."""

PRIOR_OVERHEAD_SAMPLES = 2.0
"""Number of samples that the service's overhead counts for."""

CACHE_SECONDS = 0.1
"""Time for which a fitted speed is used again. A dispatcher compares all workers for each request,
and the relaxation since the last sample changes slowly."""

OUTLIER_FACTOR = 4.0
"""A sample that differs from the estimate by this factor counts only when a second one confirms
it: a frozen worker, a lost report and a wrong guess of what is cached affect one sample."""

OUTLIER_SLACK_SECONDS = 0.05
"""Extra time before a sample is an outlier."""

CONFIRMING_FACTOR = 1.5
"""Deviation in the same direction with which the next sample confirms an outlier."""

OUTLIER_TTL_SECONDS = 3.0
"""Time within which an outlier must be confirmed."""


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


class _Outlier(NamedTuple):
    sample: _Sample
    is_slow: bool
    at: float


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

    def slope(self, overhead_seconds: float) -> float | None:
        """Return the seconds per token for a known overhead; ``None`` without tokens."""
        return (self.ns - overhead_seconds * self.an) / self.nn if self.nn else None


class PrefillFit:
    """Fit of one worker."""

    def __init__(self):
        self._sums = _Sums()
        self._recent = _Sums()
        self._updated_at = 0.0
        self._outlier: _Outlier | None = None
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
        """Add a sample unless it is an outlier that no other sample confirms."""
        if seconds < 0.0 or tokens < 0:
            return
        sample = _Sample(tokens, seconds, has_overhead)
        speed = self.speed(prior, now)
        expected = speed.seconds(tokens, has_overhead)
        is_slow = seconds > OUTLIER_FACTOR * expected + OUTLIER_SLACK_SECONDS
        is_fast = OUTLIER_FACTOR * seconds + OUTLIER_SLACK_SECONDS < expected
        held = self._confirmed_outlier(sample, expected, now)
        if held is not None:
            self._add_sample(held, speed, now)
        elif is_slow or is_fast:
            self._outlier = _Outlier(sample, is_slow, now)
            return
        self._add_sample(sample, speed, now)

    def _confirmed_outlier(self, sample: _Sample, expected: float, now: float) -> _Sample | None:
        """Return the held outlier if a sample confirms it, and drop it if one contradicts it.

        Samples whose prefill is shorter than the noise decide nothing.
        """
        outlier = self._outlier
        if outlier is None:
            return None
        if now - outlier.at > OUTLIER_TTL_SECONDS:
            self._outlier = None
            return None
        deviation = sample.seconds / max(expected, 1e-6)
        confirms = (
            deviation > CONFIRMING_FACTOR if outlier.is_slow else deviation < 1 / CONFIRMING_FACTOR
        )
        if max(expected, sample.seconds) < TIME_NOISE_SECONDS:
            return None
        self._outlier = None
        return outlier.sample if confirms else None

    def _add_sample(self, sample: _Sample, speed: Speed, now: float) -> None:
        expected = speed.seconds(sample.tokens, sample.has_overhead)
        longest = OUTLIER_FACTOR * expected + OUTLIER_SLACK_SECONDS
        sample = sample._replace(seconds=min(sample.seconds, longest))
        weight = 1.0 / (TIME_NOISE_SECONDS + sample.tokens * speed.seconds_per_token)
        self._sums.scale(self._relaxation(now))
        self._updated_at = now
        self._sums.add(sample, weight, SAMPLE_DECAY)
        self._recent.add(sample, weight, RECENT_DECAY)
        self._cached = None
        if self._has_changed(speed):
            self._sums = replace(self._recent)

    def _has_changed(self, speed: Speed) -> bool:
        """Return whether the recent samples differ from the fit by more than noise."""
        recent = self._recent.slope(speed.overhead_seconds)
        fitted = self._sums.slope(speed.overhead_seconds)
        if recent is None or fitted is None or self._recent.count < 1.5:
            return False
        low, high = sorted((max(recent, 0.0), max(fitted, 0.0)))
        typical_tokens = math.sqrt(self._recent.nn / self._recent.w)
        is_noise = (high - low) * typical_tokens < TIME_NOISE_SECONDS
        return high > RECENT_CHANGE_FACTOR * low and not is_noise

    def _relaxation(self, now: float) -> float:
        return math.exp(min(0.0, self._updated_at - now) / RELAXATION_SECONDS)

    def _fit(self, prior: Speed, relaxation: float) -> Speed:
        """Solve the least squares problem with the prior as additional samples."""
        sums = self._sums
        if not sums.nn or not relaxation:
            return prior
        prior_share = 1.0 / (sums.count * relaxation)
        nn = sums.nn * (1.0 + PRIOR_SAMPLES * prior_share)
        ns = sums.ns + PRIOR_SAMPLES * prior_share * sums.nn * prior.seconds_per_token
        overhead = prior.overhead_seconds
        if sums.aa:
            aa = sums.aa * (1.0 + PRIOR_OVERHEAD_SAMPLES * prior_share)
            a_s = sums.a_s + PRIOR_OVERHEAD_SAMPLES * prior_share * sums.aa * overhead
            overhead = (a_s * nn - sums.an * ns) / (aa * nn - sums.an * sums.an)
            overhead = min(max(overhead, 0.0), MAX_OVERHEAD_SECONDS)
        slope = (ns - overhead * sums.an) / nn
        return Speed(min(max(slope, MIN_SECONDS_PER_TOKEN), MAX_SECONDS_PER_TOKEN), overhead)
