/** Work that calls give to the engines of a service, as counters that only grow. */

/** The counters, in the order in which gateways exchange them. */
export const WORK_FIELDS = ['prefillTokens', 'mixedPrefillTokens', 'slotMs', 'kvTokenSeconds', 'calls', 'late', 'refused'] as const

/**
 * Counters of one service: tokens that prefill-only engines and mixed ones had to prefill, time in the slots of mixed engines,
 * tokens of running calls over time, calls that ended, and those among them that were late or refused for want of capacity.
 */
export type Work = Readonly<Record<typeof WORK_FIELDS[number], number>>

/** No work. */
export const NO_WORK: Work = { prefillTokens: 0, mixedPrefillTokens: 0, slotMs: 0, kvTokenSeconds: 0, calls: 0, late: 0, refused: 0 }

/** Combines two sets of counters, counter by counter. */
export function combineWork (a: Work, b: Work, combine: (a: number, b: number) => number): Work {
  return {
    prefillTokens: combine(a.prefillTokens, b.prefillTokens),
    mixedPrefillTokens: combine(a.mixedPrefillTokens, b.mixedPrefillTokens),
    slotMs: combine(a.slotMs, b.slotMs),
    kvTokenSeconds: combine(a.kvTokenSeconds, b.kvTokenSeconds),
    calls: combine(a.calls, b.calls),
    late: combine(a.late, b.late),
    refused: combine(a.refused, b.refused)
  }
}

/** Work of `a` and `b` together. */
export function addWork (a: Work, b: Work): Work {
  return combineWork(a, b, (x, y) => x + y)
}

/** By how much `later` exceeds `earlier`; 0 for a counter that does not. */
export function workSince (later: Work, earlier: Work): Work {
  return combineWork(later, earlier, (x, y) => Math.max(0, x - y))
}
