import type * as http from 'node:http'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'

/** Grace period of the stop, in ms, and the time between two requests. */
const GRACE_MS = 4_000
const REQUEST_INTERVAL_MS = 25

/** Longest work of the server, in ms: beyond the grace period for requests that come late. */
const LONGEST_WORK_MS = 5_000

async function wait (ms: number): Promise<void> {
  await time.delay(new time.SystemTimers(), ms)
}

// Reported of other systems: requests that came late in the grace period were passed on, and cut off without an answer at its end.
describe('requests through the whole of a planned stop', () => {
  for (const kind of ['unsafe', 'safe']) {
    it(`all get a response, and none is refused as not run that has run: ${kind}`, async () => {
      const env = time.systemEnv()
      const random = new time.SeededRandom(31)
      const ran = new Set<string>()
      await using gw = new support.GatewayProcess()
      const server: http.RequestListener = (req, res) => {
        const id = String(req.headers['request-id'])
        ran.add(id)
        req.resume()
        setTimeout(() => {
          res.writeHead(200, { 'request-id': id, 'response-stamp': 's', 'content-length': 2 })
          res.end('ok')
        }, random.next() ** 3 * LONGEST_WORK_MS)
      }
      for (const id of ['i-a', 'i-b', 'i-c']) await gw.addServer(id, server)
      await gw.start({ ...support.CONFIG, services: [{ name: 'ledger', maxConns: 500 }], routes: [{ ...support.CONFIG.routes[0]!, kind, timeoutMs: 10_000 }] }, GRACE_MS)
      const callers: support.CallerSocket[] = []
      const send = (): void => {
        const caller = gw.connect()
        callers.push(caller)
        const id = `r${callers.length}`
        caller.socket.once('connect', () => { caller.send(id, 'b') })
      }
      const sender = env.timers.every(REQUEST_INTERVAL_MS, send)
      await wait(500)
      await gw.stop()
      sender[Symbol.dispose]()
      await wait(100)
      await gw.exit()
      await Promise.all(callers.map(async (caller) => await caller.closed))
      const outcomes = callers.map((caller, index) => ({ id: `r${index + 1}`, isConnected: caller.socket.bytesWritten > 0, status: caller.statuses[0] }))
      const unanswered = outcomes.filter(({ status, isConnected }) => isConnected && status === undefined)
      chai.expect(unanswered.filter(({ id }) => ran.has(id))).to.deep.equal([])
      chai.expect(outcomes.filter(({ id, status }) => status === 503 && ran.has(id))).to.deep.equal([])
      chai.expect(outcomes.filter(({ status }) => status === 200).length).to.be.greaterThan(30)
      // Requests came until connections were no longer accepted.
      chai.expect(outcomes.filter(({ isConnected }) => !isConnected).length).to.be.greaterThan(0)
    })
  }
})
