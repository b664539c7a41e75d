"""Small stand-ins for what surrounds a node."""
