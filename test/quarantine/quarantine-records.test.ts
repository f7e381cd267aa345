import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as log from '../../src/log/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const BAD: calls.Prompt = { promptTokens: 9, outputTokens: 1, segments: [{ id: 'bad', tokens: 5 }, { id: 'own', tokens: 4 }] }

const KEY = `${quarantine.QUARANTINE_PREFIX}bad`

function setUp () {
  const virtual = new time.VirtualTime()
  const store = new standin.MemoryStore(virtual)
  const start = (selfName: string, gateways: readonly string[]): { segments: quarantine.SegmentQuarantine, records: quarantine.QuarantineRecords } => {
    const segments = new quarantine.SegmentQuarantine({ clock: virtual, selfName, gateways: () => gateways, log: log.SILENT_LOGGER })
    const records = new quarantine.QuarantineRecords({ env: virtual.env(1), store, quarantine: segments, log: log.SILENT_LOGGER })
    records.start()
    return { segments, records }
  }
  const crash = async (segments: quarantine.SegmentQuarantine): Promise<void> => {
    for (const target of ['a', 'b', 'c']) {
      segments.noteLost({ prompt: BAD, target: build.aTarget(target), sentAt: virtual.now(), firstEventAt: undefined })
      await virtual.advance(100)
    }
  }
  return { virtual, store, start, crash }
}

describe('QuarantineRecords', () => {
  it('keeps a quarantined segment over the end of all gateways, also when the store is down as they start', async () => {
    const { virtual, store, start, crash } = setUp()
    const first = start('g0', ['g0'])
    await crash(first.segments)
    await virtual.advance(1_000)
    first.records[Symbol.dispose]()
    store.faults.down = true
    const second = start('g0', ['g0'])
    await virtual.advance(2_000)
    chai.expect(second.segments.admit(BAD, new Set())).to.equal(undefined)
    store.faults.down = false
    await virtual.advance(1_000)
    chai.expect(second.segments.admit(BAD, new Set())).to.be.greaterThan(0)
  })

  it('writes a segment from one gateway only, again after a write that failed, and nothing while no segment is quarantined', async () => {
    const { virtual, store, start, crash } = setUp()
    const gateways = ['g0', 'g1', 'g2', 'g3'].map((name, _, names) => start(name, names))
    await virtual.advance(5_000)
    chai.expect(store.calls.writes).to.equal(0)
    store.faults.down = true
    for (const { segments } of gateways) await crash(segments)
    await virtual.advance(1_000)
    store.faults.down = false
    await virtual.advance(2_000)
    chai.expect([store.peek(KEY) !== undefined, store.calls.writes]).to.deep.equal([true, 1])
  })

  it('removes a segment that was cleared, and drops what is malformed or too old', async () => {
    const { virtual, store, start, crash } = setUp()
    const old = JSON.stringify({ suspect: { id: 'old', clearances: 0, crashes: ['a', 'b', 'c'] }, writtenAt: virtual.wallTimeMs() - 25 * 3_600_000 })
    for (const [name, value] of [['x', 'no json'], ['old', old]] as const) {
      await Promise.all([store.put(quarantine.QUARANTINE_PREFIX + name, value, 'absent'), virtual.advance(10)])
    }
    const { segments } = start('g0', ['g0'])
    await crash(segments)
    await virtual.advance(1_000)
    chai.expect(store.keys(quarantine.QUARANTINE_PREFIX)).to.deep.equal([KEY])
    segments.noteAnswered(BAD)
    await virtual.advance(1_000)
    chai.expect(store.keys(quarantine.QUARANTINE_PREFIX)).to.deep.equal([])
  })
})
