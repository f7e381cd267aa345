/** Difference between two texts that share a prefix and a suffix. */

/** A text that replaces the middle of another one, of which the first `head` and the last `tail` characters stay. */
export interface Splice {
  readonly head: number
  readonly tail: number
  readonly text: string
}

/** Computes the splice that turns `before` into `after`. */
export function makeSplice (before: string, after: string): Splice {
  const limit = Math.min(before.length, after.length)
  let head = 0
  while (head < limit && before[head] === after[head]) head++
  let tail = 0
  while (tail < limit - head && before[before.length - 1 - tail] === after[after.length - 1 - tail]) tail++
  return { head, tail, text: after.slice(head, after.length - tail) }
}

/** Applies a splice. If it was made for another text, the result is wrong, which the check of the digest detects. */
export function applySplice (before: string, splice: Splice): string {
  return before.slice(0, splice.head) + splice.text + before.slice(before.length - splice.tail)
}
