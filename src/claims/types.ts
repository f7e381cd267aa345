/** Interfaces and peer messages of claims on non-idempotent calls. */
import * as z from 'zod'
import type { Refusal, Result } from '../errors/index.js'

/** A request to claim a non-idempotent call. */
export interface ClaimReq {
  readonly account: string
  readonly service: string
  /** The caller's idempotency key. */
  readonly key: string
  /** Digest of method, path and body. */
  readonly request: string
  /** Monotonic time by which the claim must have an outcome, in ms. */
  readonly deadlineAt: number
}

/** A response as stored for retries. */
export interface StoredResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** The right to send a call once. */
export interface Claim {
  /** Stores the response for retries; resolves when it is stored, which the response to the caller must not wait for. */
  complete (response: StoredResponse): Promise<void>
  /** Reports that the call was certainly not sent, so that a retry may send it. */
  abandon (): Promise<void>
  /** Reports that the call was sent and its outcome is unknown. */
  markUnknown (): void
}

/** Outcome of a claim: the right to send the call, or the response to the first attempt. */
export type ClaimOutcome = { readonly kind: 'granted', readonly claim: Claim } | { readonly kind: 'answered', readonly response: StoredResponse }

/** Grants each non-idempotent call to one sender. */
export interface Claims {
  claim (req: ClaimReq): Promise<Result<ClaimOutcome, Refusal>>
}

/** Tells which entries have certainly terminated, so that lookups skip them; implemented by membership. */
export interface OwnerLiveness {
  isTerminated (incarnation: string): boolean
}

/** Peer method that queries the owner of a claim for its outcome. */
export const LOOKUP_METHOD = 'claim.lookup'

/** Parameters of {@link LOOKUP_METHOD}. */
export const LookupReq = z.object({ nonce: z.string().max(256), wait_ms: z.number().min(0) })
export type LookupReq = z.infer<typeof LookupReq>

/**
 * The owner's reply about a nonce. `never_sent` is a guarantee that the owner will not send under that nonce, so that
 * the row may be replaced.
 */
export const LookupRes = z.discriminatedUnion('state', [
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('never_sent') }),
  z.object({ state: z.literal('unknown') }),
  z.object({ state: z.literal('done'), status: z.int(), content_type: z.string(), encoding: z.enum(['utf8', 'base64']), body: z.string() })
])
export type LookupRes = z.infer<typeof LookupRes>
