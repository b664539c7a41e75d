"""The parts of a node: thin asyncio shells around the decisions."""
