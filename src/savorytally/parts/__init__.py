"""The components of a node that run calls, built on asyncio.

They do the input and output; the policies are in the ``decisions`` package.
"""
