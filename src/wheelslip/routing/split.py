"""Smooth weighted round robin over the destinations of a route."""


class WeightedRoundRobin:
    """Chooses names in proportion to their weights, evenly spread over any run of choices."""

    def __init__(self):
        self._credit: dict[str, float] = {}

    def choose(self, weights: dict[str, int]) -> str | None:
        """Return the next name, ``None`` if no weight is positive.

        :param weights: weight by name; the other names keep their credit when names change.
        """
        weights = {name: weight for name, weight in weights.items() if weight > 0}
        if not weights:
            return None
        self._credit = {name: self._credit.get(name, 0.0) for name in weights}
        for name, weight in weights.items():
            self._credit[name] += weight
        chosen = max(weights, key=lambda name: (self._credit[name], name))
        self._credit[chosen] -= sum(weights.values())
        return chosen
