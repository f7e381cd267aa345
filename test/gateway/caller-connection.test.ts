import type * as http from 'node:http'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'

const timers = new time.SystemTimers()

const LONG_CALLS = { ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0], timeoutMs: 30_000 }] }

function respondAfter (delayMs: number): http.RequestListener {
  return (req, res) => {
    req.resume()
    req.on('end', () => setTimeout(() => {
      res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1' })
      res.end('done')
    }, delayMs))
  }
}

describe('a connection of a caller', () => {
  // Guards against a running call that ends, with a 400 in its place, because of bytes that follow it.
  it('with a running call is not closed because the head of a further request is late', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', respondAfter(2_500))
    await gw.start({ ...LONG_CALLS, limits: { ...LONG_CALLS.limits, headerTimeoutMs: 500 } })
    using caller = gw.connect()
    caller.send('r1', 'b')
    await time.delay(timers, 100)
    caller.socket.write('POST /r/x HTTP/1.1\r\nhost: ledger')
    await Promise.race([caller.closed, time.delay(timers, 4_000)])
    chai.expect(caller.statuses[0]).to.equal(200)
  })

  // Guards against requests that are read and dropped behind a response that says 'close' but has to wait for an earlier one.
  it('that a stop closes gets a response to each request that was sent before its caller could know of the close', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => respondAfter(req.headers['request-id'] === 'r1' ? 1_500 : 10)(req, res))
    await gw.start(LONG_CALLS)
    using caller = gw.connect()
    caller.send('r1', 'b')
    await time.delay(timers, 100)
    const stopped = gw.stop()
    caller.send('r2', 'b')
    await time.delay(timers, 300)
    caller.send('r3', 'b')
    await caller.closed
    await stopped
    chai.expect(caller.statuses).to.have.length(3)
  })
})
