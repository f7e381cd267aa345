/** HTTP listener for operators. */
import * as crypto from 'node:crypto'
import * as http from 'node:http'
import type * as net from 'node:net'
import type { OperatorActions } from './types.js'

/** Serves `/health`, `/metrics`, `/report`, `/drain` and `/keys/<id>/withdraw`. */
export class OperatorListener implements AsyncDisposable {
  private readonly server: http.Server

  /** With a `tokenDigest`, requests other than `/health` must carry the token that has this SHA-256 digest. */
  constructor (private readonly actions: OperatorActions, private readonly tokenDigest: string | undefined) {
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch((err: unknown) => send(res, 500, { message: err instanceof Error ? err.message : String(err) }))
    })
  }

  /** Starts listening; resolves with the port. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    return (this.server.address() as net.AddressInfo).port
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private async serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const operation = `${req.method} ${req.url}`
    if (operation === 'GET /health') {
      const { ready } = this.actions
      send(res, ready ? 200 : 503, { state: ready ? 'ready' : 'stopping' })
    } else if (!this.isAuthorized(req)) {
      send(res, 401, { message: 'an operator token is required' })
    } else if (operation === 'GET /metrics') {
      res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
      res.end(this.actions.metrics())
    } else if (operation === 'GET /report') {
      send(res, 200, this.actions.report())
    } else if (operation === 'POST /drain') {
      this.actions.drain()
      send(res, 202, { state: 'stopping' })
    } else {
      await this.withdraw(req, res)
    }
  }

  private async withdraw (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const id = /^\/keys\/([a-z0-9]{4,32})\/withdraw$/.exec(req.url ?? '')?.[1]
    if (req.method !== 'POST' || id === undefined) send(res, 404, { message: 'unknown path' })
    else send(res, 200, await this.actions.withdrawKey(id))
  }

  private isAuthorized (req: http.IncomingMessage): boolean {
    if (this.tokenDigest === undefined) return true
    const token = /^Bearer +(\S+)$/i.exec(req.headers.authorization ?? '')?.[1] ?? ''
    const digest = crypto.createHash('sha256').update(token).digest()
    return crypto.timingSafeEqual(digest, Buffer.from(this.tokenDigest, 'hex'))
  }
}

function send (res: http.ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}
