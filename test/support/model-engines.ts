/**
 * Engines in virtual time: they prefill prompts in the order of arrival, generate for several streams at once, more
 * slowly while they prefill, cache segments, and transfer KV caches. Time advances in ticks.
 */
import type * as calls from '../../src/call/index.js'
import type * as serving from '../../src/serving/index.js'
import type * as time from '../../src/time/index.js'
import type * as upstream from '../../src/upstream/index.js'

const TICK_MS = 10

/** Sizes and speeds of all engines of a fleet. */
export interface EngineSizes {
  /** Prefill speed of each stage, in tokens per ms. */
  readonly tokensPerMs: Readonly<Record<serving.Stage, number>>
  /** Time between two tokens of a stream, without and with prefill at the same time, in ms. */
  readonly tokenMs: number
  readonly tokenMsDuringPrefill: number
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number
  readonly kvCapacityTokens: number
  /** Time to transfer the KV cache of one token, in ms. */
  readonly transferMsPerToken: number
  /** Speed of an engine against its stage, by address; all are alike without it. */
  readonly speedFactor?: (address: string) => number
  /** How long work takes at an engine at a time, 1 is normal; reported in the load header. */
  readonly workFactor?: (address: string, now: number) => number
  /** Whether engines leave the work factor out of the load header. */
  readonly reportsNormal?: boolean
  /** Time that each kilotoken of context adds to a token, as a share of its time without context. */
  readonly contextShare?: number
  /** Whether a prompt waits until the KV cache has room for it beside those of the running streams. */
  readonly waitsForRoom?: boolean
  /** Called when an engine has cached or evicted a segment; 0 tokens for an evicted one. */
  readonly onCacheChange?: (address: string, id: string, tokens: number) => void
}

interface PendingPrefill {
  readonly call: calls.Call
  readonly plan: calls.SendPlan
  readonly handler: upstream.ResponseHandler
  remainingTokens: number
}

interface RunningStream {
  readonly handler: upstream.ResponseHandler
  readonly totalTokens: number
  readonly heldTokens: number
  tokens: number
  events: number
}

class ModelEngine {
  private readonly cached = new Map<string, number>()
  readonly pending: PendingPrefill[] = []
  readonly streams = new Set<RunningStream>()
  /** Prompt tokens that were prefilled. */
  prefilledTokens = 0

  constructor (private readonly record: serving.TargetRecord, private readonly sizes: EngineSizes, private readonly clock: Pick<time.Clock, 'now'>) {}

  cachedTokens (prompt: calls.Prompt): number {
    let tokens = 0
    for (const segment of prompt.segments) {
      if (!this.cached.has(segment.id)) return tokens
      tokens += segment.tokens
    }
    return tokens
  }

  /** Caches segments up to a number of tokens of a prompt; the least recently used segments are evicted. */
  cache (prompt: calls.Prompt, upToTokens = Infinity): void {
    let tokens = 0
    for (const segment of prompt.segments) {
      tokens += segment.tokens
      if (tokens > upToTokens) break
      if (!this.cached.delete(segment.id)) this.sizes.onCacheChange?.(this.record.address, segment.id, segment.tokens)
      this.cached.set(segment.id, segment.tokens)
    }
    let total = [...this.cached.values()].reduce((sum, size) => sum + size, 0)
    for (const [id, size] of this.cached) {
      if (total <= this.sizes.kvCapacityTokens) return
      this.cached.delete(id)
      this.sizes.onCacheChange?.(this.record.address, id, 0)
      total -= size
    }
  }

  private get workFactor (): number { return this.sizes.workFactor?.(this.record.address, this.clock.now()) ?? 1 }

  /** Headers of a response. */
  head (id: string): Readonly<Record<string, string>> {
    const load = `${this.streams.size},${this.pending.length},${this.record.slots}`
    return { 'request-id': id, 'server-load': this.sizes.workFactor === undefined || this.sizes.reportsNormal === true ? load : `${load},${Math.round(this.workFactor * 100)}` }
  }

  /** Work of the prompt of a job: tokens that are not cached, those with context before them count more. */
  private workTokens ({ call: { prompt } }: PendingPrefill): number {
    const tokens = Math.max(1, prompt!.promptTokens - this.cachedTokens(prompt!))
    return tokens * (1 + (this.sizes.contextShare ?? 0) * (prompt!.promptTokens - tokens / 2) / 1_000)
  }

  private hasRoom ({ call: { prompt } }: PendingPrefill): boolean {
    let held = 0
    for (const stream of this.streams) held += stream.heldTokens
    return this.sizes.waitsForRoom !== true || held === 0 || held + prompt!.promptTokens + prompt!.outputTokens <= this.sizes.kvCapacityTokens
  }

  enqueue (call: calls.Call, plan: calls.SendPlan, handler: upstream.ResponseHandler): void {
    this.pending.push({ call, plan, handler, remainingTokens: -1 })
  }

  startStream (call: calls.Call, handler: upstream.ResponseHandler): void {
    const stream = { handler, totalTokens: Math.max(1, call.prompt!.outputTokens), heldTokens: call.prompt!.promptTokens + call.prompt!.outputTokens, tokens: 0, events: 0 }
    this.streams.add(stream)
    handler.onHead(200, this.head(call.id))
    this.generate(stream, 1)
  }

  tick (): void {
    const prefilling = this.pending.length > 0
    let budgetTokens = TICK_MS * this.sizes.tokensPerMs[this.record.stage ?? 'decode'] * (this.sizes.speedFactor?.(this.record.address) ?? 1) / this.workFactor
    while (budgetTokens > 0 && this.pending.length > 0) {
      const job = this.pending[0]!
      if (job.remainingTokens < 0 && !this.hasRoom(job)) break
      // What calls ahead have prefilled meanwhile is found in the cache.
      if (job.remainingTokens < 0) job.remainingTokens = this.workTokens(job)
      const tokens = Math.min(budgetTokens, job.remainingTokens)
      budgetTokens -= tokens
      job.remainingTokens -= tokens
      this.prefilledTokens += tokens
      if (job.remainingTokens <= 0) this.finishPrefill(this.pending.shift()!)
    }
    const tokens = TICK_MS / (prefilling ? this.sizes.tokenMsDuringPrefill : this.sizes.tokenMs)
    for (const stream of [...this.streams]) this.generate(stream, tokens)
  }

  private finishPrefill ({ call, plan, handler }: PendingPrefill): void {
    this.cache(call.prompt!)
    if (plan.prefillOnly !== true) {
      this.startStream(call, handler)
      return
    }
    handler.onHead(200, this.head(call.id))
    handler.onData(Buffer.from(JSON.stringify({ kvHandle: 'h' })))
    handler.onEnd()
  }

  private generate (stream: RunningStream, tokens: number): void {
    stream.tokens += tokens
    const done = stream.tokens >= stream.totalTokens
    const events = done ? stream.events + 1 : Math.ceil(stream.tokens / this.sizes.tokensPerEvent)
    for (; stream.events < events; stream.events++) stream.handler.onData(Buffer.from(`id: ${stream.events + 1}\ndata: x\n\n`))
    if (!done || !this.streams.delete(stream)) return
    stream.handler.onEnd()
  }
}

/** A fleet of model engines, and the protocol that hands them the plans of the sends. */
export class ModelEngines implements upstream.Upstream {
  private readonly engines = new Map<string, ModelEngine>()
  private readonly plans = new Map<string, { readonly call: calls.Call, readonly plan: calls.SendPlan }>()
  private nextPlan = 0

  constructor (private readonly clock: time.VirtualTime, private readonly sizes: EngineSizes, records: readonly serving.TargetRecord[]) {
    for (const record of records) this.engines.set(record.address, new ModelEngine(record, sizes, clock))
    clock.every(TICK_MS, () => { for (const engine of this.engines.values()) engine.tick() })
  }

  /** Encodes sends for these engines; everything else is decoded as `base` does. */
  protocol (base: calls.TargetProtocol): calls.TargetProtocol {
    return {
      encodeHeaders: (call, plan) => {
        const id = String(this.nextPlan++)
        this.plans.set(id, { call, plan })
        return ['plan', id]
      },
      decodeHead: (status, headers) => base.decodeHead(status, headers),
      decodeKvHandle: (body) => base.decodeKvHandle(body),
      encodeKvRelease: (handle) => base.encodeKvRelease(handle)
    }
  }

  /** Prompt tokens that all engines have prefilled. */
  get prefilledTokens (): number {
    let tokens = 0
    for (const engine of this.engines.values()) tokens += engine.prefilledTokens
    return tokens
  }

  send (req: upstream.SendReq, handler: upstream.ResponseHandler): upstream.ActiveRequest {
    const { call, plan } = this.plans.get(req.headers[1]!)!
    const engine = this.engines.get(req.address)!
    let ended = false
    const forward: upstream.ResponseHandler = {
      onHead: (status, headers) => { if (!ended) handler.onHead(status, headers) },
      onData: (chunk) => { if (!ended) handler.onData(chunk) },
      onEnd: () => { if (!ended) handler.onEnd() },
      onError: (err) => { if (!ended) handler.onError(err) }
    }
    this.clock.after(this.transferIn(engine, call.prompt!, plan), () => { if (!ended) this.start(engine, call, plan, forward) })
    const abort = (): void => {
      ended = true
      const index = engine.pending.findIndex((job) => job.handler === forward)
      if (index >= 0) engine.pending.splice(index, 1)
      for (const stream of engine.streams) if (stream.handler === forward) engine.streams.delete(stream)
    }
    return { written: true, reused: false, abort, pause: () => {}, resume: () => {} }
  }

  private start (engine: ModelEngine, call: calls.Call, plan: calls.SendPlan, handler: upstream.ResponseHandler): void {
    if (plan.kvSource === undefined) engine.enqueue(call, plan, handler)
    else engine.startStream(call, handler)
  }

  /** Copies what a plan has transferred to the engine; returns the time of the transfer in ms. */
  private transferIn (engine: ModelEngine, prompt: calls.Prompt, plan: calls.SendPlan): number {
    if (plan.kvSource !== undefined) {
      engine.cache(prompt)
      return prompt.promptTokens * this.sizes.transferMsPerToken
    }
    const source = plan.fetchFrom === undefined ? undefined : this.engines.get(plan.fetchFrom)
    const fetchedTokens = (source?.cachedTokens(prompt) ?? 0) - engine.cachedTokens(prompt)
    if (fetchedTokens <= 0) return 0
    engine.cache(prompt, source!.cachedTokens(prompt))
    return fetchedTokens * this.sizes.transferMsPerToken
  }
}
