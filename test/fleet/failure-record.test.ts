import * as chai from 'chai'
import * as fleet from '../../src/fleet/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

function aState (): fleet.TargetState {
  return build.aFleet(new time.VirtualTime(), [build.aTarget('a')]).ofService('s')[0]!
}

describe('FailureRecord', () => {
  it('a target that was only silent for a second is used again from its next byte on, as if it had not been silent', () => {
    const state = aState()
    for (let index = 0; index < 10; index++) state.failures.record('silent', 0, 350)
    chai.expect(state.acceptsCalls(700)).to.equal(false)
    chai.expect(state.failures.failureRate(700)).to.be.greaterThan(0.8)
    state.noteByte(700)
    chai.expect(state.acceptsCalls(700)).to.equal(true)
    chai.expect(state.failures.failureRate(700)).to.be.within(0, 0.001)
  })

  it('a byte on an open connection does not end the pause of a target that cannot be reached or refuses', () => {
    for (const outcome of ['unreachable', 'refused'] as const) {
      const state = aState()
      state.failures.record(outcome, 0, 10)
      state.failures.record('silent', 0, 20)
      state.noteByte(30)
      chai.expect([outcome, state.acceptsCalls(40)]).to.deep.equal([outcome, false])
      chai.expect(state.failures.failureRate(40)).to.be.greaterThan(0.3)
    }
  })

  it('pauses a target that stays silent longer each time, but only once for attempts that were sent before a pause ended', () => {
    const { failures } = aState()
    failures.record('silent', 0, 350)
    failures.record('silent', 100, 400)
    chai.expect([failures.isUsable(749), failures.isUsable(750)]).to.deep.equal([false, true])
    failures.record('silent', 750, 1_100)
    chai.expect([failures.isUsable(1_899), failures.isUsable(1_900)]).to.deep.equal([false, true])
  })
})
