/** Messages about the configuration between entries. */
import * as z from 'zod'

/** Methods a process answers. */
export const CONFIG_METHODS = { poll: 'config.poll', delta: 'config.delta', pull: 'config.pull', withdraw: 'key.withdraw', pending: 'key.pending' } as const

/** Chunks one `config.pull` may name. */
export const PULL_CHUNKS = 64

/** Text after which an answer to `config.pull` takes no further chunk, in characters. */
export const PULL_CHARS = 256 * 1024

/** What a process states about its configuration, in gossip and in answers to `config.poll`. */
export const ConfigStatus = z.object({
  /** Generation in force. */
  g: z.int().min(0),
  /** Generation and age in ms of the latest proof; absent without one. */
  p: z.int().min(0).optional(),
  a: z.number().min(0).optional(),
  /** Time since the store last answered anyone this process knows of, in ms. */
  s: z.number().min(0).optional(),
  /** Fingerprint of pending withdrawals, 0 when there are none. */
  w: z.int()
})
export type ConfigStatus = z.infer<typeof ConfigStatus>

export const DeltaReq = z.object({ from: z.int().min(0) })
export const DeltaRes = z.object({
  delta: z.object({
    generation: z.int(),
    digest: z.string(),
    whole: z.boolean(),
    changed: z.array(z.object({ name: z.string(), digest: z.string() })),
    removed: z.array(z.string())
  }).optional()
})

/** Chunks by digest; `base` is the digest of the earlier chunk of the same name that the caller has. */
export const PullReq = z.object({ chunks: z.array(z.object({ digest: z.string(), base: z.string().optional() })).max(PULL_CHUNKS) })
export type PullReq = z.infer<typeof PullReq>

/** Whole texts, or what differs from the base. */
export const PullRes = z.object({
  chunks: z.array(z.object({ digest: z.string(), text: z.string(), splice: z.object({ base: z.string(), head: z.int().min(0), tail: z.int().min(0) }).optional() }))
})
export type PullRes = z.infer<typeof PullRes>

export const WithdrawReq = z.object({ id: z.string().max(64) })
export const WithdrawRes = z.object({ refused: z.boolean() })
export const PendingRes = z.object({ ids: z.array(z.string()) })
