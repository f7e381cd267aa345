/** Tells a reset of a connection from its end. */
import type * as net from 'node:net'

/** Written to a closed connection to learn how it was closed; no peer receives it. */
const PROBE = '\r\n'

/** The peer reset the connection. The code differs from ECONNRESET, which undici takes as the end of a response without a length. */
export class ConnectionResetError extends Error {
  readonly code = 'ERR_CONNECTION_RESET'

  constructor (cause: Error) {
    super('connection reset', { cause })
  }
}

/** Makes `socket`, which undici opened, fail with a {@link ConnectionResetError} when the peer resets the connection. */
export function detectResets (socket: net.Socket): void {
  new ResetDetector(socket).install()
}

type WriteCallback = (err?: Error | null) => void

/**
 * When data and a reset arrive together, libuv reports the data and then an end. How the connection was closed shows in the
 * error of a write: EPIPE when the peer had ended its side before the reset, else ECONNRESET.
 */
class ResetDetector {
  private readonly push: net.Socket['push']
  /** Whether an end was reported that has not been passed on. */
  private endHeld = false
  /** Whether a write showed that the peer ended its side before it reset the connection. */
  private endedBeforeReset = false
  private probed = false

  constructor (private readonly socket: net.Socket) {
    this.push = socket.push.bind(socket)
  }

  /** Replaces the methods through which the socket reports ends and errors. */
  install (): void {
    const { socket } = this
    const write = socket._write.bind(socket)
    const writev = socket._writev!.bind(socket)
    const destroy = socket._destroy.bind(socket)
    socket.push = (chunk, encoding) => chunk === null ? this.onEnd() : this.push(chunk, encoding)
    socket._write = (chunk, encoding, callback) => write(chunk, encoding, (err) => this.onWritten(err, callback))
    socket._writev = (chunks, callback) => writev(chunks, (err) => this.onWritten(err, callback))
    socket._destroy = (err, callback) => destroy(isError(err, 'ECONNRESET') ? new ConnectionResetError(err) : err, callback)
  }

  private onEnd (): boolean {
    this.endHeld = true
    if (this.endedBeforeReset || this.isConnected()) this.releaseEnd()
    // A write that is still waiting fails in this turn of the event loop.
    else if (this.socket.writableLength === 0) this.probe()
    return false
  }

  // The system has no address of the peer any more after a reset. Node caches the address, so it is read only here.
  private isConnected (): boolean {
    return this.socket.remoteAddress !== undefined
  }

  private probe (): void {
    this.probed = true
    this.socket.write(PROBE)
  }

  private onWritten (err: Error | null | undefined, callback: WriteCallback): void {
    if (isError(err, 'EPIPE')) {
      this.onEndBeforeReset()
      return
    }
    callback(err)
    if (err == null && this.endHeld) this.onWrittenAfterEnd()
  }

  // What the peer sent before the end of its side is still read; the write stays unfinished until the socket is destroyed.
  private onEndBeforeReset (): void {
    this.endedBeforeReset = true
    if (this.endHeld) this.releaseEnd()
  }

  // The system may have accepted a write that waited before the connection was closed, but no probe after a reset.
  private onWrittenAfterEnd (): void {
    if (this.probed) this.releaseEnd()
    else this.probe()
  }

  private releaseEnd (): void {
    this.endHeld = false
    this.push(null)
    this.socket.read(0)
  }
}

function isError (err: Error | null | undefined, code: string): err is Error {
  return (err as NodeJS.ErrnoException | null | undefined)?.code === code
}
