/** The connection of a caller: its requests, and the memory that it holds. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as bytes from '../bytes/index.js'
import * as callerInput from './caller-input.js'
import type * as clientShares from './client-shares.js'
import * as inputTurns from './input-turns.js'

/** Bytes of the objects of an open connection, outside of its buffers. */
const CONNECTION_BYTES = 8 * 1024

/** Bytes of memory for each byte of an unfinished request head: the parser holds a copy. */
const HEAD_BYTE_COST = 2

/** Requests of one connection without a complete response beyond which it is not read. */
const MAX_PIPELINED = 8

/** Progress of a body that counts as such, in bytes: otherwise a byte now and then would. */
const PROGRESS_BYTES = 4 * 1024

/** A body that is being received. */
export interface IncomingBody {
  /** Share of its client account; undefined when it is small. */
  readonly account: clientShares.ClientShare | undefined
  /** Ends the reading with a refusal for lack of memory. */
  refuse: () => void
}

/** A request without a complete response. */
interface PendingResponse {
  readonly res: http.ServerResponse
  readonly onEnd: () => void
}

/** What a connection needs of the others. */
export interface CallerConnectionDeps {
  readonly address: clientShares.ClientShare
  /** Largest number of bytes that the connection may hold. */
  readonly maxBytes: number
  readonly turns: inputTurns.InputTurns
  readonly now: () => number
  readonly onReceived: (bytes: number) => void
  /** Called when the connection holds memory that it can be made to release. */
  readonly onHolding: (connection: CallerConnection) => void
  /** Called when the share of an account has grown. */
  readonly onAccountGrown: (account: clientShares.ClientShare) => void
  /** Called when the caller has sent, or read, some of what is held. */
  readonly onProgress: (connection: CallerConnection) => void
  /** Called when it no longer does. */
  readonly onReleased: (connection: CallerConnection) => void
}

/** One connection, until it closes. */
export class CallerConnection {
  /** Requests without a complete response, in order. */
  private readonly pending = new Map<http.IncomingMessage, PendingResponse>()
  private newest: http.IncomingMessage | undefined
  /** The newest request when bytes were parsed last. */
  private parsedRequest: http.IncomingMessage | undefined
  private readonly input: callerInput.CallerInput
  private body: IncomingBody | undefined
  private closed = false
  private headBytes = 0
  private bodyBytesAtProgress = 0
  /** Bytes of output that the caller has not read. */
  private unreadBytes = 0
  /** Bytes that were received when the last response was complete; undefined before the first. */
  private bytesAtLastEnd: number | undefined
  readonly memory: bytes.ByteBudget
  /** When the connection began to hold memory, or made progress last, in ms on the monotonic clock. */
  progressAt: number
  /** When bytes were last received. */
  receivedAt: number
  /** Whether a response has announced that it closes the connection. */
  closing = false
  /** Whether the connection was made to release its memory. */
  dropped = false

  constructor (readonly socket: net.Socket, private readonly deps: CallerConnectionDeps) {
    this.memory = new bytes.ByteBudget(deps.maxBytes, { parent: deps.address.memory, reserveBytes: Infinity })
    this.memory.take(CONNECTION_BYTES)
    this.progressAt = deps.now()
    this.receivedAt = this.progressAt
    this.input = new callerInput.CallerInput({
      socket,
      memory: this.memory,
      turns: deps.turns,
      onReceived: (size) => this.noteReceived(size),
      onHeld: () => deps.onHolding(this),
      isFull: () => this.pending.size >= MAX_PIPELINED,
      onParsed: (size) => this.noteParsed(size)
    })
  }

  get address (): clientShares.ClientShare {
    return this.deps.address
  }

  /** Whether what it holds counts in a share. */
  countsIn (share: clientShares.ClientShare): boolean {
    return this.deps.address === share || this.body?.account === share
  }

  /** Whether the connection has carried no request yet. */
  get unused (): boolean {
    return this.newest === undefined
  }

  /** Whether no request is in progress and nothing of one has arrived. */
  get idle (): boolean {
    return this.pending.size === 0 && !this.holding
  }

  /** Whether it holds memory that it can be made to release. */
  get holding (): boolean {
    return this.body !== undefined || this.unreadBytes > 0 || this.headBytes > 0 || this.input.unparsedBytes > 0
  }

  /** Time since bytes were received; 0 while received bytes wait to be parsed. */
  get idleMs (): number {
    return this.input.unparsedBytes > 0 ? 0 : this.deps.now() - this.receivedAt
  }

  /** Whether the caller does not read its responses. */
  get hasUnreadOutput (): boolean {
    return this.unreadBytes > 0
  }

  /** Responses that are not written completely, in order. */
  openResponses (): http.ServerResponse[] {
    return [...this.pending.values()].map(({ res }) => res)
  }

  /** Notes a request; `onEnd` is called once, when its response was written completely or the connection has closed. */
  begin (req: http.IncomingMessage, res: http.ServerResponse, onEnd: () => void): void {
    this.newest = req
    this.input.work += inputTurns.REQUEST_WORK
    if (req.headers['transfer-encoding'] !== undefined) this.input.noteChunked()
    this.pending.set(req, { res, onEnd })
    // A response that waits for an earlier one emits no event when its connection closes.
    res.once('close', () => this.end(req))
  }

  /** Whether the response to `req` may announce that it closes the connection; no request is accepted from then on. */
  closeAfter (req: http.IncomingMessage): boolean {
    const [oldest] = this.pending.keys()
    if (this.newest !== req || this.input.unparsedBytes > 0 || (oldest !== req && req.complete)) return false
    this.closing = true
    return true
  }

  /** Closes the connection if all responses were written and no further request has begun to arrive. */
  closeIfIdle (): void {
    if (this.idle && this.bytesAtLastEnd === this.socket.bytesRead) this.socket.destroy()
  }

  /** Notes that the body of the newest request is being received. */
  beginBody (body: IncomingBody): void {
    this.body = body
    this.bodyBytesAtProgress = 0
  }

  /** Notes a chunk of the body; `heldBytes` are those of all its chunks. */
  noteBodyChunk (heldBytes: number): void {
    this.input.work += inputTurns.BODY_CHUNK_WORK
    if (this.body?.account !== undefined) this.deps.onAccountGrown(this.body.account)
    if (heldBytes - this.bodyBytesAtProgress < PROGRESS_BYTES) return
    this.bodyBytesAtProgress = heldBytes
    this.deps.onProgress(this)
  }

  /** Notes that the body is complete or no longer wanted. */
  endBody (): void {
    if (this.body === undefined) return
    this.body = undefined
    this.noteMaybeReleased()
  }

  /** Changes the bytes of output that the caller has not read. */
  addUnread (size: number): void {
    if (this.closed) return
    this.unreadBytes += size
    this.memory.take(size)
    if (this.unreadBytes === 0) {
      this.noteMaybeReleased()
      return
    }
    this.deps.onHolding(this)
    if (size < 0) this.deps.onProgress(this)
  }

  /** Reads on, but discards what is read; no further request is accepted. */
  discardInput (): void {
    this.closing = true
    this.clearHead()
    this.input.discard()
  }

  /**
   * Makes the connection release its memory. A request whose body is incomplete is refused as not executed; otherwise the
   * connection is reset, so that the kernel drops what it holds too.
   */
  drop (): void {
    this.dropped = true
    if (!this.refuseBody()) {
      this.discardInput()
      this.socket.resetAndDestroy()
    }
  }

  /** Refuses the request whose body is incomplete as not executed; false when there is none, or an earlier response is pending. */
  refuseBody (): boolean {
    const { body } = this
    if (body === undefined || this.pending.size > 1) return false
    this.discardInput()
    body.refuse()
    return true
  }

  /** Releases everything; the connection has closed. */
  close (): void {
    for (const req of [...this.pending.keys()]) this.end(req)
    this.closed = true
    this.input.discard()
    this.clearHead()
    // Responses that wait for an earlier one do not tell that their output is gone.
    this.memory.release(CONNECTION_BYTES + this.unreadBytes)
    this.unreadBytes = 0
    this.deps.onReleased(this)
  }

  private end (req: http.IncomingMessage): void {
    const response = this.pending.get(req)
    if (response === undefined) return
    this.pending.delete(req)
    this.bytesAtLastEnd = this.socket.bytesRead
    response.onEnd()
    this.input.continue()
  }

  private noteReceived (size: number): void {
    this.receivedAt = this.deps.now()
    this.deps.onReceived(size)
  }

  /** Notes parsed bytes: they belong to the newest request, or to a head that is not complete. */
  private noteParsed (size: number): void {
    const { newest } = this
    const isNew = newest !== this.parsedRequest
    this.parsedRequest = newest
    if (newest?.complete === false) {
      this.clearHead()
      if (this.body !== undefined) this.deps.onHolding(this)
      return
    }
    this.input.noteMessageEnd()
    if (isNew) this.clearHead()
    else this.addHeadBytes(size)
  }

  private addHeadBytes (size: number): void {
    if (this.closing) return
    this.headBytes += size
    this.memory.take(size * HEAD_BYTE_COST)
    this.deps.onHolding(this)
  }

  private clearHead (): void {
    if (this.headBytes === 0) return
    this.memory.release(this.headBytes * HEAD_BYTE_COST)
    this.headBytes = 0
    this.noteMaybeReleased()
  }

  private noteMaybeReleased (): void {
    if (!this.holding) this.deps.onReleased(this)
  }
}
