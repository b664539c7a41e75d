"""A capacity model: the cost of each role, from measured cost slopes."""
