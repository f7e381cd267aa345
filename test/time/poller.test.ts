import * as chai from 'chai'
import * as time from '../../src/time/index.js'

const INTERVAL_MS = 800
const RETRY_MS = 250

/** A poller whose reads take a given time and then succeed or fail; records when they start. */
function setUp () {
  const virtual = new time.VirtualTime()
  const startedAt: number[] = []
  let next = { ms: 10, ok: true }
  const read = async (): Promise<boolean> => {
    startedAt.push(virtual.now())
    const { ms, ok } = next
    await time.delay(virtual, ms)
    return ok
  }
  const poller = new time.Poller({ timers: virtual, intervalMs: INTERVAL_MS, retryMs: RETRY_MS, read, onError: (err) => { throw err } })
  return { virtual, startedAt, poller, setNext: (ms: number, ok: boolean) => { next = { ms, ok } } }
}

describe('Poller', () => {
  it('reads again soon after the first failed read, not only after the second', async () => {
    const { virtual, startedAt, poller, setNext } = setUp()
    poller.start()
    await virtual.advance(700)
    setNext(10, false)
    await virtual.advance(110)
    setNext(10, true)
    await virtual.advance(2_000)
    chai.expect(startedAt).to.deep.equal([0, 800, 1_060, 1_310, 2_110])
  })

  it('keeps its interval when a read fails that was overtaken by a later one that succeeded', async () => {
    const { virtual, startedAt, poller, setNext } = setUp()
    setNext(1_000, false)
    poller.start()
    await virtual.advance(100)
    setNext(10, true)
    await virtual.advance(3_000)
    chai.expect(startedAt).to.deep.equal([0, 800, 1_600, 2_400])
  })

  it('schedules no read when a read fails after it was disposed', async () => {
    const { virtual, startedAt, poller, setNext } = setUp()
    setNext(100, false)
    poller.start()
    poller[Symbol.dispose]()
    await virtual.advance(2_000)
    chai.expect(startedAt).to.deep.equal([0])
  })
})
