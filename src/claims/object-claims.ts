/** Baseline implementation of claims: one object for each call, written before the call is sent. */
import { Err, Ok, Refusal, type ExecutionState, type RefusalReason, type Result } from '../errors/index.js'
import type { ObjectStore } from '../external/index.js'
import { ClaimRow } from '../schema/index.js'
import { decodeBody, encodeBody } from './encoded-body.js'
import type { Claim, ClaimOutcome, ClaimReq, Claims, StoredResponse } from './types.js'

/** Claims stored as `claims/<service>/<account>/<key>`. */
export class ObjectClaims implements Claims {
  private sequence = 0

  constructor (private readonly store: ObjectStore, private readonly incarnation: string) {}

  async claim (req: ClaimReq): Promise<Result<ClaimOutcome, Refusal>> {
    const key = `claims/${req.service}/${req.account}/${req.key}`
    const nonce = `${this.incarnation}-${++this.sequence}`
    const row: ClaimRow = { key: req.key, request: req.request, owner: this.incarnation, nonce, state: 'claimed' }
    const written = await this.store.put(key, JSON.stringify(row), 'absent')
    if (written.ok) return Ok({ kind: 'granted', claim: new ObjectClaim(this.store, key, row, written.val.version) })
    if (written.val.kind !== 'conflict' || written.val.current === undefined) return Err(refuse('claim_store_unavailable', 'no'))
    return outcomeOf(ClaimRow.parse(JSON.parse(written.val.current.value)), req)
  }
}

class ObjectClaim implements Claim {
  constructor (private readonly store: ObjectStore, private readonly key: string, private readonly row: ClaimRow, private readonly version: number) {}

  async complete (response: StoredResponse): Promise<void> {
    const row: ClaimRow = { ...this.row, state: 'done', status: response.status, content_type: response.contentType, ...encodeBody(response.body) }
    await this.store.put(this.key, JSON.stringify(row), this.version)
  }

  async abandon (): Promise<void> {
    await this.store.delete(this.key, this.version)
  }

  markUnknown (): void {}
}

function outcomeOf (row: ClaimRow, req: ClaimReq): Result<ClaimOutcome, Refusal> {
  if (row.request !== req.request) return Err(refuse('idempotency_key_reused', 'no'))
  if (row.state === 'claimed') return Err(refuse('outcome_unknown', 'maybe'))
  const response = { status: row.status ?? 200, contentType: row.content_type ?? '', body: decodeBody({ encoding: row.encoding ?? 'utf8', body: row.body ?? '' }) }
  return Ok({ kind: 'answered', response })
}

function refuse (reason: RefusalReason, ran: ExecutionState): Refusal {
  return new Refusal(reason, { step: 'claim', ran, retryAfterMs: 1_000 })
}
