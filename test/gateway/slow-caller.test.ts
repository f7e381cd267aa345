import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'
import * as rawServer from '../support/raw-server.js'

/** A stream that the buffers of a caller's connection on loopback do not hold. */
const EVENTS = Array.from({ length: 200 }, (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(50_000)}\n\n`).join('')

/** Time between the reads of the caller, in ms. */
const READ_INTERVAL_MS = 3

const TIMEOUT_MS = 12_000

/** The end of a response in chunks. */
const LAST_CHUNK = '\r\n0\r\n\r\n'

// An assertion of the HTTP client failed outside of any call when a response ended while its reader was paused, which ended the process.
describe('a stream without a length to a caller that reads slowly', () => {
  for (const close of ['end', 'reset'] as const) {
    it(`is relayed as whole only if its server ended it: ${close}`, async () => {
      const timers = new time.SystemTimers()
      await using server = new rawServer.RawServer((socket, request) => {
        const head = `HTTP/1.1 200 OK\r\nresponse-stamp: s\r\nrequest-id: ${rawServer.requestId(request)}\r\ncontent-type: text/event-stream\r\n\r\n`
        socket.write(head + EVENTS, () => { if (close === 'reset') socket.resetAndDestroy() })
        if (close === 'end') socket.end()
      })
      await using gw = new support.GatewayProcess()
      await gw.store.put('servers/i-a', JSON.stringify({ service: 'ledger', address: await server.listen(), zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
      await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0]!, kind: 'streaming', timeoutMs: TIMEOUT_MS }] })
      using caller = gw.connect()
      caller.send('r1', 'b')
      caller.socket.on('data', () => {
        caller.socket.pause()
        timers.after(READ_INTERVAL_MS, () => { caller.socket.resume() })
      })
      const isWhole = (): boolean => caller.text.endsWith(LAST_CHUNK)
      for (let waitedMs = 0; waitedMs < TIMEOUT_MS && !isWhole() && !caller.socket.destroyed; waitedMs += READ_INTERVAL_MS) await time.delay(timers, READ_INTERVAL_MS)
      chai.expect(isWhole()).to.equal(close === 'end')
      chai.expect((await gw.request('r2', { path: '/unknown/' })).status).to.equal(404)
    }).timeout(2 * TIMEOUT_MS)
  }
})
