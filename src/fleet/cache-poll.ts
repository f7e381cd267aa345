/** One poll of an engine for changes of the prompt segments in its KV cache. */
import * as bytes from '../bytes/index.js'
import type * as calls from '../call/index.js'
import type * as log from '../log/index.js'
import type * as time from '../time/index.js'
import type * as upstream from '../upstream/index.js'
import type * as targetState from './target-state.js'

/** Largest response, in bytes: some thousand changes. Its decoded value may take 30 times as much memory. */
const MAX_RESPONSE_BYTES = 512 * 1024

/** Dependencies of {@link pollCache}. */
export interface CachePollDeps {
  readonly env: time.Env
  readonly upstream: upstream.Upstream
  readonly protocol: calls.CacheProtocol
  readonly log: log.Logger
}

/** What is asked of an engine. */
export interface CachePollReq {
  /** Position up to which changes are known. */
  readonly since: number
  /** Time for which the engine may hold the poll open until there are changes, in ms. */
  readonly holdMs: number
  /** Time allowed for the response beyond that, in ms. */
  readonly graceMs: number
}

/** Outcome of a poll; `failed` means that there is no complete response with status 200. */
export type CachePollOutcome =
  | { readonly kind: 'changes', readonly changes: calls.CacheChanges }
  | { readonly kind: 'malformed', readonly reason: 'too_large' | 'undecodable' }
  | { readonly kind: 'failed' }

type BodyOutcome = Exclude<CachePollOutcome, { kind: 'changes' }> | { readonly kind: 'body', readonly body: Uint8Array }

/** Polls an engine once; never rejects. */
export async function pollCache (deps: CachePollDeps, state: targetState.TargetState, { since, holdMs, graceMs }: CachePollReq): Promise<CachePollOutcome> {
  try {
    const query = deps.protocol.encodeCacheQuery(state.record, since, holdMs)
    const fetched = await fetchBody(deps, state, query, holdMs + graceMs)
    if (fetched.kind !== 'body') return fetched
    const changes = deps.protocol.decodeCacheChanges(fetched.body)
    return changes === undefined ? { kind: 'malformed', reason: 'undecodable' } : { kind: 'changes', changes }
  } catch (err) {
    deps.log.error({ err, target: state.record.id }, 'cache_feed_failed')
    return { kind: 'failed' }
  }
}

/** Fetches the body of a response, and applies the load that its head reports. */
async function fetchBody (deps: CachePollDeps, state: targetState.TargetState, query: calls.CacheQuery, timeoutMs: number): Promise<BodyOutcome> {
  return await new Promise((resolve) => {
    const collector = new bytes.ByteCollector(MAX_RESPONSE_BYTES)
    let ok = false
    const timer = deps.env.timers.after(timeoutMs, () => {
      request.abort()
      resolve({ kind: 'failed' })
    })
    const settle = (outcome: BodyOutcome): void => {
      timer[Symbol.dispose]()
      resolve(outcome)
    }
    const request = deps.upstream.send({ address: state.record.address, ...query, body: new Uint8Array(0), nonIdempotent: false }, {
      onHead: (status, headers) => {
        ok = status === 200
        const load = ok ? deps.protocol.decodeLoad(headers) : undefined
        if (load !== undefined) state.applyReportedLoad(load, deps.env.clock.now())
      },
      onData: (chunk) => {
        if (collector.add(chunk)) return
        request.abort()
        settle(ok ? { kind: 'malformed', reason: 'too_large' } : { kind: 'failed' })
      },
      onEnd: () => settle(ok ? { kind: 'body', body: collector.take() } : { kind: 'failed' }),
      onError: () => settle({ kind: 'failed' })
    })
  })
}
