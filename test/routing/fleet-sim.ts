/** Simulates targets that process one request after the other, and routers that receive the same delayed reports. */
import { LeastOutstandingRouter, type RoutedTarget, type RouteReq, type Router } from '../../src/routing/index.js'
import { CACHE_BLOCK_TOKENS } from '../../src/target-clients/index.js'
import { SeededRandom, type VirtualTime } from '../../src/time/index.js'

/** Tokens per second of each simulated target. */
export const TOKENS_PER_S = 1_000

/** Creates targets `t0`, `t1`, … of service `m`. */
export function createTargets (count: number, overrides: Partial<RoutedTarget> = {}): RoutedTarget[] {
  return Array.from({ length: count }, (_, index) => ({ name: `t${index}`, service: 'm', domain: 'a', url: `http://t${index}`, leaving: false, role: 'mixed', ...overrides }))
}

/** Creates a request for service `m`. */
export function createRouteReq (overrides: Partial<RouteReq> = {}): RouteReq {
  return { service: 'm', chain: [], promptTokens: 100, outputTokens: 0, exclude: new Set(), ...overrides }
}

/** Baseline: the target with the lowest wait of all, by the last report and the router's own requests since. */
export class LowestWaitRouter extends LeastOutstandingRouter {
  private readonly waits = new Map<string, number>()

  constructor (private readonly allTargets: readonly RoutedTarget[]) {
    super()
    this.setTargets(allTargets)
  }

  override choose (): { target: RoutedTarget } {
    return { target: this.allTargets.reduce((lowest, next) => (this.waits.get(next.name) ?? 0) < (this.waits.get(lowest.name) ?? 0) ? next : lowest) }
  }

  override noteSent (_attempt: string, target: string, req?: RouteReq): void {
    this.waits.set(target, (this.waits.get(target) ?? 0) + (req?.promptTokens ?? 0))
  }

  override applyLoad (target?: string, report?: { pending_prefill_tokens: number }): void {
    if (target !== undefined && report !== undefined) this.waits.set(target, report.pending_prefill_tokens)
  }
}

/** Result of a run: waits in ms, and the fraction of prompt blocks that were cached. */
export interface SimResult {
  readonly meanMs: number
  readonly p95Ms: number
  readonly hitRate: number
}

/** Options of a run. */
export interface SimOptions {
  readonly targets: number
  /** Fraction of the targets' capacity that the requests use on average. */
  readonly utilization: number
  readonly reportIntervalMs: number
  readonly durationS: number
  /** Number of distinct prompts of four blocks; when absent, prompts are shorter than a block. */
  readonly prompts?: number
  /** Number of prompt blocks that a target caches; unlimited when absent. */
  readonly cacheBlocks?: number
}

/** Sends requests of random size through randomly chosen routers. */
export async function simulate (time: VirtualTime, routers: readonly Router[], options: SimOptions): Promise<SimResult> {
  const random = new SeededRandom(99)
  const busyUntil = new Map<string, number>()
  const caches = new Map<string, Map<string, true>>()
  const waits: number[] = []
  let cachedBlocks = 0
  let blocks = 0
  const meanTokens = options.prompts === undefined ? 100 : 4 * CACHE_BLOCK_TOKENS
  const intervalMs = meanTokens / TOKENS_PER_S * 1_000 / (options.utilization * options.targets)
  const names = createTargets(options.targets).map((target) => target.name)
  const requestCount = Math.floor(options.durationS * 1_000 / intervalMs)
  let nextReport = 0
  for (let index = 0; index < requestCount; index++) {
    await time.advance(intervalMs)
    const now = time.now()
    if (now >= nextReport) {
      nextReport = now + options.reportIntervalMs
      for (const name of names) for (const router of routers) router.applyLoad(name, createReport(time, (busyUntil.get(name) ?? 0) - now))
    }
    const prompt = options.prompts === undefined ? undefined : Math.floor(random.next() ** 2 * options.prompts)
    const chain = prompt === undefined ? [] : [0, 1, 2, 3].map((block) => `${prompt}/${block}`)
    const promptTokens = prompt === undefined ? Math.ceil(random.next() * 200) : meanTokens
    const req = createRouteReq({ chain, promptTokens })
    const router = routers[Math.floor(random.next() * routers.length)]!
    const target = router.choose(req)!.target.name
    const cache = caches.get(target) ?? new Map<string, true>()
    caches.set(target, cache)
    const cached = chain.filter((block) => cache.has(block)).length
    for (const block of chain) { cache.delete(block); cache.set(block, true) }
    while (cache.size > (options.cacheBlocks ?? Infinity)) cache.delete(cache.keys().next().value!)
    cachedBlocks += cached
    blocks += chain.length
    const start = Math.max(now, busyUntil.get(target) ?? 0)
    const end = start + (promptTokens - cached * CACHE_BLOCK_TOKENS) / TOKENS_PER_S * 1_000
    busyUntil.set(target, end)
    waits.push(start - now)
    router.noteSent(`a${index}`, target, req)
    time.after(end - now, () => { router.noteFinished(`a${index}`, 'ok'); router.notePrefilled?.(target, req) })
  }
  waits.sort((a, b) => a - b)
  return { meanMs: waits.reduce((sum, wait) => sum + wait, 0) / waits.length, p95Ms: waits[Math.floor(waits.length * 0.95)]!, hitRate: blocks === 0 ? 0 : cachedBlocks / blocks }
}

/** Creates the load report of a target whose queue drains in `remainingMs`. */
export function createReport (time: VirtualTime, remainingMs: number, overrides: { at?: number, running?: number } = {}) {
  return {
    at: time.wallTimeMs(), running: 0, waiting: 0, pending_prefill_tokens: Math.max(0, remainingMs) * TOKENS_PER_S / 1_000, pending_decode_tokens: 0, prefill_rate: TOKENS_PER_S, decode_rate: TOKENS_PER_S, ...overrides
  }
}
