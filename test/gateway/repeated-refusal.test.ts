import * as net from 'node:net'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'
import * as rawServer from '../support/raw-server.js'

const HOST = '127.0.0.1'

/** How long a request runs, in ms. */
const RUN_MS = 60

/** Time after which a request is refused, in ms: a target is paused for 60 ms after a refusal, and must be free again after that of the second one. */
const REFUSE_MS = 90

/** When the earlier refusal is written once more: while the connection is idle, or when the next request has arrived. */
type Moment = 'idle' | 'running' | 'with_response'

interface Repetition {
  readonly moment: Moment
  readonly status: 503 | 429 | 421
  readonly withId: boolean
}

function head (status: number, id: string | undefined, headers = ''): string {
  return `HTTP/1.1 ${status} X\r\ncontent-length: 0\r\n${id === undefined ? '' : `request-id: ${id}\r\n`}${headers}\r\n`
}

/** A server that refuses its first request, writes that refusal once more on the same connection, and runs all others. */
class RepeatingServer extends rawServer.RawServer {
  readonly ran: string[] = []
  private refusal: string | undefined
  private repeated = false
  /** Connections on which a request was refused. */
  private readonly refusedOn = new WeakSet<net.Socket>()

  constructor (private readonly repetition: Repetition) {
    super((socket, request) => {
      const id = rawServer.requestId(request)
      if (this.refusal !== undefined) this.run(socket, id, this.refusedOn.has(socket))
      else {
        this.refusedOn.add(socket)
        this.refuse(socket, id)
      }
    })
  }

  private refuse (socket: net.Socket, id: string): void {
    const { moment, status, withId } = this.repetition
    const headers = status === 421 ? '' : 'not-executed: 1\r\n'
    socket.write(head(503, id, 'not-executed: 1\r\n'))
    this.refusal = head(status, withId ? id : undefined, headers)
    if (moment === 'idle') setTimeout(() => socket.write(this.refusal!), 20)
  }

  private run (socket: net.Socket, id: string, refusedHere: boolean): void {
    const { moment } = this.repetition
    this.ran.push(id)
    const repeats = refusedHere && !this.repeated && moment !== 'idle'
    if (repeats) this.repeated = true
    if (repeats && moment === 'running') socket.write(this.refusal!)
    setTimeout(() => socket.write((repeats && moment === 'with_response' ? this.refusal! : '') + head(200, id, 'response-stamp: s\r\n')), RUN_MS)
  }
}

/** Sends a request that two servers refuse, then another one; gives the outcome of the latter and how often it ran. */
async function sendAfterRefusal (repetition: Repetition, kind: string): Promise<{ status: number, runs: number, lines: string[] }> {
  await using a = new RepeatingServer(repetition)
  await using b = new RepeatingServer(repetition)
  await using gw = new support.GatewayProcess()
  for (const [id, server] of [['i-a', a], ['i-b', b]] as const) {
    await gw.store.put(`servers/${id}`, JSON.stringify({ service: 'ledger', address: await server.listen(), zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
  }
  await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0]!, kind, timeoutMs: 2_000, maxAttempts: 4 }] })
  chai.expect((await gw.request('r1')).status).to.equal(503)
  await time.delay(new time.SystemTimers(), 80)
  const { status } = await gw.request('r2')
  await time.delay(new time.SystemTimers(), 2 * RUN_MS)
  return { status, runs: [...a.ran, ...b.ran].filter((id) => id === 'r2').length, lines: gw.linesOf('r2') }
}

// A repeated refusal of an earlier request was taken for that of the running one: callers were told that it had not run, or
// it was sent to a second server.
describe('an earlier refusal that a server writes once more', () => {
  for (const status of [503, 429, 421] as const) {
    for (const withId of [true, false]) {
      for (const moment of ['running', 'with_response'] as const) {
        it(`is no proof that the next request was not run: ${status} ${withId ? 'with its id' : 'without an id'}, ${moment}`, async () => {
          const { status: delivered, runs, lines } = await sendAfterRefusal({ moment, status, withId }, 'unsafe')
          chai.expect({ delivered, runs }).to.deep.equal({ delivered: 502, runs: 1 })
          chai.expect(lines.some((line) => line.includes('wrong_target'))).to.equal(false)
        })
      }

      it(`closes the idle connection on which it arrives: ${status} ${withId ? 'with its id' : 'without an id'}`, async () => {
        const { status: delivered, runs } = await sendAfterRefusal({ moment: 'idle', status, withId }, 'unsafe')
        chai.expect({ delivered, runs }).to.deep.equal({ delivered: 200, runs: 1 })
      })
    }
  }

  it('does not keep an idempotent request from being served', async () => {
    chai.expect((await sendAfterRefusal({ moment: 'running', status: 503, withId: false }, 'safe')).status).to.equal(200)
  })
})

/** A server that refuses each request once. Asked again on the same connection, it repeats that refusal before it runs the request. */
class RefusingOnceServer extends rawServer.RawServer {
  readonly ran: string[] = []
  private readonly refused = new Map<string, net.Socket>()

  constructor () {
    super((socket, request) => {
      const id = rawServer.requestId(request)
      const refusal = head(503, id, 'not-executed: 1\r\n')
      const refusedOn = this.refused.get(id)
      this.refused.set(id, socket)
      if (refusedOn === undefined) setTimeout(() => socket.write(refusal), REFUSE_MS)
      if (refusedOn === socket) socket.write(refusal)
      if (refusedOn !== undefined) this.run(socket, id)
    })
  }

  private run (socket: net.Socket, id: string): void {
    this.ran.push(id)
    setTimeout(() => socket.write(head(200, id, 'response-stamp: s\r\n')), RUN_MS)
  }
}

// The repetition bears the id of the request and was taken for the response to its second send there: 503, though it ran.
describe('a refusal that a server repeats when the same request comes again', () => {
  it('is not taken for the response to that send', async () => {
    await using a = new RefusingOnceServer()
    await using b = new RefusingOnceServer()
    await using gw = new support.GatewayProcess()
    for (const [id, server] of [['i-a', a], ['i-b', b]] as const) {
      await gw.store.put(`servers/${id}`, JSON.stringify({ service: 'ledger', address: await server.listen(), zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
    }
    await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0]!, kind: 'unsafe', timeoutMs: 2_000, maxAttempts: 3 }] })
    const { status } = await gw.request('r1')
    await time.delay(new time.SystemTimers(), 2 * RUN_MS)
    chai.expect({ status, runs: [...a.ran, ...b.ran].length }).to.deep.equal({ status: 200, runs: 1 })
  })
})

describe('a refusal without an id on a new connection', () => {
  it('is that of the request, which goes to another server', async () => {
    await using server = new RepeatingServer({ moment: 'idle', status: 503, withId: false })
    await using gw = new support.GatewayProcess()
    const raw = net.createServer((socket) => {
      socket.on('error', () => socket.destroy())
      socket.on('data', (data) => { if (/\r\n\r\nb$/.test(data.toString('latin1'))) socket.write(head(421, undefined)) })
    })
    await new Promise<void>((resolve) => raw.listen(0, HOST, resolve))
    try {
      const addresses = [`${HOST}:${(raw.address() as net.AddressInfo).port}`, await server.listen()]
      for (const [index, address] of addresses.entries()) await gw.store.put(`servers/i-${index}`, JSON.stringify({ service: 'ledger', address, zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
      await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0]!, timeoutMs: 2_000, maxAttempts: 4 }] })
      await gw.request('r1')
      await time.delay(new time.SystemTimers(), 80)
      chai.expect((await gw.request('r2')).status).to.equal(200)
    } finally {
      await gw.exit()
      raw.close()
    }
  })
})
