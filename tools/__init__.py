"""Programs for developers: the demonstration mesh, load and measurements."""
