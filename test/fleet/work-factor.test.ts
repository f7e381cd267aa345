import * as chai from 'chai'
import * as platformTarget from '../../platform/target-protocol.js'
import * as fleet from '../../src/fleet/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

describe('WorkFactor', () => {
  it('follows the newest report, which decays towards normal, and ignores one that arrives late', () => {
    const work = new fleet.WorkFactor()
    chai.expect([work.known, work.at(0)]).to.deep.equal([false, 1])
    work.note(2.5, 100)
    work.note(1, 50)
    chai.expect(work.at(100)).to.equal(2.5)
    chai.expect(work.at(400)).to.equal(1.75)
    chai.expect(work.at(10_000)).to.be.within(0.99, 1.01)
    work.note(1, 500)
    chai.expect(work.at(500)).to.equal(1)
  })

  it('is the fourth field of the load header, in percent; malformed values are ignored and the other fields are not', () => {
    const load = (text: string) => new platformTarget.HttpTargetProtocol().decodeHead(200, { 'server-load': text }).load
    chai.expect(load('3,1,8,250')).to.deep.equal({ running: 3, waiting: 1, slots: 8, workFactor: 2.5 })
    for (const field of ['', ' ', '0', '-5', 'x', 'NaN', 'Infinity', '1e9', '99999999']) chai.expect(load(`3,1,8,${field}`), field).to.deep.equal({ running: 3, waiting: 1, slots: 8 })
  })

  it('slows the expected prefill, and leaves the learned speed as it is at normal speed', () => {
    const [state] = build.aFleet(new time.VirtualTime(), [build.aTarget('e', { stage: 'decode' })]).ofService('s')
    const normal = state!.prefillTokensPerMs(0)
    state!.applyReportedLoad({ running: 0, waiting: 0, slots: 4, workFactor: 2 }, 0)
    chai.expect(state!.prefillTokensPerMs(0)).to.be.closeTo(normal / 2, 0.1)
    for (let sample = 0; sample < 40; sample++) state!.notePrefill({ tokens: 4_000, promptTokens: 4_000, tokensAhead: 0, ms: 4_000 / normal * 2 }, 0)
    chai.expect(state!.prefillTokensPerMs(0)).to.be.closeTo(normal / 2, 0.1)
  })
})
