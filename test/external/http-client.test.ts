import * as chai from 'chai'
import * as external from '../../src/external/index.js'
import * as earlyServer from '../support/early-server.js'

// A deletion whose response was reset before its body counted as done, as an empty body is a valid one.
describe('a response of the platform without a length', () => {
  for (const [close, outcome] of [['reset', 'unknown'], ['end', 'ok'], ['endAndReset', 'ok']] as const) {
    it(`is whole only if the platform ended it: ${close}`, async () => {
      await using server = new earlyServer.EarlyServer((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n')
        earlyServer.CLOSES[close](socket)
      })
      await using platform = new external.HttpPlatform(`http://${await server.listen()}`)
      const deletion = await platform.store.delete('key', 1)
      chai.expect(deletion.ok ? 'ok' : deletion.val.kind).to.equal(outcome)
    })
  }
})
