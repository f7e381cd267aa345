/** Reads the bodies of requests within the limits on size, time and memory. */
import type * as http from 'node:http'
import * as bytes from '../bytes/index.js'
import * as errors from '../errors/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'

/** Retry-after of a request that was refused for overload, in ms. */
const OVERLOAD_RETRY_AFTER_MS = 300

/** The body of one request; counts in the memory until it is disposed. */
export class RequestBody implements Disposable {
  private readonly collector: bytes.ByteCollector
  private heldBytes = 0
  private timer: Disposable | undefined

  constructor (private readonly memory: bytes.ByteBudget, private readonly timers: time.Timers, private readonly limits: serving.CallerLimits) {
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
      let settled = false
      const settle = (outcome: Uint8Array | errors.Refusal | undefined): void => {
        settled = true
        this.timer?.[Symbol.dispose]()
        resolve(outcome)
      }
      this.startIdleTimer(settle)
      req.on('data', (chunk: Buffer) => {
        if (settled) return
        this.startIdleTimer(settle)
        const refusal = this.add(chunk)
        if (refusal !== undefined) settle(refusal)
      })
      req.on('end', () => settle(this.collector.take()))
      req.on('error', () => settle(undefined))
      res.on('close', () => settle(undefined))
    })
  }

  [Symbol.dispose] (): void {
    this.memory.release(this.heldBytes)
    this.heldBytes = 0
    this.collector[Symbol.dispose]()
  }

  private add (chunk: Buffer): errors.Refusal | undefined {
    if (!this.collector.add(chunk)) return tooLarge()
    this.heldBytes += chunk.length
    this.memory.take(chunk.length)
    return this.memory.isFull ? overloaded() : undefined
  }

  private startIdleTimer (settle: (refusal: errors.Refusal) => void): void {
    this.timer?.[Symbol.dispose]()
    this.timer = this.timers.after(this.limits.idleTimeoutMs, () => settle(new errors.Refusal('request_too_slow', { step: 'parse', ran: 'no' })))
  }
}

/** Refusal of a request because of the number or the bytes of those that are being handled. */
export function overloaded (): errors.Refusal {
  return new errors.Refusal('entry_queue_full', { step: 'parse', ran: 'no', retryAfterMs: OVERLOAD_RETRY_AFTER_MS })
}

function tooLarge (): errors.Refusal {
  return new errors.Refusal('request_too_large', { step: 'parse', ran: 'no' })
}
