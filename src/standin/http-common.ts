/** Helpers of the stand-in HTTP servers. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as bytes from '../bytes/index.js'

/** Largest accepted request body, in bytes. */
const MAX_BODY_BYTES = 4 * 1024 * 1024

/** A listening stand-in server; disposing closes it. */
export interface StandinServer extends AsyncDisposable {
  readonly url: string
}

/** Handles one request to a stand-in. */
export type StandinHandler = (req: http.IncomingMessage, res: http.ServerResponse, url: URL) => Promise<void>

/** Starts a server on loopback; responds with status 500 when the handler throws. */
export async function listenOnLoopback (handler: StandinHandler, port = 0): Promise<StandinServer> {
  const server = http.createServer((req, res) => {
    handler(req, res, new URL(req.url ?? '/', 'http://127.0.0.1')).catch((err: unknown) => {
      if (res.headersSent) res.destroy()
      else sendJson(res, 500, { message: err instanceof Error ? err.message : String(err) })
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return {
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    async [Symbol.asyncDispose] () {
      server.closeAllConnections()
      await new Promise<void>((resolve) => { server.close(() => resolve()) })
    }
  }
}

/** Sends a JSON response. */
export function sendJson (res: http.ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}

/** Reads a complete request body; throws when it is larger than the limit. */
export async function readBody (req: http.IncomingMessage): Promise<Uint8Array> {
  return await bytes.readAll(req, MAX_BODY_BYTES)
}

/** Reads and parses a JSON request body. */
export async function readJson (req: http.IncomingMessage): Promise<unknown> {
  return JSON.parse(new TextDecoder().decode(await readBody(req)))
}
