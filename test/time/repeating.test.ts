import * as chai from 'chai'
import * as time from '../../src/time/index.js'

describe('RepeatingTask', () => {
  it('never runs twice at once: skips runs that are due while one is in progress, and continues after one that failed', async () => {
    const virtual = new time.VirtualTime()
    let runs = 0
    const errors: unknown[] = []
    const run = async (): Promise<void> => {
      runs++
      await time.delay(virtual, runs === 1 ? 250 : 1)
      if (runs === 2) throw new Error('second run')
    }
    using _task = new time.RepeatingTask(virtual, 100, run, (err) => errors.push(err))
    await virtual.advance(520)
    chai.expect(runs).to.equal(3)
    chai.expect(errors).to.have.length(1)
  })
})

describe('Poller', () => {
  it('keeps reading while a read hangs, with a bounded number in progress', async () => {
    const virtual = new time.VirtualTime()
    let started = 0
    using poller = new time.Poller({
      timers: virtual,
      intervalMs: 100,
      retryMs: 20,
      read: async () => {
        started++
        await time.delay(virtual, 10_000)
        return true
      },
      onError: () => {}
    })
    poller.start()
    await virtual.advance(1_000)
    chai.expect(started).to.equal(3)
  })

  it('uses the shorter interval after a failed read', async () => {
    const virtual = new time.VirtualTime()
    const startTimes: number[] = []
    using poller = new time.Poller({ timers: virtual, intervalMs: 100, retryMs: 20, read: async () => startTimes.push(virtual.now()) !== 1, onError: () => {} })
    poller.start()
    await virtual.advance(330)
    chai.expect(startTimes.map((at) => at - startTimes[0]!)).to.deep.equal([0, 20, 40, 140, 240])
  })
})
