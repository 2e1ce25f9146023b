"""Names of gossip's counters, as `fleet show budgets --json` prints them under `counts`.

The texts are part of that answer and must not change. Every part of gossip counts by these names.
"""

from __future__ import annotations

HELD_BACK = "held back"  # not sent: the rate limiter left nothing for it
ACCEPTED = "taken"  # datagrams
REJECTED = "refused {reason}"  # datagrams, by DatagramRejectedError's reason
REJECTED_UNKNOWN_SENDER = "refused unknown"  # datagrams of a sender that membership does not list as alive
OTHER_INCARNATION = "other life"  # deltas of an incarnation that is not the one we know
TOO_MANY_TOPICS = "no room"  # records beyond MAX_TOPICS of one member
UNKNOWN_EXCHANGE = "no question"  # digest replies that answer no digest of ours
DOCUMENTS = "documents"  # received whole and verified
CORRUPT_DOCUMENTS = "document false"  # received whole, with another hash than announced
SPARE_NOT_PUBLISHED = "spare untold"  # quotas that did not fit into the record of what we would lend
