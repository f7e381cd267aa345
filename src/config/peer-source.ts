/** Reads the configuration from a peer. */
import type * as z from 'zod'
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { PeerClient } from '../peer/index.js'
import type { ConfigHead } from '../schema/index.js'
import type { HeldConfig } from './held-config.js'
import { applySplice, spliceOf } from './splice.js'
import { CONFIG_METHODS, ConfigStatus, DeltaRes, PendingRes, PULL_CHARS, PULL_CHUNKS, PullRes, type PullReq } from './peer-messages.js'

/** Time allowed for a short answer, in ms; a poll that fails leaves time to ask another peer before proofs expire. */
export const POLL_TIMEOUT_MS = 500

/** Time allowed for an answer that holds chunks, in ms. */
const PULL_TIMEOUT_MS = 2_000

/** Answers with chunks that one pull may take; 8 MB of configuration fit in 32. */
const MAX_PULLS = 256

/** A head with the texts that were missing. */
export interface FetchedConfig {
  readonly head: ConfigHead
  readonly texts: ReadonlyMap<string, string>
}

/** Asks peers. */
export class PeerSource {
  constructor (private readonly peers: PeerClient) {}

  /** What a peer states about its configuration. */
  async poll (address: string): Promise<Result<ConfigStatus, StepError>> {
    return await this.call(address, CONFIG_METHODS.poll, {}, ConfigStatus, POLL_TIMEOUT_MS)
  }

  /** Withdrawn keys that the peer's configuration does not show yet. */
  async pending (address: string): Promise<Result<readonly string[], StepError>> {
    const answer = await this.call(address, CONFIG_METHODS.pending, {}, PendingRes, POLL_TIMEOUT_MS)
    return answer.map(({ ids }) => ids)
  }

  /** Fetches the peer's configuration, as far as `held` lacks it. */
  async fetch (address: string, held: HeldConfig): Promise<Result<FetchedConfig, StepError>> {
    const answer = await this.call(address, CONFIG_METHODS.delta, { from: held.generation }, DeltaRes, PULL_TIMEOUT_MS)
    if (answer.err) return answer
    const head = answer.val.delta === undefined ? undefined : held.headFrom(answer.val.delta)
    if (head === undefined) return Err(new StepError('apply', address, 'the peer has no usable configuration'))
    const texts = new Map<string, string>()
    for (let pulls = 0; ; pulls++) {
      const missing = held.missing(head).filter(({ digest }) => !texts.has(digest))
      if (missing.length === 0) return Ok({ head, texts })
      const pulled = await this.call(address, CONFIG_METHODS.pull, { chunks: missing.slice(0, PULL_CHUNKS) }, PullRes, PULL_TIMEOUT_MS)
      if (pulled.err) return pulled
      for (const chunk of pulled.val.chunks) texts.set(chunk.digest, wholeText(chunk, held))
      if (pulled.val.chunks.length === 0 || pulls === MAX_PULLS) return Err(new StepError('apply', address, 'the peer lacks a chunk'))
    }
  }

  private async call<T> (address: string, method: string, params: object, schema: z.ZodType<T>, timeoutMs: number): Promise<Result<T, StepError>> {
    const answer = await this.peers.call<unknown>(address, method, params, timeoutMs)
    if (answer.err) return Err(new StepError('peer', address, `${method}: ${answer.val.message}`))
    const parsed = schema.safeParse(answer.val)
    return parsed.success ? Ok(parsed.data) : Err(new StepError('peer', address, `${method}: malformed answer`))
  }
}

function wholeText (chunk: PullRes['chunks'][number], held: HeldConfig): string {
  if (chunk.splice === undefined) return chunk.text
  return applySplice(held.text(chunk.splice.base) ?? '', { ...chunk.splice, text: chunk.text })
}

/** Answers `config.pull`: at least one chunk, and as many as fit. */
export function answerPull (held: HeldConfig, req: PullReq): PullRes {
  const chunks: PullRes['chunks'] = []
  let chars = 0
  for (const { digest, base } of req.chunks) {
    const text = held.text(digest)
    if (text === undefined || (chunks.length > 0 && chars >= PULL_CHARS)) continue
    const before = base === undefined ? undefined : held.text(base)
    const splice = before === undefined ? undefined : spliceOf(before, text)
    chunks.push(splice === undefined || base === undefined ? { digest, text } : { digest, text: splice.text, splice: { base, head: splice.head, tail: splice.tail } })
    chars += chunks.at(-1)!.text.length
  }
  return { chunks }
}
