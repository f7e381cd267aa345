import * as net from 'node:net'
import * as chai from 'chai'
import * as support from '../support/gateway-process.js'

const HOST = '127.0.0.1'

const HEAD = 'response-stamp: s\r\nrequest-id: ID\r\n'

/** Responses whose end can be told from the end of their connection. */
const RESPONSES = {
  'a length': `HTTP/1.1 200 OK\r\n${HEAD}content-length: 5\r\n\r\nwhole`,
  chunks: `HTTP/1.1 200 OK\r\n${HEAD}transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n`,
  'an interim response before': `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n${HEAD}content-length: 5\r\n\r\nwhole`,
  'no body': `HTTP/1.1 200 OK\r\n${HEAD}content-length: 0\r\n\r\n`
}

/** A server that sends its response up to the byte that the path of the request names, and then closes the connection. */
class TruncatingServer implements AsyncDisposable {
  private readonly sockets = new Set<net.Socket>()
  private readonly server: net.Server

  constructor (response: string) {
    this.server = net.createServer((socket) => {
      this.sockets.add(socket)
      let text = ''
      socket.on('error', () => socket.destroy())
      socket.on('data', (data) => {
        text += data.toString('latin1')
        const [, bytes, how] = /^POST \/r\/(\d+)\/(\w+)/.exec(text) ?? []
        if (!/\r\n\r\nb$/.test(text)) return
        const part = response.replace('ID', /^request-id: (\S+)/im.exec(text)![1]!).slice(0, Number(bytes))
        text = ''
        if (how === 'reset') socket.write(part, () => socket.resetAndDestroy())
        else socket.end(part)
      })
    })
  }

  async listen (): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, HOST, resolve))
    return `${HOST}:${(this.server.address() as net.AddressInfo).port}`
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
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
