/** Tells a reset of a connection from its end, and passes the end on when the reader waits for more data. */
import type * as net from 'node:net'

/** Written to a closed connection to learn how it was closed; no peer receives it. */
const PROBE = '\r\n'

/** The peer reset the connection. Its code is not ECONNRESET, which undici takes as the end of a response without a length. */
export class ConnectionResetError extends Error {
  readonly code = 'ERR_CONNECTION_RESET'

  constructor (cause: Error) {
    super('connection reset', { cause })
  }
}

/**
 * Makes `socket`, which undici opened, fail with a {@link ConnectionResetError} when the peer resets the connection, and end
 * only when its reader waits for more data.
 */
export function detectResets (socket: net.Socket): void {
  new ResetDetector(socket).install()
}

type WriteCallback = (err?: Error | null) => void

/**
 * When data and a reset arrive together, libuv reports the data and then an end. How the connection was closed shows in the
 * error of a write: EPIPE when the peer had ended its side before the reset, else ECONNRESET.
 *
 * undici takes an end as the end of a response without a length, and asserts that its parser is not paused then.
 */
class ResetDetector {
  private readonly push: net.Socket['push']
  /** Whether an end was reported that has not been passed on. */
  private endHeld = false
  /** Whether the peer ended its side before any reset. */
  private peerEnded = false
  /** Whether the last read found no more data; a paused reader stops before that. */
  private drained = true
  /** Whether a probe was written. */
  private probed = false

  constructor (private readonly socket: net.Socket) {
    this.push = socket.push.bind(socket)
  }

  /** Replaces the methods through which the socket reports ends and errors. */
  install (): void {
    const { socket } = this
    const read = socket.read.bind(socket)
    const write = socket._write.bind(socket)
    const writev = socket._writev!.bind(socket)
    const destroy = socket._destroy.bind(socket)
    socket.push = (chunk, encoding) => chunk === null ? this.onEnd() : this.onData(chunk, encoding)
    socket.read = (size) => size === 0 ? read(0) as unknown : this.onRead(read(size))
    socket._write = (chunk, encoding, callback) => write(chunk, encoding, (err) => this.onWritten(err, callback))
    socket._writev = (chunks, callback) => writev(chunks, (err) => this.onWritten(err, callback))
    socket._destroy = (err, callback) => destroy(isError(err, 'ECONNRESET') ? new ConnectionResetError(err) : err, callback)
  }

  private onData (chunk: unknown, encoding?: BufferEncoding): boolean {
    this.drained = false
    return this.push(chunk, encoding)
  }

  private onRead (chunk: unknown): unknown {
    this.drained = chunk === null
    this.passOnEnd()
    return chunk
  }

  private onEnd (): boolean {
    this.endHeld = true
    if (this.peerEnded || this.isConnected()) this.confirmEnd()
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
    // What the peer sent before is still read; the write stays unfinished until the socket is destroyed.
    if (isError(err, 'EPIPE')) {
      this.confirmEnd()
      return
    }
    callback(err)
    if (err == null && this.endHeld && !this.peerEnded) this.onWrittenAfterEnd()
  }

  // The system may have accepted a write that waited before the connection was closed, but no probe after a reset.
  private onWrittenAfterEnd (): void {
    if (this.probed) this.confirmEnd()
    else this.probe()
  }

  private confirmEnd (): void {
    this.peerEnded = true
    this.passOnEnd()
  }

  private passOnEnd (): void {
    if (!this.endHeld || !this.peerEnded || !this.drained) return
    this.endHeld = false
    this.push(null)
    this.socket.read(0)
  }
}

function isError (err: Error | null | undefined, code: string): err is Error {
  return (err as NodeJS.ErrnoException | null | undefined)?.code === code
}
