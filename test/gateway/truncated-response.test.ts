import * as chai from 'chai'
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
