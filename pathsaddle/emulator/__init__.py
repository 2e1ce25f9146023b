"""What is served, emulated: workers, discovery, clients and the network, on sockets or in virtual time.

- `plan`, `events`, `stage`: what a run is told, what it leaves behind, how it goes.
- `ground/`: what it stands on; knows nobody who stands there.
- `served/`: who is around the dispatchers. Each gets the clock, the network and the record (a World and its Sites),
  never the stage, which builds them.
- `faults/`: what goes wrong, done to whom it is handed.
- `judges/`: the judges, which read events alone, and the mutants that they must catch.
- `membership/`, and one package for each further subsystem: a world of its own, with no more around it than that
  subsystem needs. Its checker does not stand here but in `pathsaddle/histories/`, and knows neither world nor program.

What stands lower in this list of `ground`, `served`, `faults`, `stage` may import what stands before it, never the
other way; tests/test_house.py walks the imports.
"""
