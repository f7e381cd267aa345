import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import * as httpJson from '../../platform/http-json.js'

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
})
