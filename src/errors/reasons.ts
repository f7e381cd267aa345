/** Machine-readable reasons of refusals and retries; the lists are fixed, and each reason has its own counter. */

/** Steps of the request path and of the control protocols, as they appear in errors, logs and metrics. */
export const STEPS = [
  'parse', 'authenticate', 'admit', 'claim', 'route', 'send', 'stream', 'settle',
  'lease', 'intent', 'order', 'confirm', 'close_window', 'report', 'publish', 'apply', 'join', 'leave', 'peer', 'store'
] as const

/** A step at which an error arose. */
export type Step = typeof STEPS[number]

/** Why a caller's request was refused or ended without a complete response. */
export const REFUSAL_REASONS = [
  'malformed_request', 'request_too_large', 'headers_too_large', 'request_too_slow', 'unknown_route', 'unknown_model', 'method_not_allowed',
  'key_missing', 'key_invalid', 'key_withdrawn', 'key_state_unknown', 'route_state_unknown',
  'quota_exceeded', 'account_queue_full', 'service_queue_full', 'entry_queue_full', 'deadline_unreachable', 'deadline_exceeded',
  'idempotency_key_missing', 'idempotency_key_invalid', 'idempotency_key_expired', 'idempotency_key_reused',
  'claim_store_unavailable', 'claim_in_progress', 'outcome_unknown',
  'no_target', 'target_unavailable', 'target_failed', 'retry_budget_exhausted', 'segment_quarantined',
  'entry_stopping', 'entry_not_ready', 'caller_disconnected', 'internal_error'
] as const

/** A reason from {@link REFUSAL_REASONS}. */
export type RefusalReason = typeof REFUSAL_REASONS[number]

/** Why an attempt at a target, the store or a peer was retried. */
export const RETRY_REASONS = [
  'connect_failed', 'not_run', 'connection_silent', 'stream_broken', 'target_error', 'target_leaving',
  'store_conflict', 'store_unavailable', 'store_reply_lost', 'peer_unreachable'
] as const

/** A reason from {@link RETRY_REASONS}. */
export type RetryReason = typeof RETRY_REASONS[number]

/** Whether a refused request was executed; `no` only when that is certain. */
export type ExecutionState = 'no' | 'maybe' | 'yes'
