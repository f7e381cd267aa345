/** Targets as queues that work one request after the other, and routers that see the same late reports. */
import { LeastSentRouter, type RoutedTarget, type RouteReq, type Router } from '../../src/routing/index.js'
import { CACHE_BLOCK_TOKENS } from '../../src/target-clients/index.js'
import { SeededRandom, type VirtualTime } from '../../src/time/index.js'

/** Tokens per second of every simulated target. */
export const RATE = 1_000

/** Targets `t0`, `t1`, … of service `m`. */
export function targetList (count: number, change: Partial<RoutedTarget> = {}): RoutedTarget[] {
  return Array.from({ length: count }, (_, index) => ({ name: `t${index}`, service: 'm', domain: 'a', url: `http://t${index}`, leaving: false, role: 'mixed', ...change }))
}

/** What a request with a prompt of `promptTokens` needs. */
export function needOf (change: Partial<RouteReq> = {}): RouteReq {
  return { service: 'm', chain: [], promptTokens: 100, outputTokens: 0, exclude: new Set(), ...change }
}

/** Baseline: the lowest wait of all targets by the last report and own sends since. */
export class GlobalBestRouter extends LeastSentRouter {
  private readonly waits = new Map<string, number>()

  constructor (private readonly names: readonly RoutedTarget[]) {
    super()
    this.setTargets(names)
  }

  override choose (): { target: RoutedTarget } {
    return { target: this.names.reduce((best, next) => (this.waits.get(next.name) ?? 0) < (this.waits.get(best.name) ?? 0) ? next : best) }
  }

  override noteSent (_attempt: string, target: string, need?: RouteReq): void {
    this.waits.set(target, (this.waits.get(target) ?? 0) + (need?.promptTokens ?? 0))
  }

  override applyLoad (target?: string, report?: { pending_prefill_tokens: number }): void {
    if (target !== undefined && report !== undefined) this.waits.set(target, report.pending_prefill_tokens)
  }
}

/** Result of a run: waits in ms, and the share of prompt pieces that were cached. */
export interface SimResult {
  readonly meanMs: number
  readonly p95Ms: number
  readonly hitRate: number
}

/** Options of a run. */
export interface SimOptions {
  readonly targets: number
  readonly load: number
  readonly reportMs: number
  readonly seconds: number
  /** Number of different prompts of four pieces; 0 for prompts without whole pieces. */
  readonly prompts?: number
  /** Pieces one target caches. */
  readonly cachePieces?: number
}

/** Sends requests of random size through random routers. */
export async function simulate (time: VirtualTime, routers: readonly Router[], options: SimOptions): Promise<SimResult> {
  const random = new SeededRandom(99)
  const busyUntil = new Map<string, number>()
  const caches = new Map<string, Map<string, true>>()
  const waits: number[] = []
  let hits = 0
  let pieces = 0
  const meanTokens = options.prompts === undefined ? 100 : 4 * CACHE_BLOCK_TOKENS
  const gapMs = meanTokens / RATE * 1_000 / (options.load * options.targets)
  const names = targetList(options.targets).map((target) => target.name)
  const count = Math.floor(options.seconds * 1_000 / gapMs)
  let nextReport = 0
  for (let index = 0; index < count; index++) {
    await time.advance(gapMs)
    const now = time.now()
    if (now >= nextReport) {
      nextReport = now + options.reportMs
      for (const name of names) for (const router of routers) router.applyLoad(name, reportOf(time, (busyUntil.get(name) ?? 0) - now))
    }
    const prompt = options.prompts === undefined ? undefined : Math.floor(random.next() ** 2 * options.prompts)
    const chain = prompt === undefined ? [] : [0, 1, 2, 3].map((piece) => `${prompt}/${piece}`)
    const promptTokens = prompt === undefined ? Math.ceil(random.next() * 200) : meanTokens
    const need = needOf({ chain, promptTokens })
    const router = routers[Math.floor(random.next() * routers.length)]!
    const target = router.choose(need)!.target.name
    const cache = caches.get(target) ?? new Map<string, true>()
    caches.set(target, cache)
    const cached = chain.filter((piece) => cache.has(piece)).length
    for (const piece of chain) { cache.delete(piece); cache.set(piece, true) }
    while (cache.size > (options.cachePieces ?? Infinity)) cache.delete(cache.keys().next().value!)
    hits += cached
    pieces += chain.length
    const start = Math.max(now, busyUntil.get(target) ?? 0)
    const end = start + (promptTokens - cached * CACHE_BLOCK_TOKENS) / RATE * 1_000
    busyUntil.set(target, end)
    waits.push(start - now)
    router.noteSent(`a${index}`, target, need)
    time.after(end - now, () => { router.noteFinished(`a${index}`, 'ok'); router.notePrefilled?.(target, need) })
  }
  waits.sort((a, b) => a - b)
  return { meanMs: waits.reduce((sum, wait) => sum + wait, 0) / waits.length, p95Ms: waits[Math.floor(waits.length * 0.95)]!, hitRate: pieces === 0 ? 0 : hits / pieces }
}

/** A report of a target whose queue lasts another `leftMs`. */
export function reportOf (time: VirtualTime, leftMs: number, change: { at?: number, running?: number } = {}) {
  return {
    at: time.wallTimeMs(), running: 0, waiting: 0, pending_prefill_tokens: Math.max(0, leftMs) * RATE / 1_000, pending_decode_tokens: 0, prefill_rate: RATE, decode_rate: RATE, ...change
  }
}
