/** Decides on each request of a caller: its route, its account, and whether it is forwarded. */
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import type * as forward from '../forward/index.js'
import * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import type * as types from './types.js'

/** Part of the bound on withdrawn keys up to which knowledge of keys is used. */
const KEY_AGE_SHARE = 0.9

/** Part of the bound on new configurations up to which a request is turned away for good. */
const VERDICT_AGE_SHARE = 0.8

/** Time that a caller without a deadline of its own waits, in ms. */
const DEFAULT_WAIT_MS = 30_000

/** Time after which a caller may come back when this gateway knows too little, in ms. */
const UNKNOWN_RETRY_MS = 250

/** Bounds that the operators set. */
export interface GatewayBounds {
  /** Time within which a withdrawn key must stop working, in ms. */
  readonly keyRevocationMs: number
  /** Time within which a configuration must be in force, in ms. */
  readonly configPropagationMs: number
}

/** What a gateway needs from its surroundings. */
export interface GatewayDeps {
  readonly env: time.Env
  readonly feed: serving.ConfigFeed
  readonly forwarder: forward.Forwarder
  readonly bounds: GatewayBounds
  /** When this process will end, on the steady clock; undefined while it is not stopping. */
  readonly endsAt: () => number | undefined
  /** Whether no more calls are taken. */
  readonly refusing: () => boolean
}

/** Handles requests of callers. */
export class Gateway implements types.CallHandler {
  constructor (private readonly deps: GatewayDeps) {}

  async handle (req: types.CallerReq, body: Uint8Array, reply: calls.Reply, signal: AbortSignal): Promise<errors.Refusal | undefined> {
    const arrivedAt = this.deps.env.clock.now()
    if (this.deps.refusing()) return refusal('entry_stopping', 'parse', UNKNOWN_RETRY_MS)
    const found = await this.authorise(req)
    if (found instanceof errors.Refusal) return found
    return await this.deps.forwarder.forward(this.call(req, body, found, arrivedAt), reply, signal)
  }

  /** Whether requests with keys can be served now. */
  get keysAreFresh (): boolean {
    return this.deps.feed.current() !== undefined && this.deps.feed.freshness.ageMs <= this.deps.bounds.keyRevocationMs * KEY_AGE_SHARE
  }

  private async authorise (req: types.CallerReq): Promise<Found | errors.Refusal> {
    const first = this.find(req)
    if (!(first instanceof errors.Refusal) || !isVerdict(first)) return first
    // The store may have a newer version that allows the request.
    await this.deps.feed.refresh()
    const second = this.find(req)
    if (!(second instanceof errors.Refusal) || !isVerdict(second)) return second
    const provedRecently = this.deps.feed.freshness.ageMs <= this.deps.bounds.configPropagationMs * VERDICT_AGE_SHARE
    return provedRecently ? second : refusal('route_state_unknown', 'authenticate', UNKNOWN_RETRY_MS)
  }

  private find (req: types.CallerReq): Found | errors.Refusal {
    const table = this.deps.feed.current()
    if (table === undefined) return refusal('entry_not_ready', 'parse', UNKNOWN_RETRY_MS)
    const route = table.findRoute(req.host, pathOnly(req.path))
    if (route === undefined) return refusal('unknown_route', 'parse')
    const service = table.config.services.get(serving.pickService(route, this.deps.env.random.next()))
    if (service === undefined) return refusal('no_target', 'parse', UNKNOWN_RETRY_MS)
    if (route.open || !table.requiresKeys) return { route, service, account: undefined, key: undefined }
    if (req.key === undefined) return refusal('key_missing', 'authenticate')
    const account = table.findAccount(req.key)
    if (account === undefined) return refusal('key_invalid', 'authenticate')
    const unknown = this.checkKey(req.key, account.name)
    return unknown ?? { route, service, account, key: req.key }
  }

  private checkKey (key: string, account: string): errors.Refusal | undefined {
    const table = this.deps.feed.current()
    if (!this.keysAreFresh) return refusal('key_state_unknown', 'authenticate', UNKNOWN_RETRY_MS)
    if (table?.findAccount(key)?.name !== account) return refusal('key_withdrawn', 'authenticate')
    return undefined
  }

  private call (req: types.CallerReq, body: Uint8Array, found: Found, arrivedAt: number): calls.Call {
    const { route, service, account, key } = found
    const waitMs = Math.min(req.waitMs ?? DEFAULT_WAIT_MS, route.timeoutMs)
    return {
      id: req.id,
      method: req.method,
      path: req.path,
      headers: req.headers,
      body,
      route,
      service,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      arrivedAt,
      deadlineAt: Math.min(arrivedAt + waitMs, this.deps.endsAt() ?? Infinity),
      prompt: req.prompt,
      resumeAfter: req.resumeAfter,
      checkAuthorization: () => key === undefined || account === undefined ? undefined : this.checkKey(key, account.name)
    }
  }
}

interface Found {
  readonly route: serving.ServingRoute
  readonly service: serving.ServingService
  readonly account: serving.ServingAccount | undefined
  readonly key: string | undefined
}

function isVerdict (err: errors.Refusal): boolean {
  return err.status < 500
}

function pathOnly (path: string): string {
  const query = path.indexOf('?')
  return query < 0 ? path : path.slice(0, query)
}

function refusal (reason: errors.RefusalReason, step: errors.Step, retryAfterMs?: number): errors.Refusal {
  return new errors.Refusal(reason, { step, ran: 'no', ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
}
