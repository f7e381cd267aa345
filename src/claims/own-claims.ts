/** Claims of this entry: which nonces it may still send under, and answers not yet stored. */
import { withTimeout, type Timers } from '../time/index.js'
import { toText } from './answer-text.js'
import type { StoredResponse, LookupRes } from './types.js'

/** Nonces remembered as never sent. */
const MAX_PLEDGED = 10_000

/** Bytes of answers kept in memory until they are stored; beyond, only the fact that the call ran is kept. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Longest answer sent to a peer, in characters; a peer message may have 2 MiB. */
const MAX_LOOKUP_CHARS = 1_400_000

/** Callers that may wait for the outcome of one claim. */
const MAX_WAITERS = 64

/** States of the claims of one incarnation. */
export class OwnClaims {
  private readonly active = new Map<string, Active>()
  private readonly byRow = new Map<string, string>()
  private readonly pledged = new Set<string>()
  private answerBytes = 0

  constructor (private readonly timers: Timers) {}

  /** Registers a nonce before its row is written. */
  open (nonce: string, row: string, request: string): void {
    this.active.set(nonce, { row, request, answer: undefined, waiters: new Set() })
    this.byRow.set(row, nonce)
  }

  /** The claim that this entry holds on a row, or is about to. */
  holderOf (row: string): OwnClaim | undefined {
    const nonce = this.byRow.get(row)
    const claim = nonce === undefined ? undefined : this.active.get(nonce)
    return nonce === undefined || claim === undefined ? undefined : { nonce, request: claim.request }
  }

  /** Promises never to send under a nonce. */
  pledge (nonce: string): void {
    this.end(nonce, { state: 'never_sent' })
    this.pledged.add(nonce)
    const oldest = this.pledged.values().next()
    if (this.pledged.size > MAX_PLEDGED && oldest.done !== true) this.pledged.delete(oldest.value)
  }

  isPledged (nonce: string): boolean {
    return this.pledged.has(nonce)
  }

  /** Keeps an answer until {@link forget}; those who wait get it at once. */
  answered (nonce: string, answer: StoredResponse): void {
    const claim = this.active.get(nonce)
    if (claim === undefined) return
    const res = doneRes(answer)
    if (this.answerBytes + answer.body.length <= MAX_ANSWER_BYTES) {
      claim.answer = res
      claim.bytes = answer.body.length
      this.answerBytes += answer.body.length
    } else {
      claim.answer = { state: 'unknown' }
    }
    notify(claim, res)
  }

  /** Drops a claim whose answer is stored, or whose outcome is unknown. */
  forget (nonce: string): void {
    this.end(nonce, { state: 'unknown' })
  }

  /** What is known of a nonce, after waiting up to `waitMs` for the answer. */
  async lookup (nonce: string, waitMs: number): Promise<LookupRes> {
    if (this.pledged.has(nonce)) return { state: 'never_sent' }
    const claim = this.active.get(nonce)
    if (claim === undefined) return { state: 'unknown' }
    if (claim.answer !== undefined) return claim.answer
    if (claim.waiters.size >= MAX_WAITERS) return { state: 'running' }
    let waiter: ((res: LookupRes) => void) | undefined
    const answer = new Promise<LookupRes>((resolve) => { waiter = resolve; claim.waiters.add(resolve) })
    const res = await withTimeout<LookupRes>(this.timers, waitMs, answer, () => ({ state: 'running' }))
    if (waiter !== undefined) claim.waiters.delete(waiter)
    return res
  }

  private end (nonce: string, res: LookupRes): void {
    const claim = this.active.get(nonce)
    if (claim === undefined) return
    this.active.delete(nonce)
    if (this.byRow.get(claim.row) === nonce) this.byRow.delete(claim.row)
    this.answerBytes -= claim.bytes ?? 0
    notify(claim, res)
  }
}

/** A claim of this entry. */
export interface OwnClaim {
  readonly nonce: string
  readonly request: string
}

interface Active {
  readonly row: string
  readonly request: string
  answer: LookupRes | undefined
  bytes?: number
  readonly waiters: Set<(res: LookupRes) => void>
}

function notify (claim: Active, res: LookupRes): void {
  for (const waiter of claim.waiters) waiter(res)
  claim.waiters.clear()
}

function doneRes (answer: StoredResponse): LookupRes {
  const { encoding, body } = toText(answer.body)
  if (JSON.stringify(body).length > MAX_LOOKUP_CHARS) return { state: 'unknown' }
  return { state: 'done', status: answer.status, content_type: answer.contentType, encoding, body }
}
