/** Fetches the configuration from a peer. */
import type * as z from 'zod'
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { PeerClient } from '../peer/index.js'
import type { ConfigHead } from '../schema/index.js'
import type { HeldConfig } from './held-config.js'
import { applySplice, makeSplice } from './splice.js'
import { CONFIG_METHODS, ConfigStatus, DeltaRes, PendingRes, PULL_RESPONSE_CHARS, MAX_PULL_CHUNKS, PullRes, type PullReq } from './peer-messages.js'

/** Timeout of a short call, in ms; after a failed poll there is time to poll another peer before confirmations expire. */
export const POLL_TIMEOUT_MS = 500

/** Timeout of a call whose reply holds heads or chunks, in ms. */
const PULL_TIMEOUT_MS = 2_000

/** Bound of the `config.pull` calls of one fetch; a configuration of 8 MB takes 32. */
const MAX_PULLS = 256

/** A head with the texts of the missing chunks, by digest. */
export interface FetchedConfig {
  readonly head: ConfigHead
  readonly texts: ReadonlyMap<string, string>
}

/** Calls peers. */
export class PeerSource {
  constructor (private readonly peers: PeerClient) {}

  /** Requests a peer's status. */
  async poll (address: string): Promise<Result<ConfigStatus, StepError>> {
    return await this.call(address, CONFIG_METHODS.poll, {}, ConfigStatus, POLL_TIMEOUT_MS)
  }

  /** Ids of the keys whose withdrawal is pending at a peer. */
  async fetchPendingWithdrawals (address: string): Promise<Result<readonly string[], StepError>> {
    const reply = await this.call(address, CONFIG_METHODS.pending, {}, PendingRes, POLL_TIMEOUT_MS)
    return reply.map(({ ids }) => ids)
  }

  /** Fetches what `heldConfig` lacks of the peer's configuration. */
  async fetch (address: string, heldConfig: HeldConfig): Promise<Result<FetchedConfig, StepError>> {
    const reply = await this.call(address, CONFIG_METHODS.delta, { from: heldConfig.generation }, DeltaRes, PULL_TIMEOUT_MS)
    if (reply.err) return reply
    const head = reply.val.delta === undefined ? undefined : heldConfig.headFrom(reply.val.delta)
    if (head === undefined) return Err(new StepError('apply', address, 'the peer has no usable configuration'))
    const texts = new Map<string, string>()
    for (let pulls = 0; ; pulls++) {
      const missing = heldConfig.missingChunks(head).filter(({ digest }) => !texts.has(digest))
      if (missing.length === 0) return Ok({ head, texts })
      const pulled = await this.call(address, CONFIG_METHODS.pull, { chunks: missing.slice(0, MAX_PULL_CHUNKS) }, PullRes, PULL_TIMEOUT_MS)
      if (pulled.err) return pulled
      for (const chunk of pulled.val.chunks) texts.set(chunk.digest, fullText(chunk, heldConfig))
      if (pulled.val.chunks.length === 0 || pulls === MAX_PULLS) return Err(new StepError('apply', address, 'peer did not send all missing chunks'))
    }
  }

  private async call<T> (address: string, method: string, params: object, schema: z.ZodType<T>, timeoutMs: number): Promise<Result<T, StepError>> {
    const reply = await this.peers.call<unknown>(address, method, params, timeoutMs)
    if (reply.err) return Err(new StepError('peer', address, `${method}: ${reply.val.message}`))
    const parsed = schema.safeParse(reply.val)
    return parsed.success ? Ok(parsed.data) : Err(new StepError('peer', address, `${method}: malformed reply`))
  }
}

function fullText (chunk: PullRes['chunks'][number], heldConfig: HeldConfig): string {
  if (chunk.splice === undefined) return chunk.text
  return applySplice(heldConfig.chunkText(chunk.splice.base) ?? '', { ...chunk.splice, text: chunk.text })
}

/** Handles `config.pull`: sends at least one of the requested chunks, and as many as fit. */
export function handlePull (heldConfig: HeldConfig, req: PullReq): PullRes {
  const chunks: PullRes['chunks'] = []
  let chars = 0
  for (const { digest, base } of req.chunks) {
    const text = heldConfig.chunkText(digest)
    if (text === undefined || (chunks.length > 0 && chars >= PULL_RESPONSE_CHARS)) continue
    const baseText = base === undefined ? undefined : heldConfig.chunkText(base)
    const splice = baseText === undefined ? undefined : makeSplice(baseText, text)
    chunks.push(splice === undefined || base === undefined ? { digest, text } : { digest, text: splice.text, splice: { base, head: splice.head, tail: splice.tail } })
    chars += chunks.at(-1)!.text.length
  }
  return { chunks }
}
