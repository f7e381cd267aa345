import * as chai from 'chai'
import * as gateway from '../../src/gateway/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as time from '../../src/time/index.js'
import * as fixtures from '../support/forwarder-fixture.js'

// A gateway that could do nothing for seconds left no line and no figure that told so.
describe('LoopMonitor', () => {
  function setUp (cpuMsPerPause: number) {
    const virtual = new time.VirtualTime()
    const lines: fixtures.LogLine[] = []
    const note = (fields: object, event: string): void => { lines.push({ event, fields: { ...fields } }) }
    const counters = new metrics.Metrics()
    let cpuMs = 0
    let pausedMs = 0
    const clock: time.Clock = { now: () => virtual.now() + pausedMs, wallTimeMs: () => virtual.wallTimeMs() }
    const monitor = new gateway.LoopMonitor({ env: { ...virtual.env(1), clock }, cpuMs: () => cpuMs, log: { debug: note, info: note, warn: note, error: note }, metrics: counters })
    const pause = (ms: number): void => {
      pausedMs += ms
      cpuMs += cpuMsPerPause
    }
    monitor.start()
    return { virtual, lines, counters, pause }
  }

  it('logs how long no timer ran, and the processor time that was used meanwhile', async () => {
    const { virtual, lines, counters, pause } = setUp(1_900)
    await virtual.advance(1_000)
    chai.expect(lines).to.deep.equal([])
    pause(2_000)
    await virtual.advance(1_000)
    chai.expect(lines).to.deep.equal([{ event: 'event_loop_delayed', fields: { ms: 2_000, cpu_ms: 1_900 } }])
    chai.expect(counters.percentileMs('godwitpoint_event_loop_delay', 100)).to.be.within(1_980, 2_020)
  })

  it('logs nothing of a delay that no caller notices', async () => {
    const { virtual, lines, pause } = setUp(0)
    await virtual.advance(1_000)
    pause(200)
    await virtual.advance(1_000)
    chai.expect(lines).to.deep.equal([])
  })
})
