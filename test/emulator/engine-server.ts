/** A model server of the platform: prefill in order of arrival, several streams at once, cached segments, KV handles. */
import type * as http from 'node:http'
import type * as serving from '../../src/serving/index.js'
import * as httpServer from './http-server.js'
import type * as observations from './observations.js'
import type * as plainServer from './plain-server.js'

const TICK_MS = 5

/** Prefill speed by stage, in tokens per ms. */
const TOKENS_PER_MS: Readonly<Record<serving.Stage, number>> = { prefill: 120, decode: 50 }

/** Time between two events of a stream, in ms. */
const EVENT_MS = 25

/** Longest hold of a request for cache events, in ms, and how many are held at once. */
const MAX_EVENT_WAIT_MS = 1_000
const MAX_EVENT_WAITERS = 12

interface CacheEvent {
  readonly number: number
  readonly id: string
  readonly tokens: number
}

interface Segment {
  readonly id: string
  readonly tokens: number
}

interface Job {
  readonly id: string
  readonly segments: readonly Segment[]
  readonly promptTokens: number
  readonly outputEvents: number
  readonly res: http.ServerResponse
  readonly run: observations.Run
  remainingTokens: number
}

/** One engine. */
export class EngineServer implements AsyncDisposable {
  fault: plainServer.ServerFault = 'none'
  private readonly cached = new Map<string, number>()
  private readonly events: CacheEvent[] = []
  private readonly eventWaiters = new Set<() => void>()
  private readonly pending: Job[] = []
  private readonly streams = new Set<{ readonly job: Job, nextAt: number }>()
  private readonly handles = new Set<string>()
  private orders = 0
  private nextHandle = 1
  private readonly ticker: Disposable
  private server!: httpServer.HttpServer

  private constructor (readonly id: string, public stage: serving.Stage, readonly slots: number, private readonly deps: plainServer.ServerDeps) {
    this.ticker = deps.env.timers.every(TICK_MS, () => this.tick())
  }

  static async start (id: string, stage: serving.Stage, slots: number, deps: plainServer.ServerDeps): Promise<EngineServer> {
    const created = new EngineServer(id, stage, slots, deps)
    created.server = await httpServer.HttpServer.listen(async (req, res) => await created.handle(req, res))
    return created
  }

  get address (): string {
    return this.server.address
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.ticker[Symbol.dispose]()
    await this.server[Symbol.asyncDispose]()
  }

  private async handle (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const body = await httpServer.readBody(req)
    const expected = req.headers['expect-instance']
    const path = (req.url ?? '').split('?')[0]!
    if (expected !== undefined && expected !== this.id) httpServer.sendJson(res, 421, {}, { 'instance-id': this.id })
    else if (path === '/-/kv-events') this.sendEvents(req, res)
    else if (path === '/-/report') httpServer.sendJson(res, 200, { stage: this.stage, busy: false, seq: this.orders, queued: 0, active: this.streams.size })
    else if (path === '/-/order') this.takeOrder(res, JSON.parse(body.toString()) as { stage: serving.Stage })
    else if (path.startsWith('/-/kv-handle/')) this.releaseHandle(res, path.slice('/-/kv-handle/'.length))
    else this.accept(req, res)
  }

  private takeOrder (res: http.ServerResponse, order: { stage: serving.Stage }): void {
    this.orders++
    this.stage = order.stage
    httpServer.sendJson(res, 202, {})
  }

  private releaseHandle (res: http.ServerResponse, handle: string): void {
    httpServer.sendJson(res, this.handles.delete(handle) ? 200 : 404, {})
  }

  private accept (req: http.IncomingMessage, res: http.ServerResponse): void {
    const id = String(req.headers['request-id'] ?? '')
    const prefillOnly = req.headers.stage === 'prefill'
    const busy = this.pending.length + this.streams.size >= this.slots * 2
    if (busy || (prefillOnly && this.stage !== 'prefill')) { httpServer.sendJson(res, busy ? 503 : 421, {}, { ...this.head(id), 'not-executed': '1' }); return }
    const [promptTokens = 0, outputTokens = 0] = String(req.headers['token-count'] ?? '').split(',').map(Number)
    const segments = String(req.headers['prompt-prefix'] ?? '').split(',').map((entry) => {
      const [segment = '', tokens = '0'] = entry.split(':')
      return { id: segment, tokens: Number(tokens) }
    })
    const resumedAfter = Number(req.headers['last-event-id'] ?? 0)
    const run: observations.Run = { server: this.id, account: req.headers.tenant as string | undefined, prefillOnly, startedAt: this.deps.env.clock.now(), resumedAfter, events: resumedAfter }
    const job: Job = { id, segments, promptTokens, outputEvents: outputEvents(outputTokens), res, run, remainingTokens: -1 }
    const handle = /\/([\w-]+)$/.exec(String(req.headers['kv-source'] ?? ''))?.[1]
    if (handle === undefined) this.pending.push(job)
    else this.startStream(job)
  }

  private head (id: string): http.OutgoingHttpHeaders {
    return { 'request-id': id, 'server-load': `${this.streams.size},${this.pending.length},${this.slots}` }
  }

  private tick (): void {
    let budget = TICK_MS * TOKENS_PER_MS[this.stage]
    while (budget > 0 && this.pending.length > 0) {
      const job = this.pending[0]!
      if (job.res.destroyed) { this.pending.shift(); continue }
      if (job.remainingTokens < 0) job.remainingTokens = Math.max(1, job.promptTokens - this.cachedTokens(job.segments))
      const tokens = Math.min(budget, job.remainingTokens)
      budget -= tokens
      job.remainingTokens -= tokens
      if (job.remainingTokens <= 0) this.finishPrefill(this.pending.shift()!)
    }
    const now = this.deps.env.clock.now()
    for (const stream of [...this.streams]) {
      if (stream.job.res.destroyed) this.streams.delete(stream)
      else if (now >= stream.nextAt) this.sendEvent(stream, now)
    }
  }

  private cachedTokens (segments: readonly Segment[]): number {
    let tokens = 0
    for (const segment of segments) {
      if (!this.cached.has(segment.id)) break
      tokens += segment.tokens
    }
    return tokens
  }

  private finishPrefill (job: Job): void {
    for (const { id, tokens } of job.segments) {
      if (this.cached.has(id)) continue
      this.cached.set(id, tokens)
      this.events.push({ number: this.events.length + 1, id, tokens })
    }
    for (const wake of [...this.eventWaiters]) wake()
    if (!job.run.prefillOnly) { this.startStream(job); return }
    const kvHandle = `h${this.nextHandle++}`
    this.handles.add(kvHandle)
    httpServer.sendJson(job.res, 200, { kvHandle, tokens: job.promptTokens, version: 1 }, this.head(job.id))
  }

  private startStream (job: Job): void {
    this.deps.observations.ran(job.id, job.run)
    if (this.fault === 'stall') return
    if (this.fault === 'lose_answer') { job.res.destroy(); return }
    job.res.writeHead(200, { ...this.head(job.id), 'content-type': 'text/event-stream', 'response-stamp': `${this.id}.${job.id}` })
    const stream = { job, nextAt: 0 }
    this.streams.add(stream)
    this.sendEvent(stream, this.deps.env.clock.now())
  }

  private sendEvent (stream: { readonly job: Job, nextAt: number }, now: number): void {
    const { job } = stream
    job.run.events++
    const text = eventText(job.id, job.run.events)
    if (this.fault === 'break_off' && job.run.events > 1) {
      this.streams.delete(stream)
      job.res.write(text.slice(0, text.length / 2), () => job.res.destroy())
      return
    }
    job.res.write(text)
    stream.nextAt = now + EVENT_MS
    if (job.run.events < job.outputEvents) return
    this.streams.delete(stream)
    job.res.end()
  }

  private sendEvents (req: http.IncomingMessage, res: http.ServerResponse): void {
    const since = Number(new URL(req.url ?? '/', 'http://engine').searchParams.get('since') ?? 0)
    const waitMs = Math.min(MAX_EVENT_WAIT_MS, Number(req.headers['wait-ms'] ?? 0))
    if (this.eventWaiters.size >= MAX_EVENT_WAITERS) { httpServer.sendJson(res, 429, {}); return }
    const send = (): void => {
      this.eventWaiters.delete(send)
      timer[Symbol.dispose]()
      const events = this.events.slice(since).map((event) => [event.number, '+', '', event.id, event.tokens, 'm'])
      httpServer.sendJson(res, 200, { epoch: this.id, next: this.events.length, lost: false, events })
    }
    const timer = this.deps.env.timers.after(this.events.length > since ? 0 : waitMs, send)
    this.eventWaiters.add(send)
  }
}

/** Number of events of a stream with at most `outputTokens`. */
export function outputEvents (outputTokens: number): number {
  return Math.max(1, Math.ceil(outputTokens / 10))
}

/** The text of one event of a stream. */
export function eventText (id: string, event: number): string {
  return `id: ${event}\ndata: ${id} part ${event}\n\n`
}
