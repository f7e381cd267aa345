/** Errors inside the system, between its processes and components. */
import type { Step } from './reasons.js'

/** An error that carries the step and the peer at which it arose. */
export class StepError extends Error {
  override readonly name: string = 'StepError'

  constructor (readonly step: Step, readonly peer: string, message: string, options?: ErrorOptions) {
    super(`${step} at ${peer}: ${message}`, options)
  }
}
