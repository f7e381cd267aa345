import * as chai from 'chai'
import * as operator from '../../src/operator/index.js'
import * as earlyServer from '../support/early-server.js'

const DRAINING = '{"state":"draining"}'

// A response that was reset counted as whole.
describe('a response of the operator interface without a length', () => {
  for (const [close, ok] of [['reset', false], ['end', true], ['endAndReset', true]] as const) {
    it(`is whole only if the entry ended it: ${close}`, async () => {
      await using server = new earlyServer.EarlyServer((socket) => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${DRAINING}`)
        earlyServer.CLOSES[close](socket)
      })
      const client = new operator.OperatorClient(await server.listen(), undefined)
      chai.expect((await client.drain()).ok).to.equal(ok)
    })
  }
})
