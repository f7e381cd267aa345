/**
 * Tokens that engines of one stage prefill per ms when they are busy. The time of a single prompt is longer than its share of that:
 * part of it does not depend on the prompt, and other gateways' prompts may be ahead that were not known yet. So the time is
 * taken from the fastest of prompts of similar size, and the part that does not depend on the size is left out.
 */

/** Samples of a stage that are remembered: the newest ones. */
const MAX_SAMPLES = 240

/** Samples of similar size that give one point of the line of time over tokens. */
const GROUP_SIZE = 16

/** Groups without which no throughput is known. */
const MIN_GROUPS = 3

/** Ratio of the largest size to the smallest one without which the line is not known. */
const MIN_SIZE_RATIO = 3

/** Part of a group that counts as not having waited. */
const FASTEST_SHARE = 0.25

/** Samples after which the line is calculated anew. */
const RECALCULATE_AFTER = 16

/** A prefill without known prompts ahead. */
export interface PrefillSample {
  readonly tokens: number
  /** Time from the send until the prompt was prefilled, in ms. */
  readonly ms: number
}

/** Learns from the prefills of one stage. */
export class StageThroughput {
  private readonly samples: PrefillSample[] = []
  private next = 0
  private notedSince = RECALCULATE_AFTER
  private known: number | undefined

  /** Notes a prefill. */
  note (sample: PrefillSample): void {
    this.samples[this.next] = sample
    this.next = (this.next + 1) % MAX_SAMPLES
    this.notedSince++
  }

  /** Tokens per ms of a busy engine; undefined while too few prefills are known. */
  get tokensPerMs (): number | undefined {
    if (this.notedSince >= RECALCULATE_AFTER) {
      this.notedSince = 0
      this.known = this.calculate()
    }
    return this.known
  }

  private calculate (): number | undefined {
    const points = groupBySize(this.samples).map(fastestOf)
    if (points.length < MIN_GROUPS || points.at(-1)!.tokens < MIN_SIZE_RATIO * points[0]!.tokens) return undefined
    const msPerToken = slopeOf(points)
    return msPerToken > 0 ? 1 / msPerToken : undefined
  }
}

function groupBySize (samples: readonly PrefillSample[]): PrefillSample[][] {
  const sorted = [...samples].sort((a, b) => a.tokens - b.tokens)
  const groups: PrefillSample[][] = []
  for (let start = 0; start + GROUP_SIZE <= sorted.length; start += GROUP_SIZE) groups.push(sorted.slice(start, start + GROUP_SIZE))
  return groups
}

/** The point of a group: its mean size, and the time of those that did not wait, for that size. */
function fastestOf (group: readonly PrefillSample[]): PrefillSample {
  const tokens = group.reduce((sum, sample) => sum + sample.tokens, 0) / group.length
  const byTime = group.map((sample) => sample.ms * tokens / sample.tokens).sort((a, b) => a - b)
  return { tokens, ms: byTime[Math.floor(byTime.length * FASTEST_SHARE)]! }
}

/** Slope of the line through points, each weighted so that relative errors count. */
function slopeOf (points: readonly PrefillSample[]): number {
  let [weights, x, y, xx, xy] = [0, 0, 0, 0, 0]
  for (const { tokens, ms } of points) {
    const weight = 1 / (ms * ms)
    weights += weight
    x += weight * tokens
    y += weight * ms
    xx += weight * tokens * tokens
    xy += weight * tokens * ms
  }
  return (weights * xy - x * y) / (weights * xx - x * x)
}
