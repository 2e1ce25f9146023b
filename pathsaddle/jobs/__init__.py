"""Durable leased jobs: taken on by a store on disk, leased to workers, recovered after a crash."""
