/**
 * A stand-in model engine: prompts are prefilled one at a time, all streams decode together, the KV cache of
 * prompts is cached in prefix blocks, and a load report is a snapshot that is renewed at intervals.
 */
import { Err, Ok, type Result } from '../errors/index.js'
import type { CacheEvent, EngineOrder, EngineState, LoadReport, Role } from '../schema/index.js'
import type {
  CacheBatch, Engine, GenerateEnd, GenerateReq, OrderReply, PieceSink, TargetError
} from '../target-clients/index.js'
import { countTokens, CACHE_BLOCK_TOKENS, prefixChain } from '../target-clients/index.js'
import { delay, type Clock, type Timers } from '../time/index.js'
import { ModelText } from './model-text.js'

/** Performance and configuration of a stand-in engine. */
export interface EngineSpec {
  readonly name: string
  readonly models: readonly string[]
  readonly role: Role
  readonly checksFence: boolean
  /** Prompt tokens per second. */
  readonly prefillRate: number
  /** Time between tokens of a stream while at most `fullSpeedStreams` run, in ms. */
  readonly tokenMs: number
  /** Streams that run together at full speed; with more of them, all slow down in proportion. */
  readonly fullSpeedStreams: number
  /** Capacity of the prompt cache, in prefix blocks. */
  readonly cacheCapacityBlocks: number
  /** Time to change the role or to load a model, in ms. */
  readonly changeMs: number
  /** Interval at which the load report is renewed, in ms. */
  readonly reportIntervalMs: number
}

/** A small engine. */
export const DEFAULT_ENGINE: EngineSpec = {
  name: 'engine',
  models: ['inspect-llm'],
  role: 'mixed',
  checksFence: true,
  prefillRate: 20_000,
  tokenMs: 20,
  fullSpeedStreams: 8,
  cacheCapacityBlocks: 256,
  changeMs: 5_000,
  reportIntervalMs: 500
}

/** Faults that tests inject. */
export interface EngineFaults {
  /** The process is down: connections are refused. */
  crashed: boolean
  /** Streams stop delivering output but stay open. */
  stalled: boolean
  /** Breaks the connection of the next stream that reaches this number of chunks; then reset. */
  breakAfterChunks: number | undefined
  /** Requests for the load report fail. */
  loadReportsFail: boolean
}

/** An order that the engine received and its reply, for assertions. */
export interface ReceivedOrder {
  readonly id: string
  readonly fence: number
  readonly order: EngineOrder
  readonly reply: OrderReply
  readonly at: number
}

/** Factor by which decoding slows down while the engine prefills a prompt. */
const PREFILL_INTERFERENCE_FACTOR = 2

/** Time to transfer one prefix block of KV cache between engines, in ms. */
const KV_COPY_MS_PER_BLOCK = 4

/** Latest cache events that can be read; a reader that requests older ones gets a gap. */
const MAX_CACHE_EVENTS = 1_024

/** One stand-in engine. */
export class StandinEngine implements Engine {
  readonly faults: EngineFaults = { crashed: false, stalled: false, breakAfterChunks: undefined, loadReportsFail: false }
  readonly receivedOrders: ReceivedOrder[] = []
  /** Ids of the attempts whose execution began. */
  readonly startedAttempts: string[] = []
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
  private readonly cachedPrefixes = new Map<string, true>()
  private readonly kvTokens = new Map<string, number>()
  private readonly cacheEventLog: CacheEvent[] = []
  private nextEventSeq = 0
  private loadReport: LoadReport | undefined

  constructor (readonly spec: EngineSpec, private readonly clock: Clock, private readonly timers: Timers) {
    this.role = spec.role
    this.models = new Set(spec.models)
  }

  /** Kills the process; orders, fencing tokens and caches are lost, so that a restarted engine has none of them. */
  crash (): void {
    this.faults.crashed = true
    this.role = this.spec.role
    this.models.clear()
    for (const model of this.spec.models) this.models.add(model)
    this.highestFence = 0
    this.lastOrder = ''
    this.activeOrder = ''
    this.draining = false
    this.cachedPrefixes.clear()
    this.kvTokens.clear()
  }

  /** Whether an order is in progress, for assertions. */
  get isChanging (): boolean {
    return this.activeOrder !== ''
  }

  /** The current role, for assertions. */
  get currentRole (): Role {
    return this.role
  }

  async generate (req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    const refusal = this.checkServing(req)
    if (refusal !== undefined) return Err(refusal)
    this.startedAttempts.push(req.id)
    this.running++
    this.pendingDecode += req.maxTokens
    let produced = 0
    try {
      const cached = await this.processPrompt(req, signal)
      const outcome = await this.decode(req, (chunk) => { produced++; return sink(chunk) }, signal)
      return outcome.map(() => ({ promptTokens: countTokens(req.prompt), cachedTokens: cached, outputTokens: produced }))
    } finally {
      this.running--
      this.pendingDecode -= req.maxTokens
    }
  }

  async prefill (req: GenerateReq, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    const refusal = this.checkServing(req)
    if (refusal !== undefined) return Err(refusal)
    const cached = await this.processPrompt(req, signal)
    if (this.faults.crashed) return Err(connectionBroken(this.spec.name))
    const promptTokens = countTokens(req.prompt)
    this.kvTokens.set(req.id, promptTokens)
    return Ok({ promptTokens, cachedTokens: cached, outputTokens: 0 })
  }

  async importKv (id: string, source: string, signal: AbortSignal): Promise<Result<void, TargetError>> {
    const tokens = Number(source)
    await delay(this.timers, Math.ceil((Number.isFinite(tokens) ? tokens : CACHE_BLOCK_TOKENS) / CACHE_BLOCK_TOKENS) * KV_COPY_MS_PER_BLOCK)
    if (this.faults.crashed || signal.aborted) return Err(connectionBroken(this.spec.name))
    this.kvTokens.set(id, Number.isFinite(tokens) ? tokens : 0)
    return Ok(undefined)
  }

  /** Tokens of the KV cache that is held for export under a request id. */
  exportedTokens (id: string): number | undefined {
    return this.kvTokens.get(id)
  }

  async load (): Promise<Result<LoadReport, TargetError>> {
    if (this.faults.crashed || this.faults.loadReportsFail) return Err(connectionRefused(this.spec.name))
    const now = this.clock.wallTimeMs()
    if (this.loadReport === undefined || now - this.loadReport.at >= this.spec.reportIntervalMs) this.loadReport = this.measureLoad(now)
    return Ok(this.loadReport)
  }

  async cacheEvents (since: number): Promise<Result<CacheBatch, TargetError>> {
    if (this.faults.crashed) return Err(connectionRefused(this.spec.name))
    return Ok({ events: this.cacheEventLog.filter((event) => event.seq >= since), next: this.nextEventSeq })
  }

  async state (): Promise<Result<EngineState, TargetError>> {
    if (this.faults.crashed) return Err(connectionRefused(this.spec.name))
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
    if (this.faults.crashed) return Err(connectionRefused(this.spec.name))
    const reply = this.replyToOrder(id, fence)
    this.receivedOrders.push({ id, fence, order, reply, at: this.clock.now() })
    if (reply === 'accepted' && id !== this.activeOrder && id !== this.lastOrder) this.startOrder(id, order)
    return Ok(reply)
  }

  private checkServing (req: GenerateReq): TargetError | undefined {
    if (this.faults.crashed) return connectionRefused(this.spec.name)
    if (this.activeOrder !== '' || this.draining || !this.models.has(req.model)) {
      return { kind: 'not_run', ran: 'no', message: `${this.spec.name}: not serving ${req.model}` }
    }
    return undefined
  }

  private replyToOrder (id: string, fence: number): OrderReply {
    if (this.spec.checksFence && fence < this.highestFence) return 'stale_fence'
    this.highestFence = Math.max(this.highestFence, fence)
    return this.activeOrder !== '' && this.activeOrder !== id ? 'busy' : 'accepted'
  }

  private startOrder (id: string, order: EngineOrder): void {
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

  /** Queues and prefills a prompt; returns the number of tokens that did not need prefill. */
  private async processPrompt (req: GenerateReq, signal: AbortSignal): Promise<number> {
    const chain = prefixChain(req.model, req.prompt)
    const cached = Math.min(countTokens(req.prompt), this.countCachedBlocks(chain) * CACHE_BLOCK_TOKENS)
    const imported = req.kv === undefined ? 0 : this.kvTokens.get(req.kv) ?? 0
    const uncachedTokens = Math.max(0, countTokens(req.prompt) - Math.max(cached, imported))
    this.pendingPrefill += uncachedTokens
    const startAt = Math.max(this.clock.now(), this.prefillBusyUntil)
    this.prefillBusyUntil = startAt + uncachedTokens / this.spec.prefillRate * 1_000
    await delay(this.timers, this.prefillBusyUntil - this.clock.now())
    this.pendingPrefill -= uncachedTokens
    if (!signal.aborted) for (const prefix of chain) this.cachePrefix(prefix)
    return Math.max(cached, imported)
  }

  private async decode (req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<void, TargetError>> {
    let text = ModelText.start(req.prompt, req.seed)
    for (let index = 0; index < req.maxTokens; index++) {
      // Chunks before `from` were already delivered by the attempt that is resumed.
      if (index >= req.from) await delay(this.timers, this.tokenIntervalMs())
      if (signal.aborted) return Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' })
      if (this.faults.crashed || this.consumeBreakAt(index)) return Err(connectionBroken(this.spec.name))
      if (this.faults.stalled) return await this.stallUntilAborted(signal)
      if (index >= req.from) await sink({ index, text: text.word })
      text = text.advance()
    }
    return Ok(undefined)
  }

  private consumeBreakAt (index: number): boolean {
    if (this.faults.breakAfterChunks !== index) return false
    this.faults.breakAfterChunks = undefined
    return true
  }

  private async stallUntilAborted (signal: AbortSignal): Promise<Result<void, TargetError>> {
    await new Promise<void>((resolve) => { signal.addEventListener('abort', () => resolve(), { once: true }) })
    return Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' })
  }

  private tokenIntervalMs (): number {
    const loadFactor = Math.max(1, this.running / this.spec.fullSpeedStreams)
    const prefillFactor = this.prefillBusyUntil > this.clock.now() ? PREFILL_INTERFERENCE_FACTOR : 1
    return this.spec.tokenMs * loadFactor * prefillFactor
  }

  private measureLoad (at: number): LoadReport {
    return {
      at,
      running: this.running,
      waiting: Math.max(0, this.running - this.spec.fullSpeedStreams),
      pending_prefill_tokens: this.pendingPrefill,
      pending_decode_tokens: this.pendingDecode,
      prefill_rate: this.spec.prefillRate,
      decode_rate: 1_000 / this.spec.tokenMs * this.spec.fullSpeedStreams
    }
  }

  private countCachedBlocks (chain: readonly string[]): number {
    const missing = chain.findIndex((prefix) => !this.cachedPrefixes.has(prefix))
    return missing < 0 ? chain.length : missing
  }

  private cachePrefix (prefix: string): void {
    if (this.cachedPrefixes.delete(prefix)) {
      this.cachedPrefixes.set(prefix, true)
      return
    }
    this.cachedPrefixes.set(prefix, true)
    this.addCacheEvent('stored', prefix)
    const oldest = this.cachedPrefixes.keys().next()
    if (this.cachedPrefixes.size > this.spec.cacheCapacityBlocks && oldest.done !== true) {
      this.cachedPrefixes.delete(oldest.value)
      this.addCacheEvent('evicted', oldest.value)
    }
  }

  private addCacheEvent (kind: CacheEvent['kind'], prefix: string): void {
    this.cacheEventLog.push({ seq: this.nextEventSeq++, kind, prefix })
    if (this.cacheEventLog.length > MAX_CACHE_EVENTS) this.cacheEventLog.shift()
  }
}

function connectionRefused (name: string): TargetError {
  return { kind: 'connect_failed', ran: 'no', message: `${name}: connection refused` }
}

function connectionBroken (name: string): TargetError {
  return { kind: 'broken', ran: 'maybe', message: `${name}: connection broken` }
}
