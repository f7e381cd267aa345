/** Servers whose bytes are written by a test. */
import * as net from 'node:net'

const HOST = '127.0.0.1'

/** A TCP server on a free port; disposing closes its connections. */
export class ByteServer implements AsyncDisposable {
  private readonly sockets = new Set<net.Socket>()
  private readonly server: net.Server

  constructor (onConnection: (socket: net.Socket) => void, options: net.ServerOpts = {}) {
    this.server = net.createServer(options, (socket) => {
      this.sockets.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('close', () => this.sockets.delete(socket))
      onConnection(socket)
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
