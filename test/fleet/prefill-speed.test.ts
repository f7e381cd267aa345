import * as chai from 'chai'
import * as fleet from '../../src/fleet/index.js'

describe('PrefillSpeed', () => {
  it('starts from the prior and approaches what attempts show', () => {
    const speed = new fleet.PrefillSpeed(() => 100)
    chai.expect(speed.tokensPerMs(0)).to.equal(100)
    for (let index = 0; index < 40; index++) speed.note(5_000, 100, index)
    chai.expect(speed.tokensPerMs(50)).to.be.within(48, 55)
  })

  it('is not misled by one attempt that took long for another reason', () => {
    const speed = new fleet.PrefillSpeed(() => 50)
    for (let index = 0; index < 40; index++) speed.note(5_000, 100, index)
    speed.note(5_000, 60_000, 50)
    chai.expect(speed.tokensPerMs(50)).to.be.above(45)
  })

  it('tells a slow engine from the others of its stage, and trusts it again after a while', () => {
    const speeds = new fleet.StageSpeeds()
    const engine = speeds.createEngineSpeed('s', 'prefill')
    for (let index = 0; index < 20; index++) speeds.of('s', 'prefill').note(6_000, 100, index)
    for (let index = 0; index < 20; index++) engine.note(6_000, 400, 20)
    chai.expect(engine.tokensPerMs(20)).to.be.below(25)
    chai.expect(speeds.of('s', 'prefill').tokensPerMs(20)).to.be.above(55)
    chai.expect(engine.tokensPerMs(60_000)).to.be.above(55)
  })
})
