/** Repeatable random numbers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Random } from './types.js'

/** Random source that gives the same numbers for the same seed. */
export class SeededRandom implements Random {
  private readonly generator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  next (): number {
    return (this.generator.next() >>> 0) / 2 ** 32
  }
}
