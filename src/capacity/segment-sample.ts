/** A sample of the shared prompt segments in use, from which their total size is estimated. */
import * as z from 'zod'
import * as hash from '../hash/index.js'

/** Number of segments in a sample: those with the smallest hashes. The estimate is off by about 12%. */
const SAMPLE_SIZE = 64

/** Time after which a segment that is not used again leaves the sample, in ms; at the latest after twice as long. */
const GENERATION_MS = 10_000

/** Uses from which on a segment counts: to keep one that was used once has no known use. */
const MIN_USES = 2

const HASH_RANGE = 2 ** 32

/** A sampled segment: the hash of its id, its tokens, and the number of its uses. */
export const SegmentRow = z.tuple([z.int(), z.int(), z.int()])
export type SegmentRow = z.infer<typeof SegmentRow>

/** Merges samples: uses of a segment add up, and the segments with the smallest hashes stay. */
export function mergeSamples (samples: ReadonlyArray<readonly SegmentRow[]>): SegmentRow[] {
  const merged = new Map<number, SegmentRow>()
  for (const [id, tokens, uses] of samples.flat()) {
    const known = merged.get(id)
    merged.set(id, [id, Math.max(tokens, known?.[1] ?? 0), uses + (known?.[2] ?? 0)])
  }
  return [...merged.values()].sort((a, b) => a[0] - b[0]).slice(0, SAMPLE_SIZE)
}

/** Estimated tokens of all distinct segments that were used repeatedly. */
export function estimateTokens (sample: readonly SegmentRow[]): number {
  const tokens = sample.filter(([, , uses]) => uses >= MIN_USES).reduce((sum, row) => sum + row[1], 0)
  // A sample that is not full has all segments; a full one has those up to its largest hash.
  return sample.length < SAMPLE_SIZE ? tokens : tokens * HASH_RANGE / (sample.at(-1)![0] + 1)
}

/** Samples the segments that are used at one gateway. */
export class SegmentSample {
  private current = new Map<number, SegmentRow>()
  private previous = new Map<number, SegmentRow>()
  private rotatedAt = -Infinity
  /** Hashes from here on are too large for the sample. */
  private limit = HASH_RANGE

  /** Notes a use of a segment. */
  note (id: string, tokens: number, now: number): void {
    this.rotate(now)
    const key = hash.hash32(id)
    if (key >= this.limit) return
    this.current.set(key, [key, Math.round(tokens), (this.current.get(key)?.[2] ?? 0) + 1])
    if (this.current.size > 2 * SAMPLE_SIZE) this.shrink()
  }

  /** Segments used recently. */
  rows (now: number): SegmentRow[] {
    this.rotate(now)
    return mergeSamples([[...this.current.values()], [...this.previous.values()]])
  }

  private rotate (now: number): void {
    if (now - this.rotatedAt < GENERATION_MS) return
    this.previous = now - this.rotatedAt < 2 * GENERATION_MS ? this.current : new Map()
    this.current = new Map()
    this.limit = HASH_RANGE
    this.rotatedAt = now
  }

  private shrink (): void {
    const kept = mergeSamples([[...this.current.values()]])
    this.current = new Map(kept.map((row) => [row[0], row]))
    this.limit = kept.at(-1)![0] + 1
  }
}
