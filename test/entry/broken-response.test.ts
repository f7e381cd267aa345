import * as chai from 'chai'
import * as targetClients from '../../src/target-clients/index.js'
import * as time from '../../src/time/index.js'
import * as earlyServer from '../support/early-server.js'
import * as entryFixture from './entry-fixture.js'

const TIMEOUT_MS = 10_000
const CHECK_MS = 5

// Callers of an entry got a part of a body as a whole response.
describe('a response without a length that a plain service resets', () => {
  for (const path of ['/again', '/once']) {
    it(`is not passed on as whole: ${path}`, async () => {
      await using server = new earlyServer.EarlyServer((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\npart')
        socket.resetAndDestroy()
      })
      await using clients = new targetClients.HttpTargetClients()
      const url = `http://${await server.listen()}`
      const fixture = new entryFixture.EntryFixture()
      Object.assign(fixture.deps, { targets: { engine: () => { throw new Error('no engine') }, plain: () => clients.plain(url) } })
      const res = fixture.sendPlain(path, { body: 'b'.repeat(earlyServer.LONG_BODY_BYTES), idempotencyKey: `${fixture.time.wallTimeMs()}-a` })
      const timers = new time.SystemTimers()
      for (let waitedMs = 0; waitedMs < TIMEOUT_MS && !res.ended; waitedMs += CHECK_MS) {
        await fixture.time.advance(1)
        await time.delay(timers, CHECK_MS)
      }
      chai.expect(res.ended).to.equal(true)
      chai.expect(res.status).to.equal(502)
    })
  }
})
