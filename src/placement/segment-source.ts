/** Engines from which another engine can fetch cached segments of a prompt. */
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'

/** Fewer cached tokens are not worth a fetch. */
const MIN_FETCH_TOKENS = 256

/** An engine that has the start of a prompt cached. */
export interface SegmentSource {
  readonly state: fleet.TargetState
  /** Tokens at the start of the prompt that are cached there. */
  readonly cachedTokens: number
}

/** The sources for one prompt: the engine with most of it cached in each failure domain, and the one with most of all. */
export class SegmentSources {
  private readonly byDomain = new Map<string, SegmentSource>()
  private best: SegmentSource | undefined
  /** Engines that have the start of the prompt cached. */
  readonly holders: SegmentSource[] = []

  /** Leaving engines are sources too: what they have cached can be rescued until they end. */
  constructor (prompt: calls.Prompt | undefined, states: readonly fleet.TargetState[], now: number) {
    if (prompt === undefined) return
    for (const state of states) {
      if (!state.failures.isUsable(now)) continue
      const cachedTokens = state.cache.cachedTokens(prompt)
      if (cachedTokens >= MIN_FETCH_TOKENS) this.add({ state, cachedTokens })
    }
  }

  /** The source for an engine, one in its own failure domain unless others have more cached; undefined when there is none. */
  bestFor (state: fleet.TargetState): SegmentSource | undefined {
    const near = this.byDomain.get(state.record.domain)
    const best = near !== undefined && near.cachedTokens >= this.best!.cachedTokens ? near : this.best
    return best?.state === state ? undefined : best
  }

  /** Most tokens at the start of the prompt that any engine has cached. */
  get cachedTokens (): number {
    return this.best?.cachedTokens ?? 0
  }

  private add (source: SegmentSource): void {
    this.holders.push(source)
    const { domain } = source.state.record
    if (source.cachedTokens > (this.byDomain.get(domain)?.cachedTokens ?? 0)) this.byDomain.set(domain, source)
    if (source.cachedTokens > (this.best?.cachedTokens ?? 0)) this.best = source
  }
}
