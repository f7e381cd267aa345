import type * as http from 'node:http'
import * as chai from 'chai'
import * as httpFrontend from '../../src/gateway/http-frontend.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as time from '../../src/time/index.js'
import * as callerProtocol from '../../platform/caller-protocol.js'
import * as support from '../support/gateway-process.js'
import * as ports from '../support/ports.js'
import * as raw from '../support/raw-caller.js'

const LENGTH_1 = ['Content-Length: 1']

/** A configuration with other limits and route timeout. */
function aConfig (limits: Partial<typeof support.CONFIG.limits> = {}, version = 1, route: object = {}): typeof support.CONFIG {
  return { ...support.CONFIG, version, routes: [{ ...support.CONFIG.routes[0]!, timeoutMs: 6_000, ...route }], limits: { ...support.CONFIG.limits, ...limits } }
}

function respond (req: http.IncomingMessage, res: http.ServerResponse): void {
  req.resume()
  req.on('end', () => {
    res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1' })
    res.end(`done ${String(req.headers['request-id'])}`)
  })
}

async function delay (ms: number): Promise<void> {
  await time.delay(new time.SystemTimers(), ms)
}

/** Blocks this process, so that timers that are due run before bytes that have arrived are read. */
function block (ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
}

describe('connections of callers', () => {
  it('no response of its own is written into a stream that is under way when the next head is too slow or malformed', async () => {
    for (const next of ['POST /r/x HT', '\u0001 no request\r\n\r\n']) {
      await using gw = new support.GatewayProcess()
      await gw.addServer('i-1', (req, res) => {
        req.resume()
        res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1', 'content-type': 'text/event-stream' })
        res.write('id: 1\ndata: first\n\n')
        setTimeout(() => res.end('id: 2\ndata: last\n\n'), 1_200)
      })
      await gw.start(aConfig({ headerTimeoutMs: 200 }, 1, { kind: 'streaming', gapTargetMs: 1_500 }))
      using caller = new raw.RawCaller(gw.callerPort)
      caller.send(raw.requestHead('r1', LENGTH_1) + 'b')
      await caller.receive('data: first')
      caller.send(next)
      await caller.receive('\r\n0\r\n\r\n')
      chai.expect(caller.received.match(/HTTP\/1.1/g)).to.have.length(1)
      chai.expect(caller.received).to.include('data: last')
      await caller.closed()
    }
  }).timeout(15_000)

  it('a request that was passed on gets its response although what follows it is malformed', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => { setTimeout(() => respond(req, res), 200) })
    await gw.start(aConfig())
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send(raw.requestHead('r1', LENGTH_1) + 'b')
    await delay(50)
    caller.send('\u0001 no request\r\n\r\n')
    await caller.receive('done r1')
    chai.expect(caller.received.match(/HTTP\/1.1/g)).to.have.length(1)
    await caller.closed()
  }).timeout(15_000)

  it('a head that takes too long gets 408, which callers repeat, and not 400, which they do not', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', respond)
    await gw.start(aConfig({ headerTimeoutMs: 200 }))
    using fresh = new raw.RawCaller(gw.callerPort)
    using kept = new raw.RawCaller(gw.callerPort)
    kept.send(raw.requestHead('r1', LENGTH_1) + 'b')
    await kept.receive('done r1')
    fresh.send('POST /r/x HTTP/1.1\r\nHost: led')
    kept.send('POST /r/x HTTP/1.1\r\nHost: led')
    await Promise.all([fresh.closed(), kept.closed()])
    chai.expect(fresh.received).to.match(/^HTTP\/1.1 408 /)
    chai.expect(kept.received).to.match(/done r1HTTP\/1.1 408 /)
  }).timeout(15_000)

  it('a new connection on which nothing was sent is closed without a response to no request', async () => {
    await using gw = new support.GatewayProcess()
    await gw.start(aConfig({ headerTimeoutMs: 200 }))
    using caller = new raw.RawCaller(gw.callerPort)
    await caller.closed()
    chai.expect([caller.received, caller.state]).to.deep.equal(['', 'ended'])
  }).timeout(15_000)

  it('a head that began under a longer header timeout may take that time', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', respond)
    await gw.start(aConfig({ headerTimeoutMs: 6_000 }))
    using caller = new raw.RawCaller(gw.callerPort)
    const head = raw.requestHead('r1', LENGTH_1)
    caller.send(head.slice(0, 30))
    await gw.change(aConfig({ headerTimeoutMs: 100 }, 2))
    await delay(1_300)
    caller.send(head.slice(30) + 'b')
    await caller.receive('done r1')
  }).timeout(15_000)

  it('a lowered header timeout comes into force', async () => {
    await using gw = new support.GatewayProcess()
    await gw.start(aConfig({ headerTimeoutMs: 900 }))
    await gw.change(aConfig({ headerTimeoutMs: 100 }, 2))
    await gw.change(aConfig({ headerTimeoutMs: 800 }, 3))
    await gw.change(aConfig({ headerTimeoutMs: 100 }, 4))
    await delay(1_200)
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send('POST')
    const sentAt = Date.now()
    await caller.receive('HTTP/1.1 408')
    chai.expect(Date.now() - sentAt).to.be.below(900)
  }).timeout(15_000)

  it('a connection is kept as long as its last response announced, also after a change', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => { setTimeout(() => respond(req, res), 400) })
    await gw.start(aConfig({ idleTimeoutMs: 3_000 }))
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send(raw.requestHead('r1', LENGTH_1) + 'b')
    await delay(50)
    await gw.change(aConfig({ idleTimeoutMs: 300 }, 2))
    await caller.receive('done r1')
    chai.expect(caller.received).to.match(/Keep-Alive: timeout=3\r\n/i)
    await delay(1_800)
    caller.send(raw.requestHead('r2', LENGTH_1) + 'b')
    await caller.receive('done r2')
    await caller.closed()
  }).timeout(15_000)

  it('a request that arrived before the idle limit is served although the process came to it after the limit', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', respond)
    await gw.start(aConfig({ idleTimeoutMs: 300 }))
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send(raw.requestHead('r1', LENGTH_1) + 'b')
    await caller.receive('done r1')
    await delay(700)
    caller.send(raw.requestHead('r2', LENGTH_1) + 'b')
    block(1_000)
    await caller.receive('done r2')
    await caller.closed()
  }).timeout(15_000)

  it('a kept connection serves at 0.8 of the idle limit, and is closed after it without a response', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', respond)
    await gw.start(aConfig({ idleTimeoutMs: 1_500 }))
    using caller = new raw.RawCaller(gw.callerPort)
    for (const id of ['r1', 'r2', 'r3']) {
      caller.send(raw.requestHead(id, LENGTH_1) + 'b')
      await caller.receive(`done ${id}`)
      await delay(1_200)
    }
    await caller.closed()
    chai.expect(caller.received.match(/HTTP\/1.1/g)).to.have.length(3)
    chai.expect(caller.received).to.match(/Keep-Alive: timeout=1\r\n/i)
  }).timeout(15_000)

  it('a CONNECT request gets a response', async () => {
    await using gw = new support.GatewayProcess()
    await gw.start(aConfig())
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send(raw.requestHead('r1', [], 'CONNECT ledger.example:443 HTTP/1.1'))
    await caller.closed()
    chai.expect(caller.received).to.match(/^HTTP\/1.1 405 /)
  })

  it('requests of HTTP/1.0, with Connection: close and with Upgrade are served', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => { setTimeout(() => respond(req, res), 100) })
    await gw.start(aConfig())
    const requests = [
      raw.requestHead('r1', LENGTH_1, 'POST /r/x HTTP/1.0'),
      raw.requestHead('r1', [...LENGTH_1, 'Connection: close']),
      raw.requestHead('r1', [...LENGTH_1, 'Connection: Upgrade, HTTP2-Settings', 'Upgrade: h2c', 'HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA'])
    ]
    for (const head of requests) {
      using caller = new raw.RawCaller(gw.callerPort)
      caller.send(head + 'b')
      await caller.receive('done r1')
      if (!head.includes('Upgrade')) await caller.closed()
    }
  })

  it('a stream to an HTTP/1.0 caller that breaks off does not look complete', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => {
      req.resume()
      res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1', 'content-type': 'text/event-stream' })
      res.write('id: 1\ndata: first\n\n')
      setTimeout(() => res.destroy(), 100)
    })
    await gw.start(aConfig({}, 1, { kind: 'streaming', gapTargetMs: 1_500 }))
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send(raw.requestHead('r1', LENGTH_1, 'POST /r/x HTTP/1.0') + 'b')
    await caller.receive('data: first')
    await caller.closed()
    chai.expect(caller.state).to.equal('reset')
  })

  it('a gateway that knows no configuration refuses a large request with 503, not for its size', async () => {
    await using frontend = new httpFrontend.HttpFrontend({
      env: time.systemEnv(),
      protocol: new callerProtocol.HttpCallerProtocol(),
      handler: { handle: async () => undefined },
      limits: () => undefined,
      log: log.SILENT_LOGGER,
      metrics: new metrics.Metrics()
    })
    const port = await ports.freePort()
    await frontend.listen('127.0.0.1', port)
    using caller = new raw.RawCaller(port)
    caller.send(raw.requestHead('r1', ['Content-Length: 3000000']))
    await caller.receive('HTTP/1.1 503')
    chai.expect(caller.received).to.match(/retry-after/i)
  })

  it('a caller that closes its direction while it waits has left, so that its call is ended at the target', async () => {
    await using gw = new support.GatewayProcess()
    const ended = new Promise<void>((resolve) => {
      gw.addServer('i-1', (req) => { req.resume().socket.on('close', () => resolve()) }).catch(resolve)
    })
    await gw.start(aConfig())
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send(raw.requestHead('r1', LENGTH_1) + 'b')
    await delay(100)
    caller.halfClose()
    await ended
    await caller.closed()
  })
})
