/** A call that is held at its gateway until its wait is over. */
import type * as calls from '../call/index.js'
import type * as errors from '../errors/index.js'
import type * as types from './types.js'

/** A waiting call and the promise of the end of its wait. */
export class HeldCall implements types.WaitingCall {
  readonly id: string
  readonly account: string
  readonly priority: number
  readonly bytes: number
  readonly objectiveAt: number
  readonly limitAt: number
  /** Resolves when the wait is over: with a refusal, or with undefined when a target is to be chosen now. */
  readonly ended: Promise<errors.Refusal | undefined>
  private resolve: ((refusal: errors.Refusal | undefined) => void) | undefined

  constructor (readonly call: calls.Call, readonly heldAt: number, private readonly onLeft: (held: HeldCall) => void) {
    const { route, arrivedAt, deadlineAt } = call
    this.id = call.id
    this.account = call.account ?? ''
    this.priority = call.priority
    this.bytes = call.body.length
    this.objectiveAt = arrivedAt + route.sloMs
    this.limitAt = Math.min(deadlineAt, arrivedAt + route.callerIdleTimeoutMs)
    this.ended = new Promise((resolve) => { this.resolve = resolve })
  }

  /** Ends the wait. */
  end (refusal: errors.Refusal | undefined): void {
    this.resolve?.(refusal)
    this.resolve = undefined
  }

  /** Removes the call from the queue, as its caller has left or its deadline has passed. */
  leave (): void {
    if (this.resolve === undefined) return
    this.onLeft(this)
    this.end(undefined)
  }
}
