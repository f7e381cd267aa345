/** Servers that respond before they have read the request. */
import type * as net from 'node:net'
import * as byteServer from './byte-server.js'

/** Body of a request that the buffers of two sockets on loopback do not hold, so that its write waits; in bytes. */
export const LONG_BODY_BYTES = 7_000_000

/** An HTTP server that responds to the first bytes of a request, and reads no more of it. */
export class EarlyServer extends byteServer.ByteServer {
  /** `respond` gets the bytes that have arrived as text; they hold the head. */
  constructor (respond: (socket: net.Socket, request: string) => void) {
    super((socket) => {
      socket.once('data', (data) => {
        socket.pause()
        respond(socket, data.toString('latin1'))
      })
    }, { allowHalfOpen: true })
  }
}

/** How a server closes the connection after the last byte of its response. */
export const CLOSES = {
  /** Resets it, with bytes of the request unread. */
  reset: (socket: net.Socket): void => { socket.resetAndDestroy() },
  /** Ends its side, and leaves the connection open. */
  end: (socket: net.Socket): void => { socket.end() },
  /** Ends its side, and then resets the connection. */
  endAndReset: (socket: net.Socket): void => { socket.end(() => socket.resetAndDestroy()) }
}
