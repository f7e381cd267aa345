/** The error that a caller receives when its request is refused. */
import type { ExecutionState, RefusalReason, Step } from './reasons.js'

/** Details of a refusal besides its reason. */
export interface RefusalDetail {
  /** Step at which the request was refused. */
  readonly step: Step
  /** Whether the request was executed. */
  readonly ran: ExecutionState
  /** Sentence for the caller; absent means the reason with spaces for underscores. */
  readonly message?: string
  /** Milliseconds after which a retry may succeed; absent when a retry cannot help. */
  readonly retryAfterMs?: number
  /** The target or peer at which the error arose; absent when it arose in this process. */
  readonly peer?: string
}

/** A refused request: reason, step, peer, and whether the request was executed. */
export class Refusal extends Error {
  override readonly name = 'Refusal'

  constructor (readonly reason: RefusalReason, readonly detail: RefusalDetail) {
    super(detail.message ?? reason.replaceAll('_', ' '))
  }

  /** HTTP status of the reason; 503 for reasons without one of their own. */
  get status (): number {
    return STATUS_BY_REASON[this.reason] ?? 503
  }

  /** JSON body that the caller receives. */
  toBody (): RefusalBody {
    const { step, ran, retryAfterMs, peer } = this.detail
    return { error: { reason: this.reason, message: this.message, ran, step, retry_after_ms: retryAfterMs, peer } }
  }
}

/** JSON form of a refusal; absent fields are omitted. */
export interface RefusalBody {
  readonly error: {
    readonly reason: RefusalReason
    readonly message: string
    /** Whether the request was executed. */
    readonly ran: ExecutionState
    readonly step: Step
    /** Milliseconds after which a retry may succeed; absent when a retry cannot help. */
    readonly retry_after_ms?: number | undefined
    readonly peer?: string | undefined
  }
}

const STATUS_BY_REASON: Partial<Record<RefusalReason, number>> = {
  malformed_request: 400,
  request_too_large: 413,
  headers_too_large: 431,
  request_too_slow: 408,
  unknown_route: 404,
  unknown_model: 404,
  method_not_allowed: 405,
  key_missing: 401,
  key_invalid: 401,
  key_withdrawn: 401,
  quota_exceeded: 429,
  account_queue_full: 429,
  service_queue_full: 429,
  deadline_exceeded: 504,
  idempotency_key_missing: 400,
  idempotency_key_invalid: 400,
  idempotency_key_expired: 409,
  idempotency_key_reused: 409,
  claim_in_progress: 409,
  outcome_unknown: 409,
  target_failed: 502,
  internal_error: 500
}
