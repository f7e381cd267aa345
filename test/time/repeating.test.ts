import * as chai from 'chai'
import * as time from '../../src/time/index.js'

describe('RepeatingTask', () => {
  it('leaves out turns that are due while one is under way, and goes on after one that failed', async () => {
    const virtual = new time.VirtualTime()
    let turns = 0
    const errors: unknown[] = []
    const turn = async (): Promise<void> => {
      turns++
      await time.delay(virtual, turns === 1 ? 250 : 1)
      if (turns === 2) throw new Error('second turn')
    }
    using _task = new time.RepeatingTask(virtual, 100, turn, (err) => errors.push(err))
    await virtual.advance(520)
    chai.expect(turns).to.equal(3)
    chai.expect(errors).to.have.length(1)
  })
})

describe('Poll', () => {
  it('reads on while one read hangs, with a bounded number under way', async () => {
    const virtual = new time.VirtualTime()
    let started = 0
    using poll = new time.Poller({
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
    poll.start()
    await virtual.advance(1_000)
    chai.expect(started).to.equal(3)
  })

  it('reads sooner after a read that failed', async () => {
    const virtual = new time.VirtualTime()
    const at: number[] = []
    using poll = new time.Poller({ timers: virtual, intervalMs: 100, retryMs: 20, read: async () => at.push(virtual.now()) !== 1, onError: () => {} })
    poll.start()
    await virtual.advance(330)
    chai.expect(at.map((one) => one - at[0]!)).to.deep.equal([0, 100, 120, 220, 320])
  })
})
