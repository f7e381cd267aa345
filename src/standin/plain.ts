/** A stand-in plain service that records its calls, so that tests can count side effects. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { PlainReq, PlainRes, PlainTarget, TargetError } from '../target-clients/index.js'
import { delay, type Timers } from '../time/index.js'

/** An executed call, as the service recorded it. */
export interface RecordedCall {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly body: string
}

/** Faults that tests inject. */
export interface PlainFaults {
  crashed: boolean
  /** Number of next calls that are executed but whose response is lost. */
  loseResponses: number
  /** Duration of a call, in ms. */
  delayMs: number
}

/** One instance of a plain service; the instances of a service share their records. */
export class StandinPlain implements PlainTarget {
  readonly faults: PlainFaults = { crashed: false, loseResponses: 0, delayMs: 5 }

  constructor (readonly name: string, readonly records: RecordedCall[], private readonly timers: Timers) {}

  async call (req: PlainReq, signal: AbortSignal): Promise<Result<PlainRes, TargetError>> {
    if (this.faults.crashed) return Err({ kind: 'connect_failed', ran: 'no', message: `${this.name}: connection refused` })
    const body = new TextDecoder().decode(req.body)
    await delay(this.timers, this.faults.delayMs)
    if (signal.aborted) return Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' })
    this.records.push({ id: req.id, method: req.method, path: req.path, body })
    if (this.faults.loseResponses > 0) {
      this.faults.loseResponses--
      return Err({ kind: 'broken', ran: 'maybe', message: `${this.name}: connection broken` })
    }
    const responseText = JSON.stringify({ service: this.name, record: this.records.length, path: req.path, body })
    return Ok({ status: 200, contentType: 'application/json', body: new TextEncoder().encode(responseText) })
  }
}
