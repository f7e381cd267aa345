import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import * as httpJson from '../../platform/http-json.js'
import * as earlyServer from '../support/early-server.js'
import * as malformedResponses from '../support/malformed-responses.js'

const PIECE = Buffer.alloc(256 * 1024, '"x",')

/** A service that responds with a list that never ends, until its caller closes the connection. */
class EndlessService implements AsyncDisposable {
  closed = false
  private readonly server = http.createServer((_req, res) => {
    res.writeHead(200, { 'content-type': 'application/json' })
    res.on('close', () => { this.closed = true })
    this.write(res)
  })

  async listen (): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private write (res: http.ServerResponse): void {
    if (res.destroyed) return
    res.write(PIECE, () => this.write(res))
  }
}

describe('client of the platform services', () => {
  // The response was buffered without a limit until the call timed out.
  it('gives up a response that exceeds the size limit, and closes its connection', async () => {
    await using service = new EndlessService()
    await using client = new httpJson.JsonClient(await service.listen())
    const result = await client.call({ method: 'GET', path: '/', timeoutMs: 20_000 })
    chai.expect(result.err && result.val.message).to.contain('more than')
    while (!service.closed) await new Promise((resolve) => setTimeout(resolve, 10))
  })

  // A response that was reset before its body counted as an empty one.
  for (const [close, status] of [['reset', undefined], ['end', 200], ['endAndReset', 200]] as const) {
    it(`takes a response without a length as whole only if the service ended it: ${close}`, async () => {
      await using service = new earlyServer.EarlyServer((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n')
        earlyServer.CLOSES[close](socket)
      })
      await using client = new httpJson.JsonClient(await service.listen())
      const result = await client.call({ method: 'POST', path: '/', body: {}, timeoutMs: 5_000 })
      chai.expect(result.ok ? result.val.status : undefined).to.equal(status)
      if (result.err) chai.expect(result.val.sent).to.equal(true)
    })
  }

  // Reported of other systems: answers with status 000, and lines whose name held a blank or a control byte, counted as answers.
  it('takes no response with a malformed head', async () => {
    for (const framing of malformedResponses.FRAMING_NAMES) {
      let respond = malformedResponses.soundResponse(framing)
      await using service = new earlyServer.EarlyServer((socket) => { socket.end(respond('a')) })
      await using client = new httpJson.JsonClient(await service.listen())
      const call = async (): Promise<boolean> => (await client.call({ method: 'GET', path: '/', timeoutMs: 5_000 })).ok
      chai.expect(await call()).to.equal(true)
      const accepted: string[] = []
      for (const [name, response] of malformedResponses.malformedResponses(framing)) {
        respond = response
        if (await call()) accepted.push(name)
      }
      chai.expect(accepted).to.deep.equal([])
    }
  })
})
