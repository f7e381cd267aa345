/** The connections of callers, and the requests on each whose responses were not written completely. */
import type * as http from 'node:http'
import type * as net from 'node:net'

interface CallerConnection {
  /** For each request without a complete response, what is to be done when it has one or the connection closes. */
  readonly pending: Map<http.IncomingMessage, () => void>
  newest: http.IncomingMessage | undefined
  /** Bytes that were received when the last response was complete; undefined before the first. */
  bytesAtLastEnd: number | undefined
  /** Whether a response has announced that it closes the connection. */
  closing: boolean
}

/** Tracks the connections of callers. */
export class CallerConnections {
  private readonly connections = new Map<net.Socket, CallerConnection>()

  /** Tracks a connection until it closes. */
  add (socket: net.Socket): void {
    const connection: CallerConnection = { pending: new Map(), newest: undefined, bytesAtLastEnd: undefined, closing: false }
    this.connections.set(socket, connection)
    socket.once('close', () => {
      this.connections.delete(socket)
      for (const onEnd of [...connection.pending.values()]) onEnd()
    })
  }

  /**
   * Notes a request; calls `onEnd` once, when the response was written completely or the connection has closed. Returns
   * false when an earlier response closes the connection: the request cannot have a response and must not be handled.
   */
  begin (req: http.IncomingMessage, res: http.ServerResponse, onEnd: () => void): boolean {
    const connection = this.connections.get(req.socket)
    if (connection === undefined || connection.closing) return false
    connection.newest = req
    const end = (): void => {
      if (!connection.pending.delete(req)) return
      connection.bytesAtLastEnd = req.socket.bytesRead
      onEnd()
    }
    connection.pending.set(req, end)
    // A response that waits for an earlier one emits no event when its connection closes.
    res.once('close', end)
    return true
  }

  /**
   * Whether the response to `req` may announce that it closes the connection: no further request was read on it, and no earlier
   * response is pending, since the caller may send more until it learns of the close. A request whose body is not read on
   * always closes it. No request is accepted on the connection from then on.
   */
  closeAfter (req: http.IncomingMessage): boolean {
    const connection = this.connections.get(req.socket)
    if (connection === undefined) return true
    const [oldest] = connection.pending.keys()
    if (connection.newest !== req || (oldest !== req && req.complete)) return false
    connection.closing = true
    return true
  }

  /** Closes the connections whose responses were all written and on which no further request has begun to arrive. */
  closeIdle (): void {
    for (const [socket, { pending, bytesAtLastEnd }] of this.connections) {
      if (pending.size === 0 && bytesAtLastEnd === socket.bytesRead) socket.destroy()
    }
  }
}
