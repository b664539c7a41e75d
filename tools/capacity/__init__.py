"""Works out what each role costs at a size from slopes measured here."""
