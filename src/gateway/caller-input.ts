/** The bytes that a caller sends on one connection, on their way to Node's HTTP parser. */
import type * as net from 'node:net'
import type * as bytes from '../bytes/index.js'
import * as inputTurns from './input-turns.js'

/** Bytes that are parsed at once before the work that they cause is known; doubled while it is small. */
const PART_BYTES = 2 * 1024

/** Work of a part beyond which the rest of the message is parsed in turns. */
const COSTLY_PART_WORK = 64

/** Bytes that the kernel, and the socket itself, may receive and hold for a connection that is not read. */
const UNREAD_BYTES = 128 * 1024

/** A socket of Node's HTTP server, which sets the flag while it reads no further requests: its parser must not be called then. */
interface ServerSocket extends net.Socket {
  readonly _paused?: boolean
}

/** What the input needs of its connection. */
export interface CallerInputDeps {
  readonly socket: net.Socket
  readonly memory: bytes.ByteBudget
  readonly turns: inputTurns.InputTurns
  readonly onReceived: (bytes: number) => void
  /** Called when the input holds bytes that wait. */
  readonly onHeld: () => void
  /** Whether the connection has as many requests as it may have. */
  readonly isFull: () => boolean
  /** Called after bytes were parsed. */
  readonly onParsed: (bytes: number) => void
}

/**
 * Passes the input of a connection to Node's parser. One read of 64 KiB can hold ten thousand chunks, each of which costs a
 * buffer and a callback: input of that kind waits for its turn, and nothing is read meanwhile.
 */
export class CallerInput implements inputTurns.ParserInput {
  /** Work of the chunks and requests parsed so far. */
  work = 0
  private readonly socket: ServerSocket
  private readonly parse: (data: Buffer) => void
  private readonly waiting: Buffer[] = []
  /** Parsed bytes of the first waiting buffer. */
  private parsedBytes = 0
  private waitingBytes = 0
  private costly = false
  private discarding = false

  constructor (private readonly deps: CallerInputDeps) {
    this.socket = deps.socket
    const [parse] = this.socket.listeners('data')
    this.parse = parse as (data: Buffer) => void
    this.socket.removeListener('data', this.parse)
    this.socket.on('data', (data: Buffer) => this.receive(data))
    this.socket.on('resume', () => this.continue())
  }

  /** Bytes that were received and not parsed. */
  get unparsedBytes (): number {
    return this.waitingBytes
  }

  get ready (): boolean {
    return this.waitingBytes > 0 && this.mayParse
  }

  /**
   * Notes that a request with chunks has begun. The work of those that are parsed at once with its head is not known, as Node
   * passes them on later, so the others wait for their turn.
   */
  noteChunked (): void {
    this.costly = true
  }

  /** Notes that a message is complete: the next one may be an ordinary one. */
  noteMessageEnd (): void {
    this.costly = false
  }

  /** Parses waiting input if that is possible again. */
  continue (): void {
    if (this.waitingBytes === 0) return
    this.socket.pause()
    if (this.ready) this.deps.turns.add(this)
  }

  /** Discards what waits and what is received from now on; the parser is not called again. */
  discard (): void {
    this.discarding = true
    this.deps.turns.remove(this)
    if (this.waitingBytes > 0) this.release()
    this.socket.resume()
  }

  parseNext (): number {
    const before = this.work
    const [data] = this.waiting
    if (data === undefined) return 0
    const part = data.subarray(this.parsedBytes, this.parsedBytes + PART_BYTES)
    this.parsedBytes += part.length
    this.pass(part)
    // The parser's callbacks may have discarded the input.
    if (this.waiting[0] === data && this.parsedBytes === data.length) this.dropFirst(data.length)
    return this.work - before + inputTurns.BODY_CHUNK_WORK
  }

  private receive (data: Buffer): void {
    if (this.discarding) return
    this.deps.onReceived(data.length)
    if (this.waitingBytes > 0 || this.costly || !this.mayParse) this.hold(data)
    else if (data.length <= PART_BYTES) this.pass(data)
    else this.passInParts(data)
  }

  private passInParts (data: Buffer): void {
    let size = PART_BYTES
    for (let start = 0; start < data.length; size *= 2) {
      const before = this.work
      const part = data.subarray(start, start + size)
      start += part.length
      this.pass(part)
      if (this.work - before > COSTLY_PART_WORK) this.costly = true
      if (this.discarding) return
      if (start < data.length && (this.costly || !this.mayParse)) {
        this.hold(data.subarray(start))
        return
      }
    }
  }

  private get mayParse (): boolean {
    return this.socket._paused !== true && !this.deps.isFull()
  }

  private pass (part: Buffer): void {
    this.parse(part)
    this.deps.onParsed(part.length)
  }

  private hold (data: Buffer): void {
    if (this.waitingBytes === 0) this.deps.memory.take(UNREAD_BYTES)
    this.waiting.push(data)
    this.waitingBytes += data.length
    this.deps.memory.take(data.length)
    this.deps.onHeld()
    this.continue()
  }

  private dropFirst (size: number): void {
    this.waiting.shift()
    this.parsedBytes = 0
    this.waitingBytes -= size
    this.deps.memory.release(size)
    if (this.waitingBytes > 0) return
    this.deps.memory.release(UNREAD_BYTES)
    if (this.socket._paused !== true) this.socket.resume()
  }

  private release (): void {
    this.deps.memory.release(this.waitingBytes + UNREAD_BYTES)
    this.waiting.length = 0
    this.waitingBytes = 0
    this.parsedBytes = 0
  }
}
