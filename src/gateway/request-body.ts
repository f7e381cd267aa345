/** Reads the bodies of requests within the limits on size, time and memory. */
import type * as http from 'node:http'
import * as bytes from '../bytes/index.js'
import * as errors from '../errors/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import type * as clientShares from './client-shares.js'

/** Retry-after of a request that was refused for overload, in ms. */
const OVERLOAD_RETRY_AFTER_MS = 300

/** Size of a body from which on it counts against the share of its client account, in bytes. */
const MIN_ACCOUNT_BODY_BYTES = 64 * 1024

/** What a body that is being received tells its connection, and needs to know. */
export interface BodyConnection {
  /** Time since bytes were received, in ms. */
  readonly idleMs: number
  beginBody: (body: RequestBody) => void
  /** A chunk was received; `heldBytes` are those of all chunks. */
  noteBodyChunk: (heldBytes: number) => void
  /** The body is complete or no longer wanted. */
  endBody: () => void
}

/** Share of the client account of a request; undefined when it is not known. */
export type AccountOf = (req: http.IncomingMessage) => clientShares.ClientShare | undefined

/** The body of one request; counts in the memory until it is disposed. */
export class RequestBody implements Disposable {
  private readonly collector: bytes.ByteCollector
  private accountShare: clientShares.ClientShare | undefined
  private heldBytes = 0
  private timer: Disposable | undefined
  private settle: ((outcome: Uint8Array | errors.Refusal | undefined) => void) | undefined

  constructor (private readonly memory: bytes.ByteBudget, private readonly timers: time.Timers, private readonly limits: serving.CallerLimits, private readonly connection?: BodyConnection, private readonly accountOf?: AccountOf) {
    this.collector = new bytes.ByteCollector(limits.bodyBytes)
  }

  /** The body; a refusal when it is too large, stalls or finds no memory; undefined when the caller disconnected. */
  async read (req: http.IncomingMessage, res: http.ServerResponse): Promise<Uint8Array | errors.Refusal | undefined> {
    if (Number(req.headers['content-length'] ?? 0) > this.limits.bodyBytes) return tooLarge()
    if (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined) {
      req.resume()
      return new Uint8Array(0)
    }
    return await new Promise((resolve) => {
      this.settle = (outcome) => {
        this.settle = undefined
        this.timer?.[Symbol.dispose]()
        this.connection?.endBody()
        resolve(outcome)
      }
      this.connection?.beginBody(this)
      this.startIdleTimer(this.limits.idleTimeoutMs)
      req.on('data', (chunk: Buffer) => this.receive(req, chunk))
      req.on('end', () => this.settle?.(this.collector.take()))
      req.on('error', () => this.settle?.(undefined))
      res.on('close', () => this.settle?.(undefined))
    })
  }

  get account (): clientShares.ClientShare | undefined {
    return this.accountShare
  }

  /** Ends the reading with a refusal for lack of memory. */
  refuse (): void {
    this.settle?.(overloaded())
  }

  [Symbol.dispose] (): void {
    this.memory.release(this.heldBytes)
    this.accountShare?.memory.release(this.heldBytes)
    this.accountShare = undefined
    this.heldBytes = 0
    this.collector[Symbol.dispose]()
  }

  private receive (req: http.IncomingMessage, chunk: Buffer): void {
    this.connection?.noteBodyChunk(this.heldBytes + chunk.length)
    if (this.settle === undefined) return
    const refusal = this.add(req, chunk)
    if (refusal !== undefined) this.settle(refusal)
  }

  private add (req: http.IncomingMessage, chunk: Buffer): errors.Refusal | undefined {
    if (!this.collector.add(chunk)) return tooLarge()
    this.heldBytes += chunk.length
    this.memory.take(chunk.length)
    if (this.accountShare !== undefined) this.accountShare.memory.take(chunk.length)
    else if (this.heldBytes > MIN_ACCOUNT_BODY_BYTES) this.countForAccount(req)
    return this.memory.refuses(this.heldBytes) || this.accountShare?.memory.isFull === true ? overloaded() : undefined
  }

  private countForAccount (req: http.IncomingMessage): void {
    this.accountShare = this.accountOf?.(req)
    this.accountShare?.memory.take(this.heldBytes)
  }

  // The timer is not started again for each chunk: a body may have millions.
  private startIdleTimer (waitMs: number): void {
    this.timer = this.timers.after(waitMs, () => {
      const leftMs = this.limits.idleTimeoutMs - (this.connection?.idleMs ?? Infinity)
      if (leftMs > 0) this.startIdleTimer(leftMs)
      else this.settle?.(new errors.Refusal('request_too_slow', { step: 'parse', ran: 'no' }))
    })
  }
}

/** Refusal of a request because of the number or the bytes of those that are being handled. */
export function overloaded (): errors.Refusal {
  return new errors.Refusal('entry_queue_full', { step: 'parse', ran: 'no', retryAfterMs: OVERLOAD_RETRY_AFTER_MS })
}

function tooLarge (): errors.Refusal {
  return new errors.Refusal('request_too_large', { step: 'parse', ran: 'no' })
}
