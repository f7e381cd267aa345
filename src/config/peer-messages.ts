/** Messages between entries about the configuration. */
import * as z from 'zod'
import * as validation from '../validation/index.js'

/** Peer methods. */
export const CONFIG_METHODS = { poll: 'config.poll', delta: 'config.delta', pull: 'config.pull', withdraw: 'key.withdraw', pending: 'key.pending' } as const

/** Chunks that one `config.pull` may request. */
export const MAX_PULL_CHUNKS = 64

/** Size from which no further chunk is added to a reply to `config.pull`, in characters. */
export const PULL_RESPONSE_CHARS = 256 * 1024

/** What a process reports of its configuration, in gossip and in replies to `config.poll`. */
export const ConfigStatus = z.object({
  /** Generation in force. */
  g: z.int().min(0),
  /** Generation and age in ms of the latest confirmation; absent without one. */
  p: z.int().min(0).optional(),
  a: z.number().min(0).optional(),
  /** Time since the store last responded to any process, as far as the sender knows, in ms. */
  s: z.number().min(0).optional(),
  /** Fingerprint of pending withdrawals, 0 when there are none. */
  w: z.int()
})
export type ConfigStatus = z.infer<typeof ConfigStatus>

/** Requests the difference from generation `from`. */
export const DeltaReq = z.object({ from: z.int().min(0) })
/** The difference, see `HeadDelta`; absent before the first configuration. */
export const DeltaRes = z.object({
  delta: z.object({
    generation: z.int(),
    digest: z.string(),
    whole: z.boolean(),
    changed: validation.list(z.object({ name: z.string(), digest: z.string() })),
    removed: validation.list(z.string())
  }).optional()
})

/** Requests chunks by digest; `base` is the digest of the chunk that the caller has under the same name. */
export const PullReq = z.object({ chunks: validation.list(z.object({ digest: z.string(), base: z.string().optional() }), { max: MAX_PULL_CHUNKS }) })
export type PullReq = z.infer<typeof PullReq>

/** Complete texts, or the difference from the base, see `Splice`. */
export const PullRes = z.object({
  chunks: validation.list(z.object({ digest: z.string(), text: z.string(), splice: z.object({ base: z.string(), head: z.int().min(0), tail: z.int().min(0) }).optional() }))
})
export type PullRes = z.infer<typeof PullRes>

/** Id of a withdrawn key. */
export const WithdrawReq = z.object({ id: z.string().max(64) })
/** Whether the receiver now refuses the key. */
export const WithdrawRes = z.object({ refused: z.boolean() })
/** Ids of keys whose withdrawal is pending. */
export const PendingRes = z.object({ ids: validation.list(z.string()) })
