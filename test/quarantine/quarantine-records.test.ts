import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import type * as exchange from '../../src/exchange/index.js'
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
    const records = new quarantine.QuarantineRecords({ env: virtual.env(1), store, eras: store.eras, quarantine: segments, log: log.SILENT_LOGGER })
    records.start()
    return { segments, records }
  }
  const crash = async (segments: quarantine.SegmentQuarantine, prompt = BAD): Promise<void> => {
    for (const target of ['a', 'b', 'c']) {
      segments.noteLost({ prompt, target: build.aTarget(target), sentAt: virtual.now(), firstEventAt: undefined })
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

// A store that returns from an older copy has lost the segments of the last seconds, and holds those that were cleared in them.
describe('QuarantineRecords after the store has returned from an older copy', () => {
  const stored = (store: standin.MemoryStore): readonly string[] => store.keys(quarantine.QUARANTINE_PREFIX)

  it('writes a quarantined segment again that was lost, once, and a segment that it had read at its start', async () => {
    const { virtual, store, start, crash } = setUp()
    const empty = store.copy()
    const first = start('g0', ['g0'])
    await crash(first.segments)
    await virtual.advance(1_000)
    store.restore(empty)
    await Promise.all([store.get('any'), virtual.advance(1_000)])
    chai.expect(stored(store)).to.deep.equal([KEY])
    first.records[Symbol.dispose]()
    const second = start('g0', ['g0'])
    await virtual.advance(1_000)
    store.restore(empty)
    await Promise.all([store.get('any'), virtual.advance(1_000)])
    chai.expect(stored(store)).to.deep.equal([KEY])
    second.records[Symbol.dispose]()
  })

  it('writes nothing when the copy has the segment', async () => {
    const { virtual, store, start, crash } = setUp()
    await crash(start('g0', ['g0']).segments)
    await virtual.advance(1_000)
    store.restore(store.copy())
    store.calls.writes = 0
    await Promise.all([store.get('any'), virtual.advance(2_000)])
    chai.expect(store.calls.writes).to.equal(0)
  })

  it('removes a segment again that was cleared in the lost seconds', async () => {
    const { virtual, store, start, crash } = setUp()
    const { segments } = start('g0', ['g0'])
    await crash(segments)
    await virtual.advance(1_000)
    const copy = store.copy()
    segments.noteAnswered(BAD)
    await virtual.advance(1_000)
    chai.expect(stored(store)).to.deep.equal([])
    store.restore(copy)
    await Promise.all([store.get('any'), virtual.advance(1_000)])
    chai.expect(stored(store)).to.deep.equal([])
  })

  it('does not bring a cleared segment back when a gateway starts after the restore and reads the old record', async () => {
    const { virtual, store, start, crash } = setUp()
    const link = (gateway: string): exchange.Link => ({ gateway, incarnation: `${gateway}-1`, kind: 'fellow' })
    const running = start('g0', ['g0'])
    await crash(running.segments)
    await virtual.advance(1_000)
    const copy = store.copy()
    running.segments.noteAnswered(BAD)
    await virtual.advance(61_000)
    store.faults.down = true
    store.restore(copy)
    const started = start('g1', ['g0'])
    store.faults.down = false
    await virtual.advance(100)
    chai.expect(started.segments.admit(BAD, new Set())).not.to.equal(undefined)
    const told = [running.segments.changesSince(link('g1'), undefined)!, started.segments.changesSince(link('g0'), undefined)!]
    started.segments.apply(link('g0'), told[0]!.payload)
    running.segments.apply(link('g1'), told[1]!.payload)
    for (const { segments } of [running, started]) chai.expect(segments.admit(BAD, new Set())).to.equal(undefined)
    await virtual.advance(1_000)
    chai.expect(stored(store)).to.deep.equal([])
  })

  it('does not take a segment for removed that it read as missing before a second restore', async () => {
    const { virtual, store, start, crash } = setUp()
    const other: calls.Prompt = { ...BAD, segments: [{ id: 'other', tokens: 5 }, { id: 'own', tokens: 4 }] }
    const empty = store.copy()
    const { segments } = start('g0', ['g0'])
    await crash(segments, other)
    await crash(segments)
    await virtual.advance(1_000)
    const copy = store.copy()
    segments.noteAnswered(BAD)
    await virtual.advance(1_000)
    store.restore(empty)
    await Promise.all([store.get('any'), virtual.advance(495 - virtual.now() % 500)])
    store.faults.delayMs = 100
    // The list is read at 5 to 105 ms, and the first segment is written at 155 ms.
    await virtual.advance(125)
    store.restore(copy)
    await virtual.advance(100)
    store.faults.delayMs = 2
    await virtual.advance(2_000)
    chai.expect(stored(store)).to.deep.equal([`${quarantine.QUARANTINE_PREFIX}other`])
  })
})
