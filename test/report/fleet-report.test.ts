import * as chai from 'chai'
import { allOutcomesHold, mergeReports, renderReport, type EntryReport } from '../../src/report/index.js'

describe('mergeReports', () => {
  it('reports that timeliness does not hold when one entry exceeds a latency objective', () => {
    const merged = mergeReports([createEntryReport({}), createEntryReport({ services: [createServiceReport(500)] })], [])
    chai.expect(merged.holds.timely).to.equal(false)
    chai.expect(renderReport(merged)).to.match(/^timely +NOT OK$/m)
  })

  it('sums the work of an account over entries before it evaluates its share', () => {
    const rows = [
      { service: 's', account: 'a', weight: 1, work: 10, waiting: 1 },
      { service: 's', account: 'b', weight: 1, work: 90, waiting: 1 }
    ]
    const other = [{ ...rows[0]!, work: 80 }]
    chai.expect(mergeReports([createEntryReport({ accounts: rows })], []).worst?.ratio).to.equal(0.2)
    chai.expect(mergeReports([createEntryReport({ accounts: rows }), createEntryReport({ accounts: other })], []).holds.fair).to.equal(true)
  })

  it('lists entries with an older configuration, and does not hold when an entry does not respond', () => {
    const merged = mergeReports([createEntryReport({ generation: 4 }), createEntryReport({ generation: 5 })], ['127.0.0.1:1'])
    chai.expect(merged.concerns.map((concern) => concern.kind)).to.deep.equal(['config_lag'])
    chai.expect(allOutcomesHold(merged)).to.equal(false)
  })
})

function createServiceReport (ttft: number): EntryReport['services'][number] {
  return { service: 's', requests: 1, refused: 0, ttft_p95_ms: ttft, itl_p95_ms: 10, ttft_target_ms: 390, itl_target_ms: 48 }
}

function createEntryReport (overrides: Partial<EntryReport>): EntryReport {
  return {
    entry: 'e', incarnation: 'e-1', state: 'ready', generation: 5, services: [createServiceReport(100)], accounts: [], concerns: [], spending: [], ...overrides
  }
}
