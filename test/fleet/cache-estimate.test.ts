import * as chai from 'chai'
import * as fleet from '../../src/fleet/index.js'
import * as memory from '../support/memory.js'

/** Segments that an estimate tracks at most. */
const MAX_SEGMENTS = 20_000

/** Updates of an estimate, and bytes of the heap that each may leave behind: less than any object takes. */
const UPDATES = 1_000_000
const MAX_KEPT_BYTES = 1

/** A way in which segments of an estimate are updated, and how many segments are. */
interface UpdateSource {
  readonly source: string
  readonly segments: number
  readonly update: (estimate: fleet.CacheEstimate, id: string) => void
}

const UPDATE_SOURCES: readonly UpdateSource[] = [
  { source: 'prompts of calls', segments: 300, update: (estimate, id) => estimate.addPrompt({ promptTokens: 10, outputTokens: 1, segments: [{ id, tokens: 10 }] }) },
  { source: 'reports of the target', segments: 300, update: (estimate, id) => estimate.applyReport(id, 10) },
  { source: 'reports of evictions', segments: 300, update: (estimate, id) => [0, 10].forEach((tokens) => estimate.applyReport(id, tokens)) },
  { source: 'reports to a full estimate', segments: MAX_SEGMENTS, update: (estimate, id) => estimate.applyReport(id, 10) }
]

describe('CacheEstimate', () => {
  // Each segment beyond the bound passed all deleted ones before the oldest: 80,000 changes stopped the process for seconds.
  it('drops the least recently updated segments beyond its bound, also after it was emptied, in a time that does not grow', () => {
    const estimate = new fleet.CacheEstimate()
    const startedAt = performance.now()
    for (const round of ['a', 'b']) {
      for (let index = 0; index < 100_000; index++) {
        estimate.applyReport(`${round}-${index}`, 10)
        if (index % 1_000 === 0) estimate.applyReport(`${round}-0`, 20)
        estimate.tokensOf(`${round}-1`)
      }
      chai.expect(['0', '99999', '80001', '80000', '1'].map((index) => estimate.tokensOf(`${round}-${index}`))).to.deep.equal([20, 10, 10, 0, 0])
      chai.expect(estimate.totalTokens).to.equal(20 + (MAX_SEGMENTS - 1) * 10)
      estimate.clear()
    }
    chai.expect(performance.now() - startedAt).to.be.lessThan(1_000)
  })

  // Deleted entries of the segment that is updated again and again made the estimate slower with each change.
  it('updates one segment in turn with the changes of a full estimate in a time that does not grow', () => {
    const estimate = new fleet.CacheEstimate()
    for (let index = 0; index < MAX_SEGMENTS; index++) estimate.applyReport(`first-${index}`, 10)
    const startedAt = performance.now()
    for (let index = 0; index < 100_000; index++) {
      estimate.applyReport(`later-${index}`, 10)
      estimate.applyReport('shared', 20)
    }
    chai.expect(performance.now() - startedAt).to.be.lessThan(1_000)
    chai.expect(estimate.totalTokens).to.equal(20 + (MAX_SEGMENTS - 1) * 10)
  })

  const segmentIds = Array.from({ length: MAX_SEGMENTS }, (_, index) => `segment-${index}`)

  for (const { source, segments, update } of UPDATE_SOURCES) {
    // Each update left 40 to 120 bytes behind for as long as the target lived, and gateways ended at their heap limit.
    it(`keeps no memory of past updates by ${source}`, () => {
      const estimate = new fleet.CacheEstimate()
      const updateAll = (count: number): void => {
        for (let index = 0; index < count; index++) update(estimate, segmentIds[index % segments]!)
      }
      updateAll(2 * segments)
      const before = memory.usedHeapBytes()
      updateAll(UPDATES)
      chai.expect(memory.usedHeapBytes() - before).to.be.lessThan(UPDATES * MAX_KEPT_BYTES)
      chai.expect(estimate.tokensOf(segmentIds[1]!)).to.equal(10)
    })
  }

  const prompt = { promptTokens: 300, outputTokens: 1, segments: [{ id: 'a', tokens: 200 }, { id: 'b', tokens: 50 }, { id: 'c', tokens: 50 }] }

  it('counts segments only up to the first that is not completely cached', () => {
    const estimate = new fleet.CacheEstimate()
    estimate.addPrompt(prompt)
    chai.expect(estimate.cachedTokens(prompt)).to.equal(300)
    estimate.applyReport('a', 100)
    chai.expect(estimate.cachedTokens(prompt)).to.equal(100)
    estimate.applyReport('a', 0)
    chai.expect(estimate.cachedTokens(prompt)).to.equal(0)
  })
})
