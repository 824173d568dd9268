"""
Numbered log events, written through eliot.

``docs/log-events.md`` lists every event; a test compares the two.
"""

import enum

import eliot

__all__ = ["LogEvent", "log"]


class LogEvent(enum.IntEnum):
    """
    The number of each log event.

    1xx process, 2xx requests, 3xx backend servers, 4xx membership,
    5xx configuration, 6xx claims, 7xx orders and memory, 8xx stand-ins and tools.
    """

    ENTRY_STARTED = 101
    ENTRY_STOPPING = 103
    ENTRY_STOPPED = 104
    TASK_FAILED = 105
    INTERNAL_ERROR = 107
    SPAN_ENDED = 108
    SETTINGS_RELOADED = 109
    SETTINGS_REJECTED = 110
    LOG_LINES_DROPPED = 111

    REQUEST_ADMITTED = 201
    REQUEST_REFUSED = 202
    REQUEST_FINISHED = 203
    REQUEST_FAILED = 204
    ATTEMPT_STARTED = 205
    ATTEMPT_FAILED = 206
    CALLER_GONE = 207
    REQUEST_QUARANTINED = 209
    REQUEST_FORWARDED = 210
    RELAY_PLACED = 211
    RELAY_WAITING = 212
    RELAY_ATTEMPT_FAILED = 213
    RELAY_RESUMED = 214
    RELAY_FINISHED = 215
    RELAY_REFUSED = 216
    RELAY_FAILED = 217
    RELAY_MOVED = 218
    SECTION_QUARANTINED = 219
    RELAY_FORWARDED = 220
    FORWARD_FAILED = 221
    FORWARD_RECEIVED = 222

    BACKEND_STATE_CHANGED = 301
    BACKEND_UNREACHABLE = 302
    BACKEND_COLD_AGAIN = 303
    BACKEND_EJECTED = 304
    CACHE_EVENTS_GAP = 305
    PERMIT_GRANTED = 306
    PERMIT_REFUSED = 307
    GRANTOR_CHANGED = 308
    GROUPS_CHANGED = 309
    BACKEND_LEARNT = 310
    BACKEND_GONE = 311
    BACKEND_SHUNNED = 312
    DOMAIN_TAKEN_OUT = 313
    DOMAIN_TAKEN_IN = 314
    RESERVATION_REFUSED = 315
    SERVICE_OUT_OF_REACH = 316
    SERVICE_REACHED = 317
    DOMAIN_SUSPECTED = 318
    DOMAIN_CUT_OFF = 319
    DOMAIN_REACHED = 320
    BACKEND_LEAVING = 321
    BACKEND_HELD_OFF = 322
    RETRY_AFTER_IGNORED = 323
    BACKEND_RATE_LIMITED = 324
    RATE_LIMIT_IGNORED = 325

    MEMBER_JOINED = 401
    MEMBER_SUSPECTED = 402
    MEMBER_DEAD = 403
    MEMBER_LEFT = 404
    PEER_MESSAGE_DROPPED = 405
    MEMBERSHIP_STALE = 406
    PLATFORM_UNREACHABLE = 407
    PLATFORM_REACHABLE = 408
    PEER_LEARNT = 409
    PEER_GONE = 410
    STORE_ENTRY_REJECTED = 411
    LEASE_LAPSED = 412
    WATCHERS_SILENT = 413
    STORE_ERA_CHANGED = 414
    STORE_ANSWER_OUTDATED = 415
    STORE_ERA_IGNORED = 416
    SIGNING_KEY_ADOPTED = 417

    CONFIGURATION_ADOPTED = 501
    CONFIGURATION_REJECTED = 502
    CONFIGURATION_OLDER_IGNORED = 503

    CLAIM_RECORDED = 601
    CLAIM_DUPLICATE = 602
    CLAIMS_UNAVAILABLE = 603
    CLAIMS_COMPACTED = 604
    CLAIMS_WENT_BACK = 605
    OUTCOME_UNKNOWN = 606

    ORDERER_ELECTED = 701
    ORDERER_STEPPED_DOWN = 702
    ORDER_SENT = 703
    ORDER_REFUSED = 704
    ALLOCATION_REAPED = 705

    STANDIN_STARTED = 801
    FAULTS_SET = 802


def log(event: LogEvent, **fields: object) -> None:
    """
    Write one event to the log.

    :param event: its name in lower case and its number are written too.
    :param fields: values that JSON can hold; never keys, prompts or answers.
    """
    eliot.log_message(message_type=event.name.lower(), event=int(event), **fields)
