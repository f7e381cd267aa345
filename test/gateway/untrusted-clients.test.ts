import type * as http from 'node:http'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import type * as deployment from '../emulator/deployment.js'
import type * as httpServer from '../emulator/http-server.js'
import * as abusive from '../support/abusive-clients.js'

/** The smallest VM on which a gateway runs, with fewer descriptors. */
const LIMITS: deployment.VmLimits = { memoryMb: 160, maxFds: 600 }

/** Time for which the clients send before anything is checked, in ms. */
const SENDING_MS = 3_000

const CHUNKED = 'Transfer-Encoding: chunked'
const BODY_BYTES = 1_000_000

/** Responds with `pieces` of `size` bytes each; the first one is an event of a stream if there are several. */
function respond (size: number, pieces: number): httpServer.Handler {
  return async (req, res) => {
    req.resume()
    res.writeHead(200, { 'request-id': String(req.headers['request-id']), 'content-type': pieces > 1 ? 'text/event-stream' : 'text/plain' })
    for (let piece = 1; piece <= pieces; piece++) res.write(`id: ${piece}\ndata: ${'x'.repeat(size)}\n\n`)
    res.end()
  }
}

async function neverRead (req: http.IncomingMessage): Promise<void> {
  req.pause()
}

interface Crowd {
  readonly name: string
  readonly clients: number
  /** What each client sends. */
  readonly sends: readonly string[]
  readonly handler?: httpServer.Handler
}

const CROWDS: readonly Crowd[] = [
  { name: 'bodies in large chunks that never end', clients: 250, sends: [abusive.head('/read/x', CHUNKED), abusive.openChunks(62_500, 16)] },
  { name: 'bodies in chunks of one byte that never end', clients: 300, sends: [abusive.head('/read/x', CHUNKED), abusive.openChunks(1, 120_000)] },
  { name: 'bodies in chunks of two bytes that never end', clients: 300, sends: [abusive.head('/read/x', CHUNKED), abusive.openChunks(2, 120_000)] },
  { name: 'streams that are not read', clients: 250, sends: [abusive.head('/chat/x', 'Content-Length: 0')], handler: respond(900_000, 8) },
  { name: 'pipelined requests whose responses are not read', clients: 10, sends: [abusive.head('/review/x', 'Content-Length: 0').repeat(400)], handler: respond(900_000, 2) },
  { name: 'bodies that their target does not read', clients: 250, sends: [abusive.head('/chat/x', `Content-Length: ${BODY_BYTES}`), 'x'.repeat(BODY_BYTES)], handler: neverRead },
  { name: 'connections without a request', clients: 700, sends: [] }
]

// Each crowd made a process exceed the memory or the descriptors of its VM, or kept others from their responses.
describe('a gateway process within the limits of its VM', () => {
  for (const { name, clients, sends, handler = neverRead } of CROWDS) {
    it(`serves an ordinary request beside ${name}`, async () => {
      await using gateway = await abusive.LimitedGateway.start(LIMITS, handler)
      using crowd = new abusive.AbusiveClients(gateway.address)
      const pieces = sends.map((text) => Buffer.from(text, 'latin1'))
      for (let client = 0; client < clients; client++) crowd.connect(pieces)
      await time.delay(new time.SystemTimers(), SENDING_MS)
      const status = await gateway.request()
      chai.expect({ status, violations: gateway.violations() }).to.deep.equal({ status: 200, violations: [] })
    }).timeout(90_000)
  }
})
