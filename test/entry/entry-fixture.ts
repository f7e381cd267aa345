/** One entry in virtual time with stand-in engines and a stand-in plain service. */
import { FairAdmission } from '../../src/admission/index.js'
import { PageClaims, type Claims } from '../../src/claims/index.js'
import { checkConfig, ConfigIndex } from '../../src/config/index.js'
import { createKey, RequestHandler, type CallerReq, type CallerRes, type EntryDeps } from '../../src/entry/index.js'
import { Err, Ok } from '../../src/errors/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import { LeastOutstandingRouter, type RoutedTarget, type Router } from '../../src/routing/index.js'
import { DEFAULT_ENGINE, MemoryStore, StandinEngine, StandinPlain, type RecordedCall } from '../../src/standin/index.js'
import { STALL_TIMEOUT_MS, type Engine, type GenerateReq, type PieceSink } from '../../src/target-clients/index.js'
import { delay, VirtualTime } from '../../src/time/index.js'
import { UsageCounters } from '../../src/usage/index.js'

/** Seed of the random source of every fixture. */
const SEED = 5

/** A response as the caller receives it. */
export class TestRes implements CallerRes {
  started = false
  status = 0
  text = ''
  ended = false
  /** Set to simulate a caller that does not read: no chunk is read from the engine before it resolves. */
  pendingDrain: Promise<void> | undefined

  start (status: number): void {
    if (this.started) throw new Error('started twice')
    this.started = true
    this.status = status
  }

  write (text: string): void {
    this.text += text
  }

  end (body?: Uint8Array | string): void {
    if (body !== undefined) this.text += typeof body === 'string' ? body : new TextDecoder().decode(body)
    this.ended = true
  }

  drained (): Promise<void> | undefined {
    return this.pendingDrain
  }

  /** Events of a stream. */
  get events (): Array<{ index?: number, text?: string, usage?: unknown }> {
    return this.text.split('\n\n').filter((event) => event.startsWith('data: {')).map((event) => JSON.parse(event.slice(6)) as object)
  }

  /** Text of a stream's chunks. */
  get words (): string[] {
    return this.events.flatMap((event) => event.text === undefined ? [] : [event.text])
  }

  /** Reason and `ran` of a refusal, as `reason/ran`. */
  get refusal (): string {
    const body = JSON.parse(this.text.slice(this.text.lastIndexOf('{"error"'))) as { error: { reason: string, ran: string } }
    return `${body.error.reason}/${body.error.ran}`
  }
}

/** Options of a fixture. */
export interface FixtureOptions {
  readonly engines?: number
  readonly router?: (time: VirtualTime) => Router
  readonly roles?: ReadonlyArray<RoutedTarget['role']>
  readonly claims?: (time: VirtualTime, store: MemoryStore) => Claims
}

/** An entry with stand-ins for its dependencies, and methods to send requests to it. */
export class EntryFixture {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore(this.time)
  readonly engines: StandinEngine[]
  readonly records: RecordedCall[] = []
  readonly plain = new StandinPlain('plain-0', this.records, this.time)
  /** Requests that engines received, in order. */
  readonly sent: Array<GenerateReq & { readonly engine: string }> = []
  readonly cancelled: string[] = []
  /** The sink of each attempt's chunks, by attempt id. */
  readonly sinks = new Map<string, PieceSink>()
  readonly deps: EntryDeps
  readonly path: RequestHandler
  private readonly key = createKey()
  private index: ConfigIndex

  constructor (options: FixtureOptions = {}) {
    const env = this.time.env(SEED)
    this.engines = Array.from({ length: options.engines ?? 2 }, (_, index) => new StandinEngine({ ...DEFAULT_ENGINE, name: `engine-${index}`, models: ['m'] }, this.time, this.time))
    const router = options.router?.(this.time) ?? new LeastOutstandingRouter()
    router.setTargets([
      ...this.engines.map((engine, index) => ({ name: engine.spec.name, service: 'm', domain: 'a', url: engine.spec.name, leaving: false, role: options.roles?.[index] ?? 'mixed' as const })),
      { name: 'plain-0', service: 'p', domain: 'a', url: 'plain-0', leaving: false, role: 'mixed' }
    ])
    this.index = this.config(false)
    this.deps = {
      env,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
      incarnation: 'e0',
      config: { current: () => this.index, keysAreFresh: () => true, isWithdrawn: () => false },
      admission: new FairAdmission(env),
      router,
      claims: options.claims?.(this.time, this.store) ?? new PageClaims({
        env,
        store: this.store,
        onRetry: () => {},
        incarnation: 'e0',
        peerAddress: () => 'e0',
        owners: { isTerminated: () => false },
        peers: { handle: () => {}, call: async () => Err({ kind: 'refused', message: '' }) }
      }),
      targets: { engine: (url) => this.engineAt(url), plain: () => this.plain },
      usage: new UsageCounters(),
      advisor: { advise: () => ({ entries: [], ttl_ms: 0 }) }
    }
    this.deps.admission.setSlots('m', 64)
    this.deps.admission.setSlots('p', 64)
    this.path = new RequestHandler(this.deps)
  }

  /** Withdraws the caller's key. */
  withdrawKey (): void {
    this.index = this.config(true)
  }

  /** Sends a model call; `res` fills as time advances. */
  sendCompletion (body: object, signal = new AbortController().signal): TestRes {
    return this.send({ method: 'POST', path: '/v1/completions', body: JSON.stringify({ model: 'm', seed: 7, ...body }) }, signal)
  }

  /** Sends a plain call. */
  sendPlain (path: string, options: { method?: string, body?: string, idempotencyKey?: string } = {}, signal = new AbortController().signal): TestRes {
    return this.send({ method: options.method ?? 'POST', path, body: options.body ?? '', idempotencyKey: options.idempotencyKey }, signal)
  }

  /** Advances time until a response has ended. */
  async untilEnded (res: TestRes): Promise<TestRes> {
    await this.time.advanceUntil(() => res.ended, 120_000)
    return res
  }

  /** Usage of the model, as counted for its client account. */
  get usage (): { requests: number, prompt_tokens: number, output_tokens: number } {
    const row = this.deps.usage.rows().find((item) => item.service === 'm')
    return { requests: row?.requests ?? 0, prompt_tokens: row?.prompt_tokens ?? 0, output_tokens: row?.output_tokens ?? 0 }
  }

  private send (req: { method: string, path: string, body: string, idempotencyKey?: string | undefined }, signal: AbortSignal): TestRes {
    const res = new TestRes()
    const callerReq: CallerReq = {
      ...req, url: req.path, authorization: `Bearer ${this.key.text}`, idempotencyKey: req.idempotencyKey, contentType: 'application/json', body: new TextEncoder().encode(req.body), signal
    }
    this.path.handle(callerReq, res).catch((err: unknown) => { throw err })
    return res
  }

  /** The client of an engine; like the real one it abandons a stalled connection. */
  private engineAt (url: string): Engine {
    const engine = this.engines.find((item) => item.spec.name === url)
    if (engine === undefined) throw new Error(`no engine ${url}`)
    const generate: Engine['generate'] = async (req, sink, signal) => {
      this.sent.push({ ...req, engine: url })
      this.sinks.set(req.id, sink)
      signal.addEventListener('abort', () => this.cancelled.push(req.id))
      const stallTimeout = async () => {
        while (!engine.faults.stalled) await delay(this.time, 100)
        await delay(this.time, STALL_TIMEOUT_MS)
        return Err({ kind: 'silent' as const, ran: 'maybe' as const, message: 'silent' })
      }
      return await Promise.race([engine.generate(req, sink, signal), stallTimeout()])
    }
    return new Proxy(engine, { get: (target, name) => name === 'generate' ? generate : Reflect.get(target, name, target) as unknown })
  }

  private config (withdrawn: boolean): ConfigIndex {
    const checked = checkConfig({
      failure_domains: [{ name: 'a', region: 'r' }],
      profiles: [{ name: 'std', deadline_ms: 60_000 }],
      services: [{ name: 'm', kind: 'model', profile: 'std' }, { name: 'p', kind: 'plain', profile: 'std' }],
      routes: [
        { name: 'once', path: '/once', methods: ['POST'], service: 'p', repeatable: false },
        { name: 'again', path: '/again', methods: ['GET', 'POST'], service: 'p', repeatable: true }
      ],
      accounts: [{ name: 'acme' }],
      keys: [{ id: this.key.id, account: 'acme', digest: this.key.digest, withdrawn }]
    })
    return new ConfigIndex(withdrawn ? 2 : 1, (checked.ok ? Ok(checked.val) : checked).unwrap())
  }
}
