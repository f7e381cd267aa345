/** Schemas of the objects that the system stores in the platform's store. */
import * as z from 'zod'
import * as validation from '../validation/index.js'
import { PriceClass, Role } from './config.js'

/** Order to an engine: change its role, load a model, or drain. */
export const EngineOrder = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('role'), role: Role }),
  z.object({ kind: z.literal('load'), model: z.string(), adapter: z.string().default(''), version: z.string().default('') }),
  z.object({ kind: z.literal('drain') })
])
export type EngineOrder = z.infer<typeof EngineOrder>

/** Operation of an intent: an order to an engine, a target order or release at the platform, or a usage report. */
export const IntentBody = z.discriminatedUnion('type', [
  z.object({ type: z.literal('engine'), order: EngineOrder }),
  z.object({ type: z.literal('order_target'), service: z.string(), domain: z.string(), price_class: PriceClass }),
  z.object({ type: z.literal('release_target') }),
  /** `window` is the number of the usage window. */
  z.object({ type: z.literal('report'), window: z.int(), accounts: validation.list(z.string()) })
])
export type IntentBody = z.infer<typeof IntentBody>

/** An operation that is stored before it is sent, and removed once its effect is confirmed. */
export const Intent = z.object({
  /** `SCOPE#FENCE.SERIAL`. */
  id: z.string(),
  /** Target, or batch of accounts of a report; each has at most one open intent. */
  subject: z.string(),
  /** Fencing token under which the intent was stored. */
  fence: z.int(),
  /** Incarnations that may have sent the operation. */
  senders: validation.list(z.string()),
  body: IntentBody
})
export type Intent = z.infer<typeof Intent>

/** Lease and open intents of a scope, in one object so that one conditional update covers both. */
export const ScopeRecord = z.object({
  /** Incarnation of the lease holder, empty when the lease is released. */
  holder: z.string(),
  /** Fencing token: increases by one with each change of holder. */
  fence: z.int().min(0),
  /** Differs for each write, so that a writer that lost the reply recognises its own write. */
  nonce: z.string(),
  /** Time after which an unrenewed lease lapses, in ms. */
  ttl_ms: z.number().positive(),
  intents: validation.list(Intent),
  /** Number of intents opened so far, from which ids are made; absent means 0. */
  opened: z.int().optional(),
  /**
   * The holder, and former holders that open intents name as senders, with their peer addresses. `retired` is set
   * once a holder has released the lease with no send in flight.
   */
  holders: validation.list(z.object({ incarnation: z.string(), address: z.string(), retired: z.boolean().optional() })).optional()
})
export type ScopeRecord = z.infer<typeof ScopeRecord>

/** Head of the configuration, which lists its chunks: the only object of the configuration that is overwritten. */
export const ConfigHead = z.object({
  /** Increases by one with each configuration. */
  generation: z.int().min(0),
  chunks: validation.list(z.object({ name: z.string(), digest: z.string() }))
})
export type ConfigHead = z.infer<typeof ConfigHead>

/** Claim on a non-idempotent call. */
export const ClaimRow = z.object({
  /** Key of the row: identifies the call within its page. */
  key: z.string(),
  /** SHA-256 of method, path and body; tells a retry from another call under the same key. */
  request: z.string(),
  /** Incarnation of the only entry that may send the call. */
  owner: z.string(),
  /** Peer address of the owner, `ip:port`; absent in claims stored one per object. */
  peer: z.string().optional(),
  /** Identifies this claim; a retry that replaces the row takes another one. */
  nonce: z.string(),
  /** `done` once the outcome is stored; the fields below are absent before. */
  state: z.enum(['claimed', 'done']),
  /** HTTP status of the response. */
  status: z.int().optional(),
  content_type: z.string().optional(),
  /** Where the body is: in this row, in an object of its own, or nowhere, with only its digest in this row. */
  kept: z.enum(['row', 'object', 'digest']).optional(),
  /** Encoding of `body`; absent means utf8. */
  encoding: z.enum(['utf8', 'base64']).optional(),
  /** Body of the response, or its digest; empty when the body is in an object of its own. */
  body: z.string().optional()
})
export type ClaimRow = z.infer<typeof ClaimRow>

/** Claims of one minute and shard. */
export const ClaimPage = z.object({ rows: validation.list(ClaimRow) })
export type ClaimPage = z.infer<typeof ClaimPage>

/** Usage of a service by an account, cumulative since the start of the incarnation. */
export const UsageRow = z.object({
  account: z.string(),
  service: z.string(),
  requests: z.number().min(0),
  prompt_tokens: z.number().min(0),
  output_tokens: z.number().min(0)
})
export type UsageRow = z.infer<typeof UsageRow>
