import type * as net from 'node:net'
import * as chai from 'chai'
import * as earlyServer from '../support/early-server.js'
import * as support from '../support/gateway-process.js'
import * as rawServer from '../support/raw-server.js'

const HEAD = 'response-stamp: s\r\nrequest-id: ID\r\n'

/** Responses whose end can be told from the end of their connection. */
const RESPONSES = {
  'a length': `HTTP/1.1 200 OK\r\n${HEAD}content-length: 5\r\n\r\nwhole`,
  chunks: `HTTP/1.1 200 OK\r\n${HEAD}transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n`,
  'an interim response before': `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n${HEAD}content-length: 5\r\n\r\nwhole`,
  'no body': `HTTP/1.1 200 OK\r\n${HEAD}content-length: 0\r\n\r\n`
}

/** A server that sends its response up to the byte that the path of the request names, and then closes the connection. */
class TruncatingServer extends rawServer.RawServer {
  constructor (response: string) {
    super((socket, request) => {
      const [, bytes, how] = /^POST \/r\/(\d+)\/(\w+)/.exec(request)!
      const part = response.replace('ID', rawServer.requestId(request)).slice(0, Number(bytes))
      if (how === 'reset') socket.write(part, () => socket.resetAndDestroy())
      else socket.end(part)
    })
  }
}

// Reported of other systems: callers got a 200 with an empty or short body, framed as whole, when a server stopped in the head.
describe('a response that ends early', () => {
  for (const [name, response] of Object.entries(RESPONSES)) {
    it(`is never relayed as whole: with ${name}`, async () => {
      await using server = new TruncatingServer(response)
      await using gw = new support.GatewayProcess()
      await gw.store.put('servers/i-a', JSON.stringify({ service: 'ledger', address: await server.listen(), zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
      await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0]!, timeoutMs: 2_000 }] })
      const wrong: string[] = []
      for (const how of ['close', 'reset']) {
        for (let bytes = 0; bytes < response.length; bytes++) {
          const { status } = await gw.request('id', { path: `/r/${bytes}/${how}` }).catch(() => ({ status: 'closed' }))
          if (status === 200) wrong.push(`${how} after ${bytes} bytes`)
        }
      }
      chai.expect(wrong).to.deep.equal([])
      chai.expect((await gw.request('id', { path: `/r/${response.length}/close` })).status).to.equal(200)
    })
  }
})

/** Times from the last part of a response to the close of its connection, in ms; 0 for both in one turn of the event loop. */
const CLOSE_DELAYS_MS = [0, 1, 3, 20]

/** Time between the parts of a response, in ms. */
const PART_INTERVAL_MS = 2

/** Requests of each case. */
const REQUESTS = 10

const LONG_BODY = 'b'.repeat(earlyServer.LONG_BODY_BYTES)

/** Parts of responses by kind of route. */
const PARTS = {
  unsafe: ['first ', 'second ', 'last'],
  safe: ['part'],
  streaming: ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n']
}

interface EarlyResponse {
  readonly kind: keyof typeof PARTS
  readonly closeDelayMs: number
  readonly close: (socket: net.Socket) => void
}

/** A server that responds to long requests at once, without a length, and closes the connection. */
class UnframedServer extends earlyServer.EarlyServer {
  responses = 0

  constructor (private readonly response: EarlyResponse) {
    super((socket, request) => {
      this.responses++
      socket.write(`HTTP/1.1 200 OK\r\nresponse-stamp: s\r\nrequest-id: ${rawServer.requestId(request)}\r\ncontent-type: text/event-stream\r\n\r\n`)
      this.writeParts(socket, PARTS[response.kind])
    })
  }

  private writeParts (socket: net.Socket, [part, ...others]: readonly string[]): void {
    const { close, closeDelayMs } = this.response
    socket.write(part!)
    if (others.length > 0) setTimeout(() => this.writeParts(socket, others), PART_INTERVAL_MS)
    else if (closeDelayMs > 0) setTimeout(() => close(socket), closeDelayMs)
    else close(socket)
  }
}

// Callers got a part of a body as a whole response when a server responded to a long request at once and reset the connection.
describe('a response without a length to a request that is still being written', () => {
  /** What the callers of a gateway get: status and body of a whole response, or nothing. */
  async function relay (response: EarlyResponse): Promise<Set<string>> {
    await using server = new UnframedServer(response)
    await using gw = new support.GatewayProcess()
    await gw.store.put('servers/i-a', JSON.stringify({ service: 'ledger', address: await server.listen(), zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
    const limits = { ...support.CONFIG.limits, maxBodyBytes: LONG_BODY.length }
    await gw.start({ ...support.CONFIG, limits, routes: [{ ...support.CONFIG.routes[0]!, kind: response.kind, timeoutMs: 5_000 }] })
    const results = new Set<string>()
    for (let index = 0; index < REQUESTS; index++) {
      const res = await gw.request(`r${index}`, { body: LONG_BODY, headers: { 'deadline-ms': '5000' } }).catch(() => undefined)
      results.add(res === undefined ? 'broken off' : `${res.status} ${res.body}`)
    }
    chai.expect(server.responses).to.be.greaterThan(0)
    return results
  }

  for (const kind of ['unsafe', 'safe', 'streaming'] as const) {
    for (const closeDelayMs of CLOSE_DELAYS_MS) {
      it(`is not relayed as whole when the connection is reset: ${kind}, after ${closeDelayMs} ms`, async () => {
        const results = await relay({ kind, closeDelayMs, close: earlyServer.CLOSES.reset })
        chai.expect([...results].filter((result) => result.startsWith('200'))).to.deep.equal([])
      })
    }
    for (const close of ['end', 'endAndReset'] as const) {
      it(`is relayed as whole when the server ended its side: ${kind}, ${close}`, async () => {
        const results = await relay({ kind, closeDelayMs: 0, close: earlyServer.CLOSES[close] })
        chai.expect([...results]).to.deep.equal([`200 ${PARTS[kind].join('')}`])
      })
    }
  }
})
