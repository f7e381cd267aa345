/** Responses to callers over Node's HTTP server. */
import type * as http from 'node:http'
import type * as calls from '../call/index.js'

/** Size of the pieces in which a large response is written, in bytes; each counts as progress of its caller. */
const PIECE_BYTES = 64 * 1024

/** Bytes that arrive from the target, and wait in the kernel and its socket, while a stream is paused. */
const PAUSED_SOURCE_BYTES = 128 * 1024

/**
 * Writes a reply to a server response. `closing` tells whether the response closes its connection; `addUnread` is called with
 * the change of the bytes that the caller has not read.
 */
export class HttpReply implements calls.Reply {
  /** Bytes that the caller has not read. */
  private unreadBytes = 0
  private watchesClose = false

  constructor (private readonly res: http.ServerResponse, private readonly closing: () => boolean, private readonly addUnread: (bytes: number) => void = () => {}) {}

  get started (): boolean {
    return this.res.headersSent
  }

  send (head: calls.ResponseHead, body: Uint8Array): void {
    this.writeHead(head.status, [...head.headers, 'content-length', String(body.length)])
    if (body.length > PIECE_BYTES) this.sendFrom(body, 0)
    else this.endWith(body)
  }

  start (head: calls.ResponseHead): void {
    this.res.socket?.setNoDelay(true)
    this.writeHead(head.status, head.headers)
  }

  write (chunk: Uint8Array): boolean {
    if (this.res.write(chunk)) return true
    this.setUnread(this.res.writableLength + PAUSED_SOURCE_BYTES)
    this.res.once('drain', () => this.setUnread(0))
    return false
  }

  end (): void {
    this.res.end()
  }

  abort (): void {
    breakOff(this.res)
  }

  onDrain (fn: () => void): void {
    this.res.once('drain', fn)
  }

  private sendFrom (body: Uint8Array, start: number): void {
    const end = start + PIECE_BYTES
    if (end >= body.length) {
      this.endWith(body.subarray(start))
      return
    }
    if (this.res.write(body.subarray(start, end))) {
      this.sendFrom(body, end)
      return
    }
    this.setUnread(this.res.writableLength + body.length - end)
    this.res.once('drain', () => this.sendFrom(body, end))
  }

  private endWith (rest: Uint8Array): void {
    this.res.end(rest)
    this.setUnread(this.res.writableLength)
  }

  private setUnread (bytes: number): void {
    if (bytes === this.unreadBytes) return
    if (!this.watchesClose) this.res.once('close', () => this.setUnread(0))
    this.watchesClose = true
    this.addUnread(bytes - this.unreadBytes)
    this.unreadBytes = bytes
  }

  private writeHead (status: number, headers: readonly string[]): void {
    if (this.started) throw new Error('the head of this response was already sent')
    if (this.res.destroyed) return
    this.res.writeHead(status, this.closing() ? [...headers, 'connection', 'close'] : [...headers])
  }
}

/** Closes the connection of a response that stays incomplete; a body that ends with its connection would look complete unless that is reset. */
export function breakOff (res: http.ServerResponse): void {
  if (res.headersSent && res.req.httpVersion === '1.0') res.socket?.resetAndDestroy()
  res.destroy()
}
