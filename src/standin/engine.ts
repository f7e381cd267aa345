/**
 * A stand-in model engine: prefill runs one prompt at a time, decode runs all streams together, prompts are
 * cached by prefix piece, and load reports are a snapshot taken at intervals.
 */
import { Err, Ok, type Result } from '../errors/index.js'
import type { CacheEvent, EngineOrder, EngineState, LoadReport, Role } from '../schema/index.js'
import type {
  CacheBatch, Engine, GenerateEnd, GenerateReq, OrderReply, PieceSink, TargetError
} from '../target-clients/index.js'
import { countTokens, CACHE_BLOCK_TOKENS, prefixChain } from '../target-clients/index.js'
import { delay, type Clock, type Timers } from '../time/index.js'
import { ModelText } from './model-text.js'

/** Rates and sizes of a stand-in engine. */
export interface EngineSpec {
  readonly name: string
  readonly models: readonly string[]
  readonly role: Role
  readonly checksFence: boolean
  /** Prompt tokens per second. */
  readonly prefillRate: number
  /** Time between tokens of one stream when few run, in ms. */
  readonly tokenMs: number
  /** Streams that run at full speed together; above, all slow down in proportion. */
  readonly batch: number
  /** Pieces of prompt cache kept. */
  readonly cachePieces: number
  /** Time a role change or load takes, in ms. */
  readonly changeMs: number
  /** Age of load reports, in ms. */
  readonly reportMs: number
}

/** Values of a small engine. */
export const DEFAULT_ENGINE: EngineSpec = {
  name: 'engine',
  models: ['inspect-llm'],
  role: 'mixed',
  checksFence: true,
  prefillRate: 20_000,
  tokenMs: 20,
  batch: 8,
  cachePieces: 256,
  changeMs: 5_000,
  reportMs: 500
}

/** Faults that tests switch on. */
export interface EngineFaults {
  /** Not reachable: connections are refused. */
  crashed: boolean
  /** Streams stop delivering for good without ending. */
  silent: boolean
  /** Breaks the next streams after this many pieces. */
  breakAfter: number | undefined
  /** Load reports fail. */
  noReports: boolean
}

/** An order as the engine received it, for checks. */
export interface ReceivedOrder {
  readonly id: string
  readonly fence: number
  readonly order: EngineOrder
  readonly reply: OrderReply
  readonly at: number
}

/** Decode slows by this factor while a prompt is being processed on the same engine. */
const INTERFERENCE = 2

/** Time to copy one piece of KV cache between engines, in ms. */
const KV_PIECE_MS = 4

/** Cache events kept for readers; older ones become a gap. */
const EVENTS_KEPT = 1_024

/** One stand-in engine. */
export class StandinEngine implements Engine {
  readonly faults: EngineFaults = { crashed: false, silent: false, breakAfter: undefined, noReports: false }
  readonly orders: ReceivedOrder[] = []
  /** Ids of attempts that started to run. */
  readonly started: string[] = []
  private role: Role
  private readonly models: Set<string>
  private highestFence = 0
  private lastOrder = ''
  private activeOrder = ''
  private draining = false
  private running = 0
  private pendingPrefill = 0
  private pendingDecode = 0
  private prefillBusyUntil = 0
  private readonly cache = new Map<string, true>()
  private readonly kv = new Map<string, number>()
  private readonly events: CacheEvent[] = []
  private sequence = 0
  private report: LoadReport | undefined

  constructor (readonly spec: EngineSpec, private readonly clock: Clock, private readonly timers: Timers) {
    this.role = spec.role
    this.models = new Set(spec.models)
  }

  /** Ends the process; one that is started later has forgotten its orders, fencing numbers and caches. */
  crash (): void {
    this.faults.crashed = true
    this.role = this.spec.role
    this.models.clear()
    for (const model of this.spec.models) this.models.add(model)
    this.highestFence = 0
    this.lastOrder = ''
    this.activeOrder = ''
    this.draining = false
    this.cache.clear()
    this.kv.clear()
  }

  /** Whether an order is being carried out, for checks. */
  get isChanging (): boolean {
    return this.activeOrder !== ''
  }

  /** The role in force, for checks. */
  get currentRole (): Role {
    return this.role
  }

  async generate (req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    const refused = this.refuse(req)
    if (refused !== undefined) return Err(refused)
    this.started.push(req.id)
    this.running++
    this.pendingDecode += req.maxTokens
    let produced = 0
    try {
      const cached = await this.processPrompt(req, signal)
      const outcome = await this.decode(req, (piece) => { produced++; return sink(piece) }, signal)
      return outcome.map(() => ({ promptTokens: countTokens(req.prompt), cachedTokens: cached, outputTokens: produced }))
    } finally {
      this.running--
      this.pendingDecode -= req.maxTokens
    }
  }

  async prefill (req: GenerateReq, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    const refused = this.refuse(req)
    if (refused !== undefined) return Err(refused)
    const cached = await this.processPrompt(req, signal)
    if (this.faults.crashed) return Err(broken(this.spec.name))
    const promptTokens = countTokens(req.prompt)
    this.kv.set(req.id, promptTokens)
    return Ok({ promptTokens, cachedTokens: cached, outputTokens: 0 })
  }

  async importKv (id: string, source: string, signal: AbortSignal): Promise<Result<void, TargetError>> {
    const tokens = Number(source)
    await delay(this.timers, Math.ceil((Number.isFinite(tokens) ? tokens : CACHE_BLOCK_TOKENS) / CACHE_BLOCK_TOKENS) * KV_PIECE_MS)
    if (this.faults.crashed || signal.aborted) return Err(broken(this.spec.name))
    this.kv.set(id, Number.isFinite(tokens) ? tokens : 0)
    return Ok(undefined)
  }

  /** Tokens of the KV cache kept for export under an id. */
  exportedTokens (id: string): number | undefined {
    return this.kv.get(id)
  }

  async load (): Promise<Result<LoadReport, TargetError>> {
    if (this.faults.crashed || this.faults.noReports) return Err(unreachable(this.spec.name))
    const now = this.clock.wallTimeMs()
    if (this.report === undefined || now - this.report.at >= this.spec.reportMs) this.report = this.measure(now)
    return Ok(this.report)
  }

  async cacheEvents (since: number): Promise<Result<CacheBatch, TargetError>> {
    if (this.faults.crashed) return Err(unreachable(this.spec.name))
    return Ok({ events: this.events.filter((event) => event.seq >= since), next: this.sequence })
  }

  async state (): Promise<Result<EngineState, TargetError>> {
    if (this.faults.crashed) return Err(unreachable(this.spec.name))
    return Ok({
      role: this.role,
      models: [...this.models],
      last_order: this.lastOrder,
      active_order: this.activeOrder,
      draining: this.draining,
      running: this.running
    })
  }

  async order (id: string, fence: number, order: EngineOrder): Promise<Result<OrderReply, TargetError>> {
    if (this.faults.crashed) return Err(unreachable(this.spec.name))
    const reply = this.accept(id, fence)
    this.orders.push({ id, fence, order, reply, at: this.clock.now() })
    if (reply === 'accepted' && id !== this.activeOrder && id !== this.lastOrder) this.carryOut(id, order)
    return Ok(reply)
  }

  private refuse (req: GenerateReq): TargetError | undefined {
    if (this.faults.crashed) return unreachable(this.spec.name)
    if (this.activeOrder !== '' || this.draining || !this.models.has(req.model)) {
      return { kind: 'not_run', ran: 'no', message: `${this.spec.name}: not serving ${req.model}` }
    }
    return undefined
  }

  private accept (id: string, fence: number): OrderReply {
    if (this.spec.checksFence && fence < this.highestFence) return 'stale_fence'
    this.highestFence = Math.max(this.highestFence, fence)
    return this.activeOrder !== '' && this.activeOrder !== id ? 'busy' : 'accepted'
  }

  private carryOut (id: string, order: EngineOrder): void {
    if (order.kind === 'drain') {
      this.draining = true
      this.lastOrder = id
      return
    }
    this.activeOrder = id
    this.timers.after(this.spec.changeMs, () => {
      if (this.activeOrder !== id) return
      if (order.kind === 'role') this.role = order.role
      if (order.kind === 'load') this.models.add(order.model)
      this.lastOrder = id
      this.activeOrder = ''
      this.draining = false
    })
  }

  /** Waits for the prompt's turn and its processing; returns the tokens found in the cache. */
  private async processPrompt (req: GenerateReq, signal: AbortSignal): Promise<number> {
    const chain = prefixChain(req.model, req.prompt)
    const cached = Math.min(countTokens(req.prompt), this.cachedPieces(chain) * CACHE_BLOCK_TOKENS)
    const imported = req.kv === undefined ? 0 : this.kv.get(req.kv) ?? 0
    const work = Math.max(0, countTokens(req.prompt) - Math.max(cached, imported))
    this.pendingPrefill += work
    const start = Math.max(this.clock.now(), this.prefillBusyUntil)
    this.prefillBusyUntil = start + work / this.spec.prefillRate * 1_000
    await delay(this.timers, this.prefillBusyUntil - this.clock.now())
    this.pendingPrefill -= work
    if (!signal.aborted) for (const prefix of chain) this.store(prefix)
    return Math.max(cached, imported)
  }

  private async decode (req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<void, TargetError>> {
    let text = ModelText.start(req.prompt, req.seed)
    for (let index = 0; index < req.maxTokens; index++) {
      // A resumed stream goes on where the engine had stopped.
      if (index >= req.from) await delay(this.timers, this.stepMs())
      if (signal.aborted) return Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' })
      if (this.faults.crashed || this.breaksAt(index)) return Err(broken(this.spec.name))
      if (this.faults.silent) return await this.silence(signal)
      if (index >= req.from) await sink({ index, text: text.word })
      text = text.advance()
    }
    return Ok(undefined)
  }

  private breaksAt (index: number): boolean {
    if (this.faults.breakAfter !== index) return false
    this.faults.breakAfter = undefined
    return true
  }

  private async silence (signal: AbortSignal): Promise<Result<void, TargetError>> {
    await new Promise<void>((resolve) => { signal.addEventListener('abort', () => resolve(), { once: true }) })
    return Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' })
  }

  private stepMs (): number {
    const crowding = Math.max(1, this.running / this.spec.batch)
    const busy = this.prefillBusyUntil > this.clock.now() ? INTERFERENCE : 1
    return this.spec.tokenMs * crowding * busy
  }

  private measure (at: number): LoadReport {
    return {
      at,
      running: this.running,
      waiting: Math.max(0, this.running - this.spec.batch),
      pending_prefill_tokens: this.pendingPrefill,
      pending_decode_tokens: this.pendingDecode,
      prefill_rate: this.spec.prefillRate,
      decode_rate: 1_000 / this.spec.tokenMs * this.spec.batch
    }
  }

  private cachedPieces (chain: readonly string[]): number {
    const missing = chain.findIndex((prefix) => !this.cache.has(prefix))
    return missing < 0 ? chain.length : missing
  }

  private store (prefix: string): void {
    if (this.cache.delete(prefix)) {
      this.cache.set(prefix, true)
      return
    }
    this.cache.set(prefix, true)
    this.publish('stored', prefix)
    const oldest = this.cache.keys().next()
    if (this.cache.size > this.spec.cachePieces && oldest.done !== true) {
      this.cache.delete(oldest.value)
      this.publish('evicted', oldest.value)
    }
  }

  private publish (kind: CacheEvent['kind'], prefix: string): void {
    this.events.push({ seq: this.sequence++, kind, prefix })
    if (this.events.length > EVENTS_KEPT) this.events.shift()
  }
}

function unreachable (name: string): TargetError {
  return { kind: 'connect_failed', ran: 'no', message: `${name}: connection refused` }
}

function broken (name: string): TargetError {
  return { kind: 'broken', ran: 'maybe', message: `${name}: connection broken` }
}
