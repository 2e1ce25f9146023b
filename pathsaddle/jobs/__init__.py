"""Durable leased jobs: accepted into a store on disk, leased to workers, recovered after a crash.

- `state_machine`: a job's states and transitions, free of I/O; `model_checker` explores every order of them.
- `submitted_call`: the client's call as bytes in the store.
- `schema`, `store_rows`, `store_writer`, `store`, `maintenance`, `errors`: the SQLite store.
- `job_service` and the parts that it assembles: `admission`, `run_queue`, `polling`, `cancellation`,
  `leases`, `completion`, `recovery`, `retention`, `registry`, `store_commits`, `worker_client`,
  `http_answers`, with `job_host`, `job_context` and `active_job` as what they share.

The package imports nothing of `pathsaddle.emulator` or `pathsaddle.experiment`.
"""
