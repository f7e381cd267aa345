/** Claims in pages: a call is sent only by the entry whose nonce is in the call's row. */
import * as crypto from 'node:crypto'
import { Err, Ok, Refusal, type ExecutionState, type RefusalReason, type Result } from '../errors/index.js'
import type { PeerClient, PeerServer } from '../peer/index.js'
import type { ClaimRow } from '../schema/index.js'
import { delay, withTimeout } from '../time/index.js'
import { toBytes, toText, type AnswerText } from './answer-text.js'
import { placeOf, type ClaimPlace } from './claim-key.js'
import { ClaimPage, type EditEffect, type ClaimPageDeps, type Rows } from './claim-page.js'
import { OwnClaims } from './own-claims.js'
import {
  LOOKUP_METHOD, LookupReq, LookupRes, type Claim, type ClaimOutcome, type ClaimReq, type Claims, type StoredResponse, type OwnerLiveness
} from './types.js'

/** Longest answer kept in its row, in characters. */
const ROW_ANSWER_CHARS = 16 * 1024

/** Answers kept in the rows of one page, in characters; beyond, they get objects of their own. */
const PAGE_ANSWER_CHARS = 256 * 1024

/** Longest answer kept in an object of its own, in characters; the store takes 1 MB. */
const OBJECT_ANSWER_CHARS = 950_000

/** Rows of one page; at about 300 bytes a row, with the answers, a page stays below 1 MB. */
const MAX_ROWS = 2_000

/** Pages whose content is kept between edits. */
const MAX_PAGES = 32

/** Longest wait at the owner in one look-up, in ms. */
const LOOKUP_WAIT_MS = 2_000

/** Added to the wait for the way there and back, in ms. */
const LOOKUP_SLACK_MS = 1_000

/** Pause between look-ups of a call that still runs, and between tries to store a long answer, in ms. */
const AGAIN_MS = 200

/** What claims need from their surroundings. */
export interface PageClaimsDeps extends ClaimPageDeps {
  readonly incarnation: string
  /** Address at which other entries reach this one. */
  readonly peerAddress: () => string
  readonly owners: OwnerLiveness
  readonly peers: PeerClient & PeerServer
}

/** Claims of one entry. */
export class PageClaims implements Claims {
  private readonly pages = new Map<string, ClaimPage>()
  private readonly own: OwnClaims
  private sequence = 0

  constructor (private readonly deps: PageClaimsDeps) {
    this.own = new OwnClaims(deps.env.timers)
    deps.peers.handle(LOOKUP_METHOD, async (params) => {
      const { nonce, wait_ms: waitMs } = LookupReq.parse(params)
      return await this.own.lookup(nonce, Math.min(waitMs, LOOKUP_WAIT_MS))
    })
  }

  async claim (req: ClaimReq): Promise<Result<ClaimOutcome, Refusal>> {
    const place = placeOf(req, this.deps.env.clock.wallTimeMs())
    if (place.err) return place
    const replaceable = new Set<string>()
    while (this.left(req) > 0) {
      const held = await this.heldHere(req, place.val)
      if (held !== undefined) return held
      const taken = await this.take(req, place.val, replaceable)
      if (taken === undefined) return Err(refuse('claim_store_unavailable', 'no', 'this attempt was not sent'))
      if (taken.kind === 'full') return Err(refuse('claim_store_unavailable', 'no', 'too many keys of this minute; use a new key'))
      if (taken.kind === 'granted') return Ok({ kind: 'granted', claim: this.granted(place.val, taken.nonce) })
      const outcome = await this.resolve(req, place.val, taken.row)
      if (outcome !== 'replace') return outcome
      replaceable.add(taken.row.nonce)
    }
    return Err(refuse('claim_in_progress', 'maybe'))
  }

  /** The outcome of a claim that this entry holds; needs no store, so it is there while the store is down. */
  private async heldHere (req: ClaimReq, place: ClaimPlace): Promise<Result<ClaimOutcome, Refusal> | undefined> {
    const held = this.own.holderOf(place.row)
    if (held === undefined) return undefined
    if (held.request !== req.request) return Err(refuse('idempotency_key_reused', 'no'))
    const found = await this.own.lookup(held.nonce, this.left(req))
    if (found.state === 'done') return answered(found)
    return found.state === 'running' ? Err(refuse('claim_in_progress', 'maybe')) : undefined
  }

  /** Tries to add a row; when it cannot be confirmed, pledges never to send under its nonce. */
  private async take (req: ClaimReq, place: ClaimPlace, replaceable: ReadonlySet<string>): Promise<Taken | undefined> {
    const nonce = `${this.deps.incarnation}-${++this.sequence}`
    const row: ClaimRow = { key: place.row, request: req.request, owner: this.deps.incarnation, peer: this.deps.peerAddress(), nonce, state: 'claimed' }
    this.own.open(nonce, place.row, req.request)
    const abort = new AbortController()
    const mayReplace = (other: ClaimRow): boolean => other.request === req.request && (replaceable.has(other.nonce) || this.own.isPledged(other.nonce))
    const page = this.page(place.page)
    page.holders++
    const edit = page.edit({ lasting: false, apply: (rows) => addRow(rows, row, mayReplace) }, abort.signal)
    const taken = await withTimeout<Taken | undefined>(this.deps.env.timers, this.left(req), edit, () => undefined)
    abort.abort()
    if (taken?.kind !== 'granted') page.holders--
    if (taken === undefined) this.own.pledge(nonce)
    else if (taken.kind !== 'granted') this.own.forget(nonce)
    return taken
  }

  private granted (place: ClaimPlace, nonce: string): Claim {
    const page = this.page(place.page)
    return {
      complete: async (answer) => {
        this.own.answered(nonce, answer)
        await this.store(place, nonce, answer)
        this.own.forget(nonce)
        page.holders--
      },
      abandon: async () => {
        this.own.pledge(nonce)
        await page.edit({ lasting: true, apply: (rows) => removeRow(rows, place.row, nonce) })
        page.holders--
      },
      markUnknown: () => {
        this.own.forget(nonce)
        page.holders--
      }
    }
  }

  private async store (place: ClaimPlace, nonce: string, answer: StoredResponse): Promise<void> {
    const text = toText(answer.body)
    if (text.body.length > OBJECT_ANSWER_CHARS) {
      await this.edit(place, nonce, answer, 'digest', digestText(answer))
      return
    }
    if (text.body.length <= ROW_ANSWER_CHARS && await this.edit(place, nonce, answer, 'row', text)) return
    await this.storeObject(place, nonce, text)
    await this.edit(place, nonce, answer, 'object', text)
  }

  /** Marks the row done; false when the page has no room for the answer. */
  private async edit (place: ClaimPlace, nonce: string, answer: StoredResponse, kept: 'row' | 'object' | 'digest', text: AnswerText): Promise<boolean> {
    const done = { status: answer.status, content_type: answer.contentType, kept, encoding: text.encoding, body: kept === 'object' ? '' : text.body }
    const stored = await this.page(place.page).edit({ lasting: true, apply: (rows) => completeRow(rows, place.row, nonce, done) })
    return stored !== false
  }

  private async storeObject (place: ClaimPlace, nonce: string, text: AnswerText): Promise<void> {
    while (this.deps.env.clock.wallTimeMs() < place.expiresAt) {
      const put = await this.deps.store.put(answerKey(place.page, nonce), text.body, 'absent')
      if (put.ok || put.val.kind === 'conflict') return
      this.deps.onRetry(put.val.kind === 'unknown' ? 'store_reply_lost' : 'store_unavailable')
      await delay(this.deps.env.timers, AGAIN_MS)
    }
  }

  /** The outcome of a call that another claim holds, or `replace` when its holder will never send it. */
  private async resolve (req: ClaimReq, place: ClaimPlace, row: ClaimRow): Promise<Result<ClaimOutcome, Refusal> | 'replace'> {
    if (row.request !== req.request) return Err(refuse('idempotency_key_reused', 'no'))
    if (row.state === 'done') return await this.storedAnswer(place, row)
    while (this.left(req) > 0) {
      const found = await this.ask(row, Math.min(LOOKUP_WAIT_MS, this.left(req)))
      if (found?.state === 'never_sent') return 'replace'
      if (found?.state === 'done') return answered(found)
      if (found?.state !== 'running') return await this.reread(req, place, row)
      await delay(this.deps.env.timers, AGAIN_MS)
    }
    return Err(refuse('claim_in_progress', 'maybe'))
  }

  private async ask (row: ClaimRow, waitMs: number): Promise<LookupRes | undefined> {
    if (row.owner === this.deps.incarnation) return await this.own.lookup(row.nonce, waitMs)
    if (row.peer === undefined || this.deps.owners.isDead(row.owner)) return undefined
    const answer = await this.deps.peers.call<unknown>(row.peer, LOOKUP_METHOD, { nonce: row.nonce, wait_ms: waitMs }, waitMs + LOOKUP_SLACK_MS)
    if (answer.err) {
      this.deps.onRetry('peer_unreachable')
      return undefined
    }
    const parsed = LookupRes.safeParse(answer.val)
    return parsed.success ? parsed.data : undefined
  }

  /** The owner forgets a claim once it is stored, and may have died after that: the row is looked at once more. */
  private async reread (req: ClaimReq, place: ClaimPlace, row: ClaimRow): Promise<Result<ClaimOutcome, Refusal>> {
    const looking = this.page(place.page).edit({ lasting: false, apply: (rows) => ({ changed: false, value: rows.get(row.key) ?? row }) })
    const now = await withTimeout<ClaimRow | undefined>(this.deps.env.timers, this.left(req), looking, () => undefined)
    if (now?.state === 'done') return await this.storedAnswer(place, now)
    return Err(refuse('outcome_unknown', 'maybe', 'the entry that held this call cannot tell its outcome'))
  }

  private async storedAnswer (place: ClaimPlace, row: ClaimRow): Promise<Result<ClaimOutcome, Refusal>> {
    const body = await this.storedBody(place, row)
    if (body === undefined) return Err(refuse('outcome_unknown', 'yes', 'the call ran; its answer cannot be had'))
    const bytes = toBytes({ encoding: row.encoding ?? 'utf8', body })
    return Ok({ kind: 'answered', answer: { status: row.status ?? 200, contentType: row.content_type ?? '', body: bytes } })
  }

  private async storedBody (place: ClaimPlace, row: ClaimRow): Promise<string | undefined> {
    if (row.kept === 'digest') return undefined
    if (row.kept !== 'object') return row.body ?? ''
    const read = await this.deps.store.get(answerKey(place.page, row.nonce))
    return read.ok ? read.val?.value : undefined
  }

  private page (key: string): ClaimPage {
    const known = this.pages.get(key)
    if (known === undefined) this.dropIdle()
    const page = known ?? new ClaimPage(key, this.deps)
    this.pages.delete(key)
    this.pages.set(key, page)
    return page
  }

  private dropIdle (): void {
    for (const [key, page] of this.pages) {
      if (this.pages.size < MAX_PAGES) return
      if (page.idle) this.pages.delete(key)
    }
  }

  private left (req: ClaimReq): number {
    return req.deadlineAt - this.deps.env.clock.now()
  }
}

type Taken = { readonly kind: 'granted', readonly nonce: string } | { readonly kind: 'found', readonly row: ClaimRow } | { readonly kind: 'full' }

/** Object key of a long answer. */
export function answerKey (page: string, nonce: string): string {
  return `claim-answers/${page.slice('claims/'.length)}/${nonce}`
}

function addRow (rows: Rows, row: ClaimRow, mayReplace: (other: ClaimRow) => boolean): EditEffect<Taken> {
  const other = rows.get(row.key)
  if (other?.nonce === row.nonce) return { changed: false, value: { kind: 'granted', nonce: row.nonce } }
  if (other !== undefined && !(other.state === 'claimed' && mayReplace(other))) return { changed: false, value: { kind: 'found', row: other } }
  if (other === undefined && rows.size >= MAX_ROWS) return { changed: false, value: { kind: 'full' } }
  rows.set(row.key, row)
  return { changed: true, value: { kind: 'granted', nonce: row.nonce } }
}

function removeRow (rows: Rows, key: string, nonce: string): EditEffect<void> {
  if (rows.get(key)?.nonce !== nonce) return { changed: false, value: undefined }
  rows.delete(key)
  return { changed: true, value: undefined }
}

function completeRow (rows: Rows, key: string, nonce: string, done: Partial<ClaimRow> & { kept: string }): EditEffect<boolean> {
  const row = rows.get(key)
  if (row?.nonce !== nonce || row.state === 'done') return { changed: false, value: true }
  const kept = [...rows.values()].reduce((sum, other) => sum + (other.body?.length ?? 0), 0)
  if (done.kept === 'row' && kept + (done.body?.length ?? 0) > PAGE_ANSWER_CHARS) return { changed: false, value: false }
  rows.set(key, { ...row, ...done, state: 'done' } as ClaimRow)
  return { changed: true, value: true }
}

function answered (res: LookupRes & { state: 'done' }): Result<ClaimOutcome, Refusal> {
  return Ok({ kind: 'answered', answer: { status: res.status, contentType: res.content_type, body: toBytes(res) } })
}

function digestText (answer: StoredResponse): AnswerText {
  return { encoding: 'utf8', body: crypto.createHash('sha256').update(answer.body).digest('hex') }
}

function refuse (reason: RefusalReason, ran: ExecutionState, message?: string): Refusal {
  const hint = ran === 'no' && reason !== 'claim_store_unavailable' ? {} : { retryAfterMs: 1_000 }
  return new Refusal(reason, { step: 'claim', ran, ...hint, ...(message === undefined ? {} : { message }) })
}
