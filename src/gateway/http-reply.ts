/** Responses to callers over Node's HTTP server. */
import type * as http from 'node:http'
import type * as calls from '../call/index.js'

/** Writes a reply to a server response; `closing` tells whether the response closes its connection. */
export class HttpReply implements calls.Reply {
  constructor (private readonly res: http.ServerResponse, private readonly closing: () => boolean) {}

  get started (): boolean {
    return this.res.headersSent
  }

  send (head: calls.ResponseHead, body: Uint8Array): void {
    this.writeHead(head.status, [...head.headers, 'content-length', String(body.length)])
    this.res.end(body)
  }

  start (head: calls.ResponseHead): void {
    this.res.socket?.setNoDelay(true)
    this.writeHead(head.status, head.headers)
  }

  write (chunk: Uint8Array): boolean {
    return this.res.write(chunk)
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
