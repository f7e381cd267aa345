/** The calls that run, so that a stop can end those that have no response. */
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'

/** Runs one call until its response has ended; `signal` is aborted when the call is to end early. */
export type RunCall = (signal: AbortSignal) => Promise<errors.Refusal | undefined>

interface RunningCall {
  readonly reply: calls.Reply
  readonly ending: AbortController
  endedByStop: boolean
}

/** Calls until their responses have ended. */
export class RunningCalls {
  private readonly running = new Set<RunningCall>()

  /** Runs a call; it ends early when its caller disconnects, or by `endUnstarted`. */
  async run (reply: calls.Reply, callerLeft: AbortSignal, runCall: RunCall): Promise<errors.Refusal | undefined> {
    const call: RunningCall = { reply, ending: new AbortController(), endedByStop: false }
    const onCallerLeft = (): void => call.ending.abort()
    callerLeft.addEventListener('abort', onCallerLeft, { once: true })
    if (callerLeft.aborted) onCallerLeft()
    this.running.add(call)
    try {
      const refusal = await runCall(call.ending.signal)
      return call.endedByStop && refusal?.reason === 'caller_disconnected' ? stopRefusal(refusal) : refusal
    } finally {
      this.running.delete(call)
      callerLeft.removeEventListener('abort', onCallerLeft)
    }
  }

  /** Ends the calls whose response has not started. */
  endUnstarted (): void {
    for (const call of this.running) {
      if (call.reply.started || call.ending.signal.aborted) continue
      call.endedByStop = true
      call.ending.abort()
    }
  }
}

function stopRefusal ({ detail }: errors.Refusal): errors.Refusal {
  return new errors.Refusal('deadline_exceeded', { ...detail, message: 'the gateway stops' })
}
