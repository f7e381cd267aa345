/** Schemas of the messages that callers and engines send over HTTP. */
import * as z from 'zod'
import * as validation from '../validation/index.js'
import { Role } from './config.js'

/** Maximum number of output tokens of a request. */
export const MAX_OUTPUT_TOKENS = 32_768

/** Model call as the caller sends it. */
export const CompletionReq = z.object({
  model: z.string().min(1).max(64),
  prompt: z.string().min(1),
  /** Maximum number of output tokens. */
  max_tokens: z.int().min(1).max(MAX_OUTPUT_TOKENS).default(256),
  /** Whether the response is a stream of events. */
  stream: z.boolean().default(false),
  /** 9 is the most urgent, unlike the priorities in `serving`, where 0 is. */
  priority: z.int().min(0).max(9).default(5),
  /** Time that the caller waits, in ms; absent means the deadline of the profile, which is also the maximum. */
  deadline_ms: z.number().positive().max(600_000).optional(),
  /** Seed of the sampler; absent when the engine chooses one. */
  seed: z.int().min(0).optional()
})
export type CompletionReq = z.infer<typeof CompletionReq>

/** One generated token and its index in the output, as engines stream it. */
export const Piece = z.object({ index: z.int().min(0), text: z.string() })
export type Piece = z.infer<typeof Piece>

/** Load that an engine reports. */
export const LoadReport = z.object({
  /** Time of the report on the engine's wall clock, in ms since the Unix epoch. */
  at: z.number(),
  /** Requests that execute now. */
  running: z.number().min(0),
  /** Requests in the engine's queue. */
  waiting: z.number().min(0),
  /** Prompt tokens still to be prefilled. */
  pending_prefill_tokens: z.number().min(0),
  /** Output tokens that running requests are expected to generate. */
  pending_decode_tokens: z.number().min(0),
  /** Measured prefill rate, in tokens per second. */
  prefill_rate: z.number().positive(),
  /** Measured decode rate, in tokens per second. */
  decode_rate: z.number().positive()
})
export type LoadReport = z.infer<typeof LoadReport>

/** State that an engine reports of itself. */
export const EngineState = z.object({
  role: Role,
  /** Loaded models. */
  models: validation.list(z.string()),
  /** Id of the last order the engine finished, empty before the first. */
  last_order: z.string(),
  /** Id of the order in progress, empty when there is none. */
  active_order: z.string(),
  /** Whether the engine finishes its requests and accepts no new ones. */
  draining: z.boolean(),
  /** Requests that execute now. */
  running: z.number().min(0)
})
export type EngineState = z.infer<typeof EngineState>

/** Change of an engine's prefix cache. */
export const CacheEvent = z.object({
  /** Increases by one per event; a larger step means that events were lost. */
  seq: z.int().min(0),
  /** `cleared` means that the whole cache is empty; its `prefix` has no meaning. */
  kind: z.enum(['stored', 'evicted', 'cleared']),
  /** Hash of the prompt prefix that ends with this block, in hex; it covers all blocks before. */
  prefix: z.string()
})
export type CacheEvent = z.infer<typeof CacheEvent>
