/** Messages of claims on calls that may not be repeated. */
import * as z from 'zod'
import type { Refusal, Result } from '../errors/index.js'

/** A call that may not be repeated. */
export interface ClaimReq {
  readonly account: string
  readonly service: string
  /** The caller's idempotency key. */
  readonly key: string
  /** Digest of method, path and body. */
  readonly request: string
  /** Monotonic time by which the claim must be decided, in ms. */
  readonly deadlineAt: number
}

/** An answer as it is kept for retries. */
export interface StoredResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** The right to send a call once. */
export interface Claim {
  /** Keeps the answer for retries; resolves when it is stored. The caller must not wait for it. */
  complete (answer: StoredResponse): Promise<void>
  /** States that the call was certainly not sent, so that a retry may send it. */
  abandon (): Promise<void>
  /** States that the call was sent and its outcome is not known. */
  markUnknown (): void
}

/** Outcome of a claim: the right to send, or the answer of the first call. */
export type ClaimOutcome = { readonly kind: 'granted', readonly claim: Claim } | { readonly kind: 'answered', readonly answer: StoredResponse }

/** Grants each call that may not be repeated to one sender. */
export interface Claims {
  claim (req: ClaimReq): Promise<Result<ClaimOutcome, Refusal>>
}

/** Says which entries are certainly gone, so that nobody waits for them; membership implements it. */
export interface OwnerLiveness {
  isDead (incarnation: string): boolean
}

/** Peer method by which an entry asks the owner of a claim for its outcome. */
export const LOOKUP_METHOD = 'claim.lookup'

/** Parameters of {@link LOOKUP_METHOD}. */
export const LookupReq = z.object({ nonce: z.string().max(256), wait_ms: z.number().min(0) })
export type LookupReq = z.infer<typeof LookupReq>

/**
 * What the owner says of a nonce. `never_sent` is a pledge: the owner will not send under that nonce, so
 * the row may be replaced.
 */
export const LookupRes = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('never_sent') }),
  z.object({ state: z.literal('unknown') }),
  z.object({ state: z.literal('done'), status: z.int(), content_type: z.string(), encoding: z.enum(['utf8', 'base64']), body: z.string() })
])
export type LookupRes = z.infer<typeof LookupRes>
