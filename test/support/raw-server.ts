/** Servers that write responses as bytes. */
import * as net from 'node:net'

const HOST = '127.0.0.1'

/** End of the requests of these tests, whose body is `b`. */
const REQUEST_END = /\r\n\r\nb$/

/** An HTTP server on a free port whose responses are written as bytes; disposing closes its connections. */
export class RawServer implements AsyncDisposable {
  private readonly sockets = new Set<net.Socket>()
  private readonly server: net.Server

  /** `onRequest` gets each complete request as text. */
  constructor (onRequest: (socket: net.Socket, request: string) => void) {
    this.server = net.createServer((socket) => {
      this.sockets.add(socket)
      socket.on('error', () => socket.destroy())
      let text = ''
      socket.on('data', (data) => {
        text += data.toString('latin1')
        if (!REQUEST_END.test(text)) return
        const request = text
        text = ''
        onRequest(socket, request)
      })
    })
  }

  /** Starts listening; resolves with the `ip:port`. */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, HOST, resolve))
    return `${HOST}:${(this.server.address() as net.AddressInfo).port}`
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
  }
}

/** The id of a request. */
export function requestId (request: string): string {
  return /^request-id: (\S+)/im.exec(request)![1]!
}
