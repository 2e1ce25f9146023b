"""One owner at a time for a key of the fleet's work, by a register that a majority of named voters keeps."""
