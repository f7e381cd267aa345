import * as chai from 'chai'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { Mailbox, MAILBOX_LIMIT, Supervisor } from '../../src/task/index.js'
import { VirtualTime } from '../../src/time/index.js'

describe('Supervisor', () => {
  it('restarts a failed child with exponential backoff, and gives up when it fails too often', async () => {
    const { time, starts, giveUpCount, supervisor } = harness(() => Promise.reject(new Error('broken')))
    await supervisor.start(supervisor.spec)
    await time.advance(60_000)
    const delays = starts.slice(1).map((at, index) => at - starts[index]!)
    chai.expect(delays.slice(0, 4)).to.deep.equal([100, 200, 400, 800])
    chai.expect(Math.max(...delays)).to.equal(5_000)
    chai.expect(giveUpCount()).to.equal(1)
    chai.expect(starts).to.have.length(11)
  })

  it('does not restart a child that is being stopped', async () => {
    const { time, starts, supervisor } = harness(() => Promise.reject(new Error('broken')))
    await supervisor.start(supervisor.spec)
    await time.advance(0)
    await supervisor[Symbol.asyncDispose]()
    await time.advance(60_000)
    chai.expect(starts).to.have.length(1)
  })
})

describe('Mailbox', () => {
  it('queues messages in order until the stream is observed, and rejects those above its limit', async () => {
    const mailbox = new Mailbox<number>()
    const accepted = Array.from({ length: MAILBOX_LIMIT + 1 }, (_, index) => mailbox.send(index)).filter(Boolean)
    chai.expect(accepted).to.have.length(MAILBOX_LIMIT)
    const received: number[] = []
    const done = mailbox.stream.observe((message) => { received.push(message) })
    mailbox.send(-1)
    mailbox.close()
    await done
    chai.expect(received.slice(0, 3)).to.deep.equal([0, 1, 2])
    chai.expect(received.at(-1)).to.equal(-1)
  })
})

function harness (runChild: () => Promise<void>): { time: VirtualTime, starts: number[], giveUpCount: () => number, supervisor: Supervisor & { spec: Parameters<Supervisor['start']>[0] } } {
  const time = new VirtualTime()
  const starts: number[] = []
  let count = 0
  const supervisor = new Supervisor({ clock: time, timers: time, log: SILENT_LOGGER, onGiveUp: () => { count++ } })
  const spec = {
    name: 'child',
    start: async () => {
      starts.push(time.now())
      return { stopped: runChild(), [Symbol.asyncDispose]: async () => {} }
    }
  }
  return { time, starts, giveUpCount: () => count, supervisor: Object.assign(supervisor, { spec }) }
}
