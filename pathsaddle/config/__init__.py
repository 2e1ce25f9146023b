"""The operator's configuration: what may stand in the file, how it is checked, and how it is served by.

`schema` and the modules of tables say what may stand there, `validation` checks it, `loader` translates it to
the platform's JSON, `dispatcher` serves by it, and `reload` takes changes into service. The package imports
neither the emulator nor the experiments nor the command line. docs/charter.md describes it for operators.
"""
