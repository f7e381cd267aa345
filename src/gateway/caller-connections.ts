/** The connections of callers, and the requests on each whose responses were not written completely. */
import type * as http from 'node:http'
import type * as net from 'node:net'

interface CallerConnection {
  /** For each request without a complete response, what is to be done when it has one or the connection closes. */
  readonly pending: Map<http.IncomingMessage, () => void>
  /** Bytes that were received when the last response was complete; undefined before the first. */
  bytesAtLastEnd: number | undefined
}

/** Tracks the connections of callers. */
export class CallerConnections {
  private readonly connections = new Map<net.Socket, CallerConnection>()

  /** Tracks a connection until it closes. */
  add (socket: net.Socket): void {
    const connection: CallerConnection = { pending: new Map(), bytesAtLastEnd: undefined }
    this.connections.set(socket, connection)
    socket.once('close', () => {
      this.connections.delete(socket)
      for (const onEnd of [...connection.pending.values()]) onEnd()
    })
  }

  /** Notes a request; calls `onEnd` once, when the response was written completely or the connection has closed. */
  begin (req: http.IncomingMessage, res: http.ServerResponse, onEnd: () => void): void {
    const connection = this.connections.get(req.socket)
    if (connection === undefined) return
    const end = (): void => {
      if (!connection.pending.delete(req)) return
      connection.bytesAtLastEnd = req.socket.bytesRead
      onEnd()
    }
    connection.pending.set(req, end)
    // A response that waits for an earlier one emits no event when its connection closes.
    res.once('close', end)
  }

  /** Closes the connections whose responses were all written and on which no further request has begun to arrive. */
  closeIdle (): void {
    for (const [socket, { pending, bytesAtLastEnd }] of this.connections) {
      if (pending.size === 0 && bytesAtLastEnd === socket.bytesRead) socket.destroy()
    }
  }
}
