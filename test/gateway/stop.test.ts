import type * as http from 'node:http'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'

const timers = new time.SystemTimers()

/** Calls may last longer than any grace period of these tests. */
const LONG_CALLS = { ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0], timeoutMs: 30_000 }] }

const LONG_STREAMS = { ...LONG_CALLS, routes: [{ ...LONG_CALLS.routes[0], kind: 'streaming', gapTargetMs: 30_000 }] }

/** Streams an event each 50 ms for `ms`. */
function streamFor (ms: number): http.RequestListener {
  return (req, res) => {
    req.resume()
    res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1', 'content-type': 'text/event-stream' })
    const startedAt = performance.now()
    let events = 0
    const timer = setInterval(() => {
      res.write(`id: ${++events}\ndata: a\n\n`)
      if (performance.now() - startedAt < ms) return
      clearInterval(timer)
      res.end(`id: ${++events}\ndata: last\n\n`)
    }, 50)
    res.on('close', () => clearInterval(timer))
  }
}

/** Responds after `delayMs`. */
function respondAfter (delayMs: number): http.RequestListener {
  return (req, res) => {
    req.resume()
    req.on('end', () => setTimeout(() => {
      res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1' })
      res.end('done')
    }, delayMs))
  }
}

/** A started gateway with one server of the plain service. */
async function start (handler: http.RequestListener, graceMs: number, config: object = LONG_CALLS): Promise<support.GatewayProcess> {
  const gw = new support.GatewayProcess()
  await gw.addServer('i-1', handler)
  await gw.start(config, graceMs)
  return gw
}

/** Stops the gateway and then closes all its connections, as the end of the process does. */
async function stopAndExit (gw: support.GatewayProcess): Promise<void> {
  await gw.stop()
  await gw.exit()
}

/** The status and body that the caller of a request got, or `broken off`. */
async function outcomeOf (gw: support.GatewayProcess, id: string): Promise<string> {
  return await gw.request(id, { headers: { 'deadline-ms': '30000' } }).then((res) => `${res.status} ${res.body}`, () => 'broken off')
}

describe('a planned stop', () => {
  it('is over before the grace period is, however short that is', async () => {
    await using gw = await start(respondAfter(100), 1_000)
    const startedAt = performance.now()
    const stopped = stopAndExit(gw)
    const outcome = outcomeOf(gw, 'r1')
    await stopped
    chai.expect(performance.now() - startedAt).to.be.lessThan(1_000)
    chai.expect(await outcome).to.equal('200 done')
  })

  it('is not cut short by a second request to stop', async () => {
    await using gw = await start(respondAfter(300), 2_000)
    const outcome = outcomeOf(gw, 'r1')
    await time.delay(timers, 50)
    const stopped = gw.stop()
    await stopAndExit(gw)
    chai.expect(await outcome).to.equal('200 done')
    await stopped
  })

  it('responds to a call that arrived during the stop and has no response of its target at the end', async () => {
    await using gw = await start((req) => { req.resume() }, 2_000)
    const stopped = stopAndExit(gw)
    await time.delay(timers, 50)
    const outcome = outcomeOf(gw, 'r1')
    await stopped
    chai.expect(await outcome).to.equal('504 ')
  })

  it('responds to a call that arrived before the stop and has no response of its target at the end', async () => {
    await using gw = await start((req) => { req.resume() }, 2_000)
    const outcome = outcomeOf(gw, 'r1')
    await time.delay(timers, 50)
    await stopAndExit(gw)
    chai.expect(await outcome).to.equal('504 ')
  })

  it('lets a stream that has begun run on after the deadline of the other calls', async () => {
    await using gw = await start(streamFor(3_550), 4_000, LONG_STREAMS)
    const before = outcomeOf(gw, 'r1')
    await time.delay(timers, 50)
    const stopped = stopAndExit(gw)
    const meanwhile = outcomeOf(gw, 'r2')
    await stopped
    chai.expect(await before).to.match(/^200 .*last\s+$/s)
    chai.expect(await meanwhile).to.match(/^200 .*last\s+$/s)
  })

  it('waits for a response that arrives at the beginning of the last sixth of the grace period', async () => {
    // The last sixth of 12 s begins at 10 s, and calls without a response end at 10.2 s.
    await using gw = await start(respondAfter(10_010), 12_000)
    const stopped = stopAndExit(gw)
    const outcome = outcomeOf(gw, 'r1')
    await stopped
    chai.expect(await outcome).to.equal('200 done')
  })

  it('does not cut off the rest of a response that its caller reads slowly', async () => {
    const size = 15_000_000
    const handler: http.RequestListener = (req, res) => {
      req.resume()
      req.on('end', () => {
        res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1' })
        res.end(Buffer.alloc(size, 'x'))
      })
    }
    await using gw = await start(handler, 2_000)
    using caller = gw.connect()
    caller.send('r1', 'b')
    caller.socket.pause()
    await time.delay(timers, 300)
    const stopped = stopAndExit(gw)
    await time.delay(timers, 1_200)
    caller.socket.resume()
    await caller.closed
    await stopped
    chai.expect(caller.text.length).to.be.greaterThan(size)
  })

  it('responds to both of two requests that arrived together, whichever target is faster', async () => {
    const sent: string[] = []
    await using gw = await start((req, res) => {
      const id = String(req.headers['request-id'])
      sent.push(id)
      respondAfter(id === 'fast' ? 50 : 150)(req, res)
    }, 2_000)
    using first = gw.connect()
    using second = gw.connect()
    const stopped = stopAndExit(gw)
    first.send('fast', 'b')
    first.send('slow', 'b')
    second.send('slow', 'b')
    second.send('fast', 'b')
    await Promise.all([first.closed, second.closed])
    chai.expect([sent.length, first.statuses, second.statuses]).to.deep.equal([4, [200, 200], [200, 200]])
    await stopped
  })

  it('does not pass on a request that follows the last response on its connection', async () => {
    const sent: string[] = []
    await using gw = await start((req, res) => {
      sent.push(String(req.headers['request-id']))
      const body = Buffer.alloc(15_000_000, 'x')
      req.resume()
      req.on('end', () => {
        res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1' })
        res.end(body)
      })
    }, 2_000)
    using caller = gw.connect()
    const stopped = stopAndExit(gw)
    caller.send('r1', 'b')
    await new Promise((resolve) => { caller.socket.once('data', resolve) })
    caller.socket.pause()
    caller.send('r2', 'b')
    await time.delay(timers, 100)
    caller.socket.resume()
    await caller.closed
    chai.expect([sent, caller.statuses]).to.deep.equal([['r1'], [200]])
    await stopped
  })

  it('does not wait for the responses of a connection that has broken', async () => {
    await using gw = await start((req) => { req.resume() }, 4_000)
    using caller = gw.connect()
    caller.send('r1', 'b')
    caller.send('r2', 'b')
    await time.delay(timers, 100)
    caller.socket.resetAndDestroy()
    const startedAt = performance.now()
    await stopAndExit(gw)
    chai.expect(performance.now() - startedAt).to.be.lessThan(3_000)
  })

  it('refuses requests that become complete after the last call was accepted, and closes their connections', async () => {
    await using gw = await start(respondAfter(0), 2_000)
    using half = gw.connect()
    half.send('r1', 'b', 2)
    using idle = gw.connect()
    idle.send('r0', 'b')
    await time.delay(timers, 100)
    using silent = gw.connect()
    const holder = outcomeOf(gw, 'r9')
    const stopped = stopAndExit(gw)
    chai.expect(await holder).to.equal('200 done')
    using fresh = gw.connect()
    await time.delay(timers, 950)
    half.socket.write('c')
    silent.send('r2', 'b')
    await Promise.all([half.closed, idle.closed, silent.closed, fresh.closed])
    await stopped
    chai.expect([half.statuses, idle.statuses, silent.statuses, fresh.statuses]).to.deep.equal([[503], [200], [503], []])
  })
}).timeout(20_000)
