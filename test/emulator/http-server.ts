/** A small HTTP server on loopback. */
import * as http from 'node:http'
import type * as net from 'node:net'

/** Host that everything of the emulator listens on. */
export const HOST = '127.0.0.1'

/** Handles one request; a request whose handler throws is answered with status 500. */
export type Handler = (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>

/** A listening server; disposing closes all its connections. */
export class HttpServer implements AsyncDisposable {
  private constructor (private readonly server: http.Server) {}

  static async listen (handler: Handler, port = 0): Promise<HttpServer> {
    const server = http.createServer({ keepAliveTimeout: 4_000 }, (req, res) => {
      handler(req, res).catch(() => {
        if (res.headersSent) res.destroy()
        else sendJson(res, 500, {})
      })
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, HOST, resolve)
    })
    return new HttpServer(server)
  }

  get port (): number {
    return (this.server.address() as net.AddressInfo).port
  }

  get address (): string {
    return `${HOST}:${this.port}`
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }
}

/** Sends a JSON response. */
export function sendJson (res: http.ServerResponse, status: number, body: unknown, headers: http.OutgoingHttpHeaders = {}): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { ...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

/** Reads a complete body. */
export async function readBody (req: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks)
}

/** Reads a JSON body; undefined when there is none. */
export async function readJson (req: http.IncomingMessage): Promise<unknown> {
  const body = await readBody(req)
  return body.length === 0 ? undefined : JSON.parse(body.toString())
}
