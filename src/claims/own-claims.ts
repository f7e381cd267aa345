/** Claims of this entry: the nonces under which it may still send, and responses that are not stored yet. */
import { withTimeout, type Timers } from '../time/index.js'
import { encodeBody } from './encoded-body.js'
import type { StoredResponse, LookupRes } from './types.js'

/** Maximum number of nonces that are remembered as never sent. */
const MAX_NEVER_SENT = 10_000

/**
 * Bytes of responses held in memory until they are stored; of further ones only the fact that the call executed is
 * held.
 */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024

/** Longest response sent to a peer, in characters of JSON; a peer message may have up to 2 MiB. */
const MAX_LOOKUP_CHARS = 1_400_000

/** Maximum number of callers that wait for the outcome of one claim. */
const MAX_WAITERS = 64

/** Tracks the claims of one incarnation. */
export class OwnClaims {
  private readonly active = new Map<string, ActiveClaim>()
  private readonly nonceByRow = new Map<string, string>()
  private readonly neverSent = new Set<string>()
  private responseBytes = 0

  constructor (private readonly timers: Timers) {}

  /** Registers a nonce before its row is written. */
  register (nonce: string, row: string, request: string): void {
    this.active.set(nonce, { row, request, outcome: undefined, waiters: new Set() })
    this.nonceByRow.set(row, nonce)
  }

  /** The claim that this entry holds on a row or is trying to acquire. */
  claimOnRow (row: string): OwnClaim | undefined {
    const nonce = this.nonceByRow.get(row)
    const claim = nonce === undefined ? undefined : this.active.get(nonce)
    return nonce === undefined || claim === undefined ? undefined : { nonce, request: claim.request }
  }

  /** Guarantees that this entry never sends under a nonce. */
  guaranteeNeverSent (nonce: string): void {
    this.endClaim(nonce, { state: 'never_sent' })
    this.neverSent.add(nonce)
    const oldest = this.neverSent.values().next()
    if (this.neverSent.size > MAX_NEVER_SENT && oldest.done !== true) this.neverSent.delete(oldest.value)
  }

  isNeverSent (nonce: string): boolean {
    return this.neverSent.has(nonce)
  }

  /** Holds a response until {@link close}, and passes it to the waiting lookups. */
  setResponse (nonce: string, response: StoredResponse): void {
    const claim = this.active.get(nonce)
    if (claim === undefined) return
    const res = toLookupRes(response)
    if (this.responseBytes + response.body.length <= MAX_RESPONSE_BYTES) {
      claim.outcome = res
      claim.responseBytes = response.body.length
      this.responseBytes += response.body.length
    } else {
      claim.outcome = { state: 'unknown' }
    }
    notifyWaiters(claim, res)
  }

  /** Drops a claim that is stored in its row, or whose outcome is unknown. */
  close (nonce: string): void {
    this.endClaim(nonce, { state: 'unknown' })
  }

  /** Resolves with the state of the claim with this nonce, after waiting up to `waitMs` for its response. */
  async lookup (nonce: string, waitMs: number): Promise<LookupRes> {
    if (this.neverSent.has(nonce)) return { state: 'never_sent' }
    const claim = this.active.get(nonce)
    if (claim === undefined) return { state: 'unknown' }
    if (claim.outcome !== undefined) return claim.outcome
    if (claim.waiters.size >= MAX_WAITERS) return { state: 'running' }
    let waiter: ((res: LookupRes) => void) | undefined
    const outcome = new Promise<LookupRes>((resolve) => { waiter = resolve; claim.waiters.add(resolve) })
    const res = await withTimeout<LookupRes>(this.timers, waitMs, outcome, () => ({ state: 'running' }))
    if (waiter !== undefined) claim.waiters.delete(waiter)
    return res
  }

  private endClaim (nonce: string, res: LookupRes): void {
    const claim = this.active.get(nonce)
    if (claim === undefined) return
    this.active.delete(nonce)
    if (this.nonceByRow.get(claim.row) === nonce) this.nonceByRow.delete(claim.row)
    this.responseBytes -= claim.responseBytes ?? 0
    notifyWaiters(claim, res)
  }
}

/** A claim of this entry. */
export interface OwnClaim {
  readonly nonce: string
  readonly request: string
}

interface ActiveClaim {
  readonly row: string
  readonly request: string
  outcome: LookupRes | undefined
  responseBytes?: number
  readonly waiters: Set<(res: LookupRes) => void>
}

function notifyWaiters (claim: ActiveClaim, res: LookupRes): void {
  for (const waiter of claim.waiters) waiter(res)
  claim.waiters.clear()
}

function toLookupRes (response: StoredResponse): LookupRes {
  const { encoding, body } = encodeBody(response.body)
  if (JSON.stringify(body).length > MAX_LOOKUP_CHARS) return { state: 'unknown' }
  return { state: 'done', status: response.status, content_type: response.contentType, encoding, body }
}
