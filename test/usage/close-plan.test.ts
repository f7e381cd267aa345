import * as chai from 'chai'
import { Metrics } from '../../src/metrics/index.js'
import type { UsageRow } from '../../src/schema/index.js'
import { MemoryPlatform } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { encode, EntryUsage, FinalUsage, planClose, ReportSender, UsageFlush, type CloseInput, type VersionedUsage } from '../../src/usage/index.js'

const row = (requests: number): UsageRow => ({ account: 'x', service: 's', requests, prompt_tokens: 0, output_tokens: 0 })

function record (incarnation: string, version: number, requests: number, overrides: Partial<EntryUsage> = {}): VersionedUsage {
  return { version, usage: { incarnation, through: 5, seq: 1, state: 'open', rows: [row(requests)], ...overrides } }
}

function plan (records: VersionedUsage[], overrides: Partial<CloseInput> = {}): ReturnType<typeof planClose> {
  return planClose({ window: 5, shard: 0, previous: undefined, records, alive: [], graceOver: false, now: 0, late: undefined, ...overrides })
}

function closed (outcome: ReturnType<typeof planClose>): FinalUsage {
  if (outcome.kind !== 'close') throw new Error(`plan is ${outcome.kind}`)
  return outcome.record
}

describe('planClose', () => {
  const previous = closed(plan([record('a', 10, 4), record('b', 11, 3)]))

  it('does not close a window when records of the previous window are older or missing', () => {
    chai.expect(plan([record('a', 9, 2), record('b', 11, 3)], { previous }).kind).to.equal('stale')
    chai.expect(plan([record('a', 10, 4)], { previous }).kind).to.equal('stale')
  })

  it('waits for the usage of entries that are alive until the grace period has ended', () => {
    const records = [record('a', 1, 1, { through: 4 }), record('b', 2, 1, { through: 4, state: 'ended' })]
    chai.expect(plan(records, { alive: ['a', 'c'] })).to.deep.equal({ kind: 'wait', for: ['a', 'c'] })
    chai.expect(closed(plan(records, { alive: ['a', 'c'], graceOver: true })).missing).to.deep.equal(['a', 'c'])
    chai.expect(plan([record('a', 1, 1)], { alive: ['a'] }).kind).to.equal('close')
  })

  it('does not wait again for a terminated entry that was missing in the previous window', () => {
    const records = [record('a', 1, 1, { through: 4 })]
    const first = closed(plan(records, { graceOver: true }))
    chai.expect(plan(records, { previous: first, window: 6 }).kind).to.equal('close')
  })

  it('keeps the usage of a sealed record and ignores a record of that incarnation that appears again', () => {
    const sealed = closed(plan([record('a', 12, 6, { state: 'sealed' }), record('b', 11, 3)], { previous, window: 6, graceOver: true }))
    chai.expect(sealed.bills).to.deep.equal([row(2)])
    const after = closed(plan([record('a', 30, 6), record('b', 11, 3)], { previous: sealed, window: 7, graceOver: true }))
    chai.expect(after.bills).to.deep.equal([])
  })
})

describe('UsageFlush', () => {
  it('does not change a sealed record and writes further usage to a new one', async () => {
    const time = new VirtualTime()
    const { store } = new MemoryPlatform(time.env(1))
    const run = async (requests: number): Promise<void> => {
      const flush = new UsageFlush(store, new Metrics(), 'a', { seq: requests, rows: () => [row(requests)] }, 1)
      const done = flush.flush(3)
      await time.advance(1_000)
      chai.expect((await done).ok).to.equal(true)
    }
    await run(5)
    const sealed = { ...record('a', 0, 5, { state: 'sealed' }).usage }
    const put = store.put('usage/entry/0/a', encode(EntryUsage, sealed), store.peek('usage/entry/0/a')!.version)
    await time.advance(10)
    await put
    await run(7)
    await run(8)
    chai.expect(store.peek('usage/entry/0/a')!.value).to.equal(encode(EntryUsage, sealed))
    chai.expect(store.peek('usage/entry/0/a~2')!.value).to.contain('"x s 3 0 0"')
  })
})

describe('ReportSender', () => {
  it('sends nothing while it may not act for the scope', async () => {
    const time = new VirtualTime()
    const { store, reports } = new MemoryPlatform(time.env(1))
    const final = closed(plan([record('a', 1, 4)]))
    const put = store.put('usage/final/5/0', encode(FinalUsage, final), 'absent')
    await time.advance(10)
    await put
    let mayAct = false
    const sender = new ReportSender({ store, reports, metrics: new Metrics(), reporter: 'r', shard: 0, mayAct: () => mayAct })
    const intent = { id: 'i', subject: 's', fence: 1, senders: [], body: { type: 'report' as const, window: 5, accounts: ['x'] } }
    const first = sender.send(intent)
    await time.advance(100)
    chai.expect((await first).err).to.equal(true)
    chai.expect(reports.received).to.deep.equal([])
    mayAct = true
    const second = sender.send(intent)
    await time.advance(100)
    chai.expect((await second).ok).to.equal(true)
    chai.expect(reports.bills.get('5/x')?.rows).to.deep.equal([row(4)])
  })
})
