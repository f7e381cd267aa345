/** Claims stored in pages. A call is sent only by the entry whose nonce is in the call's row. */
import * as crypto from 'node:crypto'
import { Err, Ok, Refusal, type ExecutionState, type RefusalReason, type Result } from '../errors/index.js'
import type { PeerClient, PeerServer } from '../peer/index.js'
import type { ClaimRow } from '../schema/index.js'
import { delay, withTimeout } from '../time/index.js'
import { decodeBody, encodeBody, type EncodedBody } from './encoded-body.js'
import { locateClaim, type ClaimLocation } from './claim-key.js'
import { ClaimPage, type EditEffect, type ClaimPageDeps, type Rows } from './claim-page.js'
import { OwnClaims } from './own-claims.js'
import {
  LOOKUP_METHOD, LookupReq, LookupRes, type Claim, type ClaimOutcome, type ClaimReq, type Claims, type StoredResponse, type OwnerLiveness
} from './types.js'

/** Longest response stored in its row, in characters. */
const MAX_ROW_RESPONSE_CHARS = 16 * 1024

/** Total size of the responses stored in the rows of one page, in characters; further ones get objects of their own. */
const MAX_PAGE_RESPONSE_CHARS = 256 * 1024

/** Longest response stored in an object of its own, in characters; the store's limit is 1 MB. */
const MAX_OBJECT_RESPONSE_CHARS = 950_000

/** Maximum number of rows of a page; at about 300 bytes a row, plus the responses, a page stays below 1 MB. */
const MAX_PAGE_ROWS = 2_000

/** Number of pages that stay cached between edits. */
const MAX_CACHED_PAGES = 32

/** Longest time for which the owner holds one lookup open, in ms. */
const LOOKUP_WAIT_MS = 2_000

/** Allowance for the transit of a lookup and its reply, in ms. */
const LOOKUP_TRANSIT_MS = 1_000

/** Delay between lookups of a call that is still running, and between attempts to store a long response, in ms. */
const RETRY_DELAY_MS = 200

/** Dependencies of {@link PageClaims}. */
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
    const location = locateClaim(req, this.deps.env.clock.wallTimeMs())
    if (location.err) return location
    const replaceable = new Set<string>()
    while (this.remainingMs(req) > 0) {
      const localOutcome = await this.localOutcome(req, location.val)
      if (localOutcome !== undefined) return localOutcome
      const added = await this.tryAddRow(req, location.val, replaceable)
      if (added === undefined) return Err(refuse('claim_store_unavailable', 'no', 'this attempt was not sent'))
      if (added.kind === 'full') return Err(refuse('claim_store_unavailable', 'no', 'too many keys of this minute; use a new key'))
      if (added.kind === 'granted') return Ok({ kind: 'granted', claim: this.createClaim(location.val, added.nonce) })
      const outcome = await this.outcomeOfRow(req, location.val, added.row)
      if (outcome !== 'replace') return outcome
      replaceable.add(added.row.nonce)
    }
    return Err(refuse('claim_in_progress', 'maybe'))
  }

  /** Outcome of a claim that this entry holds; needs no store, so it is available while the store is down. */
  private async localOutcome (req: ClaimReq, location: ClaimLocation): Promise<Result<ClaimOutcome, Refusal> | undefined> {
    const ownClaim = this.own.claimOnRow(location.row)
    if (ownClaim === undefined) return undefined
    if (ownClaim.request !== req.request) return Err(refuse('idempotency_key_reused', 'no'))
    const lookup = await this.own.lookup(ownClaim.nonce, this.remainingMs(req))
    if (lookup.state === 'done') return answeredOutcome(lookup)
    return lookup.state === 'running' ? Err(refuse('claim_in_progress', 'maybe')) : undefined
  }

  /** Tries to add a row; when the store does not confirm it, guarantees never to send under its nonce. */
  private async tryAddRow (req: ClaimReq, location: ClaimLocation, replaceable: ReadonlySet<string>): Promise<AddRowResult | undefined> {
    const nonce = `${this.deps.incarnation}-${++this.sequence}`
    const row: ClaimRow = { key: location.row, request: req.request, owner: this.deps.incarnation, peer: this.deps.peerAddress(), nonce, state: 'claimed' }
    this.own.register(nonce, location.row, req.request)
    const abort = new AbortController()
    const mayReplace = (other: ClaimRow): boolean => other.request === req.request && (replaceable.has(other.nonce) || this.own.isNeverSent(other.nonce))
    const page = this.pageOf(location.page)
    page.openClaims++
    const addition = page.edit({ retryUntilStored: false, apply: (rows) => addRow(rows, row, mayReplace) }, abort.signal)
    const added = await withTimeout<AddRowResult | undefined>(this.deps.env.timers, this.remainingMs(req), addition, () => undefined)
    abort.abort()
    if (added?.kind !== 'granted') page.openClaims--
    if (added === undefined) this.own.guaranteeNeverSent(nonce)
    else if (added.kind !== 'granted') this.own.close(nonce)
    return added
  }

  private createClaim (location: ClaimLocation, nonce: string): Claim {
    const page = this.pageOf(location.page)
    return {
      complete: async (response) => {
        this.own.setResponse(nonce, response)
        await this.storeResponse(location, nonce, response)
        this.own.close(nonce)
        page.openClaims--
      },
      abandon: async () => {
        this.own.guaranteeNeverSent(nonce)
        await page.edit({ retryUntilStored: true, apply: (rows) => removeRow(rows, location.row, nonce) })
        page.openClaims--
      },
      markUnknown: () => {
        this.own.close(nonce)
        page.openClaims--
      }
    }
  }

  private async storeResponse (location: ClaimLocation, nonce: string, response: StoredResponse): Promise<void> {
    const encoded = encodeBody(response.body)
    if (encoded.body.length > MAX_OBJECT_RESPONSE_CHARS) {
      await this.markDone(location, nonce, response, 'digest', encodeDigest(response))
      return
    }
    if (encoded.body.length <= MAX_ROW_RESPONSE_CHARS && await this.markDone(location, nonce, response, 'row', encoded)) return
    await this.storeResponseObject(location, nonce, encoded)
    await this.markDone(location, nonce, response, 'object', encoded)
  }

  /** Marks the row as done; false when the page has no room for the response. */
  private async markDone (location: ClaimLocation, nonce: string, response: StoredResponse, storage: 'row' | 'object' | 'digest', encoded: EncodedBody): Promise<boolean> {
    const responseFields = { status: response.status, content_type: response.contentType, kept: storage, encoding: encoded.encoding, body: storage === 'object' ? '' : encoded.body }
    const stored = await this.pageOf(location.page).edit({ retryUntilStored: true, apply: (rows) => completeRow(rows, location.row, nonce, responseFields) })
    return stored !== false
  }

  private async storeResponseObject (location: ClaimLocation, nonce: string, encoded: EncodedBody): Promise<void> {
    while (this.deps.env.clock.wallTimeMs() < location.expiresAt) {
      const written = await this.deps.store.put(responseKey(location.page, nonce), encoded.body, 'absent')
      if (written.ok || written.val.kind === 'conflict') return
      this.deps.onRetry(written.val.kind === 'unknown' ? 'store_reply_lost' : 'store_unavailable')
      await delay(this.deps.env.timers, RETRY_DELAY_MS)
    }
  }

  /** Outcome of a call that another claim holds, or `replace` when its owner guarantees never to send it. */
  private async outcomeOfRow (req: ClaimReq, location: ClaimLocation, row: ClaimRow): Promise<Result<ClaimOutcome, Refusal> | 'replace'> {
    if (row.request !== req.request) return Err(refuse('idempotency_key_reused', 'no'))
    if (row.state === 'done') return await this.storedOutcome(location, row)
    while (this.remainingMs(req) > 0) {
      const lookup = await this.lookUpRow(row, Math.min(LOOKUP_WAIT_MS, this.remainingMs(req)))
      if (lookup?.state === 'never_sent') return 'replace'
      if (lookup?.state === 'done') return answeredOutcome(lookup)
      if (lookup?.state !== 'running') return await this.outcomeAfterReread(req, location, row)
      await delay(this.deps.env.timers, RETRY_DELAY_MS)
    }
    return Err(refuse('claim_in_progress', 'maybe'))
  }

  private async lookUpRow (row: ClaimRow, waitMs: number): Promise<LookupRes | undefined> {
    if (row.owner === this.deps.incarnation) return await this.own.lookup(row.nonce, waitMs)
    if (row.peer === undefined || this.deps.owners.isTerminated(row.owner)) return undefined
    const reply = await this.deps.peers.call<unknown>(row.peer, LOOKUP_METHOD, { nonce: row.nonce, wait_ms: waitMs }, waitMs + LOOKUP_TRANSIT_MS)
    if (reply.err) {
      this.deps.onRetry('peer_unreachable')
      return undefined
    }
    const parsed = LookupRes.safeParse(reply.val)
    return parsed.success ? parsed.data : undefined
  }

  /** Reads the row once more: the owner drops a claim once its response is stored, and may have terminated after that. */
  private async outcomeAfterReread (req: ClaimReq, location: ClaimLocation, row: ClaimRow): Promise<Result<ClaimOutcome, Refusal>> {
    const reading = this.pageOf(location.page).edit({ retryUntilStored: false, apply: (rows) => ({ changed: false, value: rows.get(row.key) ?? row }) })
    const currentRow = await withTimeout<ClaimRow | undefined>(this.deps.env.timers, this.remainingMs(req), reading, () => undefined)
    if (currentRow?.state === 'done') return await this.storedOutcome(location, currentRow)
    return Err(refuse('outcome_unknown', 'maybe', 'the entry that held this call cannot tell its outcome'))
  }

  private async storedOutcome (location: ClaimLocation, row: ClaimRow): Promise<Result<ClaimOutcome, Refusal>> {
    const body = await this.readStoredBody(location, row)
    if (body === undefined) return Err(refuse('outcome_unknown', 'yes', 'the call ran; its answer cannot be had'))
    const bytes = decodeBody({ encoding: row.encoding ?? 'utf8', body })
    return Ok({ kind: 'answered', response: { status: row.status ?? 200, contentType: row.content_type ?? '', body: bytes } })
  }

  private async readStoredBody (location: ClaimLocation, row: ClaimRow): Promise<string | undefined> {
    if (row.kept === 'digest') return undefined
    if (row.kept !== 'object') return row.body ?? ''
    const read = await this.deps.store.get(responseKey(location.page, row.nonce))
    return read.ok ? read.val?.value : undefined
  }

  private pageOf (key: string): ClaimPage {
    const cached = this.pages.get(key)
    if (cached === undefined) this.evictIdlePages()
    const page = cached ?? new ClaimPage(key, this.deps)
    this.pages.delete(key)
    this.pages.set(key, page)
    return page
  }

  private evictIdlePages (): void {
    for (const [key, page] of this.pages) {
      if (this.pages.size < MAX_CACHED_PAGES) return
      if (page.isIdle) this.pages.delete(key)
    }
  }

  private remainingMs (req: ClaimReq): number {
    return req.deadlineAt - this.deps.env.clock.now()
  }
}

type AddRowResult = { readonly kind: 'granted', readonly nonce: string } | { readonly kind: 'occupied', readonly row: ClaimRow } | { readonly kind: 'full' }

/** Object key of a long response. */
export function responseKey (page: string, nonce: string): string {
  return `claim-answers/${page.slice('claims/'.length)}/${nonce}`
}

function addRow (rows: Rows, row: ClaimRow, mayReplace: (other: ClaimRow) => boolean): EditEffect<AddRowResult> {
  const other = rows.get(row.key)
  if (other?.nonce === row.nonce) return { changed: false, value: { kind: 'granted', nonce: row.nonce } }
  if (other !== undefined && !(other.state === 'claimed' && mayReplace(other))) return { changed: false, value: { kind: 'occupied', row: other } }
  if (other === undefined && rows.size >= MAX_PAGE_ROWS) return { changed: false, value: { kind: 'full' } }
  rows.set(row.key, row)
  return { changed: true, value: { kind: 'granted', nonce: row.nonce } }
}

function removeRow (rows: Rows, key: string, nonce: string): EditEffect<void> {
  if (rows.get(key)?.nonce !== nonce) return { changed: false, value: undefined }
  rows.delete(key)
  return { changed: true, value: undefined }
}

function completeRow (rows: Rows, key: string, nonce: string, responseFields: Partial<ClaimRow> & { kept: string }): EditEffect<boolean> {
  const row = rows.get(key)
  if (row?.nonce !== nonce || row.state === 'done') return { changed: false, value: true }
  const storedChars = [...rows.values()].reduce((sum, other) => sum + (other.body?.length ?? 0), 0)
  if (responseFields.kept === 'row' && storedChars + (responseFields.body?.length ?? 0) > MAX_PAGE_RESPONSE_CHARS) return { changed: false, value: false }
  rows.set(key, { ...row, ...responseFields, state: 'done' } as ClaimRow)
  return { changed: true, value: true }
}

function answeredOutcome (res: LookupRes & { state: 'done' }): Result<ClaimOutcome, Refusal> {
  return Ok({ kind: 'answered', response: { status: res.status, contentType: res.content_type, body: decodeBody(res) } })
}

function encodeDigest (response: StoredResponse): EncodedBody {
  return { encoding: 'utf8', body: crypto.createHash('sha256').update(response.body).digest('hex') }
}

function refuse (reason: RefusalReason, ran: ExecutionState, message?: string): Refusal {
  const hint = ran === 'no' && reason !== 'claim_store_unavailable' ? {} : { retryAfterMs: 1_000 }
  return new Refusal(reason, { step: 'claim', ran, ...hint, ...(message === undefined ? {} : { message }) })
}
