/** Admission of callers' requests: finds the route and the account, and refuses or forwards the request. */
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import type * as forward from '../forward/index.js'
import type * as quota from '../quota/index.js'
import * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as runningCalls from './running-calls.js'
import type * as types from './types.js'

/** Share of the key revocation bound up to which a copy of the keys is fresh enough to be used. */
const KEY_STALENESS_SHARE = 0.9

/** Share of the configuration propagation bound up to which a copy is fresh enough for a final refusal (4xx). */
const FINAL_REFUSAL_STALENESS_SHARE = 0.8

/** Deadline of a call whose caller sets none, in ms. */
const DEFAULT_CALLER_WAIT_MS = 30_000

/** Share of a request's time for which it may wait for a newer configuration; the rest is for the call that this one may allow. */
const REFRESH_WAIT_SHARE = 0.5

/** Retry-after of a refusal because this gateway is stopping or its configuration is missing or stale, in ms. */
const RETRY_AFTER_MS = 250

/** Bounds that the operators set. */
export interface GatewayBounds {
  /** Bound within which a withdrawn key must stop working, in ms. */
  readonly keyRevocationMs: number
  /** Bound within which a new configuration must be in force, in ms. */
  readonly configPropagationMs: number
}

/** Dependencies of a gateway. */
export interface GatewayDeps {
  readonly env: time.Env
  readonly feed: serving.ConfigFeed
  readonly forwarder: forward.Forwarder
  /** Called when a call that was admitted is refused. */
  readonly onRefused?: ((call: calls.Call, reason: errors.RefusalReason) => void) | undefined
  readonly quotas: Pick<quota.Quotas, 'admit' | 'end' | 'refuseExpired'>
  readonly bounds: GatewayBounds
  /** Deadline of the calls that arrive while this process stops, on the monotonic clock; undefined while it is not stopping. */
  readonly callsEndAt: (streaming: boolean) => number | undefined
  /** Whether new calls are refused. */
  readonly refusing: () => boolean
}

/** Authorizes requests of callers and passes them to the forwarder. */
export class Gateway implements types.CallHandler {
  private readonly running = new runningCalls.RunningCalls()

  constructor (private readonly deps: GatewayDeps) {}

  async handle (req: types.CallerReq, body: Uint8Array, reply: calls.Reply, signal: AbortSignal): Promise<errors.Refusal | undefined> {
    const arrivedAt = this.deps.env.clock.now()
    if (this.deps.refusing()) return refusal('entry_stopping', 'parse', RETRY_AFTER_MS)
    const authorized = await this.authorize(req)
    if (authorized instanceof errors.Refusal) return authorized
    const credit = await this.takeCredit(req, authorized)
    if (credit instanceof errors.Refusal) return credit
    const call = this.createCall(req, body, authorized, arrivedAt, credit)
    const run = this.running.run(reply, signal, async (ending) => await this.deps.forwarder.forward(call, reply, ending))
    const refused = credit === undefined ? await run : await this.returnCredit(credit, run)
    if (refused !== undefined) this.deps.onRefused?.(call, refused.reason)
    return refused
  }

  /** Ends the calls whose response has not started; streams that have begun go on. */
  endUnstartedCalls (): void {
    this.running.endUnstarted()
  }

  /** Whether the copy of the keys is fresh enough to serve requests with keys now. */
  get keysAreFresh (): boolean {
    return this.deps.feed.current() !== undefined && this.deps.feed.freshness.ageMs <= this.deps.bounds.keyRevocationMs * KEY_STALENESS_SHARE
  }

  private async takeCredit ({ prompt }: types.CallerReq, { account }: AuthorizedRequest): Promise<quota.ChargedCall | errors.Refusal | undefined> {
    if (account?.quota === undefined) return undefined
    return await this.deps.quotas.admit(account.name, prompt === undefined ? undefined : prompt.promptTokens + prompt.outputTokens)
  }

  private async returnCredit (credit: quota.ChargedCall, run: Promise<errors.Refusal | undefined>): Promise<errors.Refusal | undefined> {
    let refusal: errors.Refusal | undefined
    try {
      refusal = await run
      return refusal
    } finally {
      this.deps.quotas.end(credit, refusal?.reason)
    }
  }

  private async authorize (req: types.CallerReq): Promise<AuthorizedRequest | errors.Refusal> {
    const outcome = this.check(req)
    if (!(outcome instanceof errors.Refusal) || !isFinal(outcome)) return outcome
    // The store may have a newer configuration that allows the request.
    const route = this.deps.feed.current()?.findRoute(req.host, withoutQuery(req.path))
    const maxAgeMs = this.deps.bounds.configPropagationMs * FINAL_REFUSAL_STALENESS_SHARE
    await time.withTimeout(this.deps.env.timers, waitMsOf(req, route) * REFRESH_WAIT_SHARE, this.deps.feed.refresh(maxAgeMs), () => undefined)
    const recheck = this.check(req)
    if (!(recheck instanceof errors.Refusal) || !isFinal(recheck)) return recheck
    return this.deps.feed.freshness.ageMs <= maxAgeMs ? recheck : refusal('route_state_unknown', 'authenticate', RETRY_AFTER_MS)
  }

  private check (req: types.CallerReq): AuthorizedRequest | errors.Refusal {
    const table = this.deps.feed.current()
    if (table === undefined) return refusal('entry_not_ready', 'parse', RETRY_AFTER_MS)
    const route = table.findRoute(req.host, withoutQuery(req.path))
    if (route === undefined) return refusal('unknown_route', 'parse')
    const service = table.config.services.get(serving.pickService(route, this.deps.env.random.next()))
    if (service === undefined) return refusal('no_target', 'parse', RETRY_AFTER_MS)
    const configVersion = table.config.version
    if (route.open || !table.requiresKeys) return { route, service, configVersion, account: undefined, key: undefined }
    if (req.key === undefined) return refusal('key_missing', 'authenticate')
    const account = table.findAccount(req.key)
    if (account === undefined) return refusal('key_invalid', 'authenticate')
    const keyRefusal = this.checkKey(req.key, account.name)
    return keyRefusal ?? { route, service, configVersion, account, key: req.key }
  }

  private checkKey (key: string, account: string): errors.Refusal | undefined {
    const table = this.deps.feed.current()
    if (!this.keysAreFresh) return refusal('key_state_unknown', 'authenticate', RETRY_AFTER_MS)
    if (table?.findAccount(key)?.name !== account) return refusal('key_withdrawn', 'authenticate')
    return undefined
  }

  private createCall (req: types.CallerReq, body: Uint8Array, authorized: AuthorizedRequest, arrivedAt: number, credit: quota.ChargedCall | undefined): calls.Call {
    const { route, service, configVersion, account, key } = authorized
    return {
      id: req.id,
      method: req.method,
      path: req.path,
      headers: req.headers,
      body,
      route,
      service,
      configVersion,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      arrivedAt,
      deadlineAt: Math.min(arrivedAt + waitMsOf(req, route), this.deps.callsEndAt(route.streaming) ?? Infinity),
      prompt: req.prompt,
      resumeAfter: req.resumeAfter,
      credit,
      checkAuthorization: () => key === undefined || account === undefined ? undefined : this.checkKey(key, account.name) ?? this.checkCredit(credit, account.name)
    }
  }

  private checkCredit (credit: quota.ChargedCall | undefined, account: string): errors.Refusal | undefined {
    return credit === undefined || credit.isValid ? undefined : this.deps.quotas.refuseExpired(account, credit.cost)
  }
}

interface AuthorizedRequest {
  readonly route: serving.ServingRoute
  readonly service: serving.ServingService
  readonly configVersion: number
  readonly account: serving.ServingAccount | undefined
  readonly key: string | undefined
}

/** Time from the arrival of a request to its deadline, in ms; without a route only as long as the caller waits. */
function waitMsOf (req: types.CallerReq, route: serving.ServingRoute | undefined): number {
  return Math.min(req.waitMs ?? DEFAULT_CALLER_WAIT_MS, route?.timeoutMs ?? Infinity)
}

function isFinal (err: errors.Refusal): boolean {
  return err.status < 500
}

function withoutQuery (path: string): string {
  const queryStart = path.indexOf('?')
  return queryStart < 0 ? path : path.slice(0, queryStart)
}

function refusal (reason: errors.RefusalReason, step: errors.Step, retryAfterMs?: number): errors.Refusal {
  return new errors.Refusal(reason, { step, ran: 'no', ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
}
