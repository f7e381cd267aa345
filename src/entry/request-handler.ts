/** Steps of one request: parse, authenticate, admit, claim, route, send, stream, settle. */
import type { ConfigIndex } from '../config/index.js'
import { orThrow, Refusal, type ExecutionState, type RefusalReason } from '../errors/index.js'
import { CompletionReq, OPEN_ACCOUNT, type Route, type Service } from '../schema/index.js'
import { accountOf, type CallContext } from './call-context.js'
import { runModelCall } from './model-call.js'
import { runPlainCall } from './plain-call.js'
import type { CallerReq, CallerRes, EntryDeps } from './types.js'

/** HTTP path of model calls. */
const COMPLETIONS_PATH = '/v1/completions'

/** HTTP path under which callers get the recommended entries. */
const ENTRIES_PATH = '/v1/entries'

/** Serves requests of callers. */
export class RequestHandler {
  private sequence = 0
  /** Number of requests being served. */
  activeRequests = 0

  constructor (private readonly deps: EntryDeps) {}

  /** Serves one request and writes every outcome, refusals included, to `res`. */
  async handle (req: CallerReq, res: CallerRes): Promise<void> {
    const startedAt = this.deps.env.clock.now()
    this.activeRequests++
    try {
      await this.dispatch(req, res)
      this.deps.metrics.count('godwitpoint_requests_total', 'outcome="answered"')
    } catch (err) {
      this.refuse(req, res, toRefusal(err, res.started))
    } finally {
      this.activeRequests--
      this.deps.metrics.recordDuration('godwitpoint_request', this.deps.env.clock.now() - startedAt)
    }
  }

  /** Counts a refusal; public for those that the listener makes itself. */
  countRefusal (err: Refusal): void {
    this.deps.metrics.countRefusal(err.reason, err.detail.step)
    this.deps.metrics.count('godwitpoint_requests_total', 'outcome="refused"')
  }

  private async dispatch (req: CallerReq, res: CallerRes): Promise<void> {
    if (req.path === ENTRIES_PATH) {
      this.handleEntries(req, res)
      return
    }
    const cfg = this.deps.config.current()
    if (cfg === undefined) throw refusal('entry_not_ready')
    if (req.path === COMPLETIONS_PATH) await this.handleCompletion(req, res, cfg)
    else await this.handlePlain(req, res, cfg)
  }

  private handleEntries (req: CallerReq, res: CallerRes): void {
    const domain = new URL(req.url, 'http://entry').searchParams.get('domain') ?? undefined
    res.start(200, 'application/json')
    res.end(JSON.stringify(this.deps.advisor.advise(domain)))
  }

  private async handleCompletion (req: CallerReq, res: CallerRes, cfg: ConfigIndex): Promise<void> {
    if (req.method !== 'POST') throw refusal('method_not_allowed')
    const account = orThrow(accountOf(req, cfg, this.deps))
    const body = parseCompletion(req.body)
    const service = cfg.service(body.model)
    if (service?.kind !== 'model') throw refusal('unknown_model', `there is no model ${body.model}`)
    try {
      await runModelCall(this.createContext(req, cfg, service, account, body.deadline_ms), body, res, this.deps)
    } catch (err) {
      this.deps.metrics.count('godwitpoint_service_refusals_total', `service="${service.name}"`)
      throw err
    }
  }

  private async handlePlain (req: CallerReq, res: CallerRes, cfg: ConfigIndex): Promise<void> {
    const route = cfg.route(req.path)
    if (route === undefined) throw refusal('unknown_route', `there is no route for ${req.path}`)
    if (!(route.methods as string[]).includes(req.method)) throw refusal('method_not_allowed')
    const account = route.open ? OPEN_ACCOUNT : orThrow(accountOf(req, cfg, this.deps))
    const call = this.createContext(req, cfg, serviceOf(route, cfg), account, undefined)
    await runPlainCall(call, route, res, this.deps)
  }

  private createContext (req: CallerReq, cfg: ConfigIndex, service: Service, account: string, deadlineMs: number | undefined): CallContext {
    const profile = cfg.profileOf(service)
    const arrivedAt = this.deps.env.clock.now()
    return {
      id: `${this.deps.incarnation}-${++this.sequence}`,
      req,
      account,
      weight: cfg.account(account)?.weight ?? 1,
      service,
      profile,
      arrivedAt,
      deadlineAt: arrivedAt + Math.min(deadlineMs ?? profile.deadline_ms, profile.deadline_ms)
    }
  }

  private refuse (req: CallerReq, res: CallerRes, err: Refusal): void {
    const { step, ran, peer, retryAfterMs } = err.detail
    this.countRefusal(err)
    this.deps.log.info({ step, reason: err.reason, ran, peer, path: req.path, detail: err.message }, 'request_refused')
    if (res.started) {
      res.end(`event: error\ndata: ${JSON.stringify(err.toBody())}\n\n`)
      return
    }
    const headers: Record<string, string> = retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(retryAfterMs / 1_000)) }
    res.start(err.status, 'application/json', headers)
    res.end(JSON.stringify(err.toBody()))
  }
}

function parseCompletion (body: Uint8Array): CompletionReq {
  let json: unknown
  try {
    json = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body))
  } catch {
    throw refusal('malformed_request', 'the body is not JSON')
  }
  const parsed = CompletionReq.safeParse(json)
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw refusal('malformed_request', `${issue?.path.join('.') ?? 'body'}: ${issue?.message ?? 'invalid'}`)
}

function serviceOf (route: Route, cfg: ConfigIndex): Service {
  const service = cfg.service(route.service)
  if (service === undefined) throw refusal('unknown_route', `there is no service ${route.service}`)
  return service
}

function refusal (reason: RefusalReason, message?: string): Refusal {
  return new Refusal(reason, { step: 'parse', ran: 'no', ...(message === undefined ? {} : { message }) })
}

function toRefusal (err: unknown, started: boolean): Refusal {
  if (err instanceof Refusal) return err
  const ran: ExecutionState = started ? 'yes' : 'maybe'
  return new Refusal('internal_error', { step: 'settle', ran, message: err instanceof Error ? err.message : String(err) })
}
