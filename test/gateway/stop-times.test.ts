import * as chai from 'chai'
import * as stopTimes from '../../src/gateway/stop-times.js'

describe('the times of a stop', () => {
  it('are in order, with the end of calls in the last sixth, for any grace period', () => {
    for (const graceMs of [300, 1_000, 3_000, 8_000, 30_000, 120_000]) {
      const { acceptUntil, callsEndAt, responsesEndAt, exitAt } = new stopTimes.StopTimes(1_000, graceMs)
      const times = [1_000, acceptUntil, 1_000 + graceMs * 5 / 6, callsEndAt, responsesEndAt, exitAt, 1_000 + graceMs]
      chai.expect(times).to.deep.equal([...new Set(times)].sort((one, other) => one - other))
    }
  })

  // A stream may be cut off in the last sixth of the grace period only if its call was sent within 3 s.
  it('accept no call that arrives later than 3 s after the start', () => {
    for (const graceMs of [8_000, 30_000]) chai.expect(new stopTimes.StopTimes(0, graceMs).acceptUntil).to.be.at.most(3_000)
  })
})
