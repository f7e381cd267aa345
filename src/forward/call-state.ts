/** State of one call over all its attempts. */
import type * as calls from '../call/index.js'
import type * as metrics from '../metrics/index.js'
import type * as retry from '../retry/index.js'
import * as upstream from '../upstream/index.js'
import type * as waiting from '../waiting/index.js'
import * as callRetries from './call-retries.js'
import * as sentTargets from './sent-targets.js'
import * as streamProgress from './stream-progress.js'

/** Why a call ends before its response: its deadline has passed, or its caller has disconnected. */
export type EarlyEnd = 'deadline' | 'caller_left'

/** A complete response of a target. */
export interface TargetResponse {
  readonly head: calls.ResponseHead
  readonly body: Uint8Array
}

/** A call with what is known of its attempts so far; its decisions are functions over this value. */
export interface CallState {
  readonly call: calls.Call
  readonly reply: calls.Reply
  readonly progress: streamProgress.StreamProgress
  readonly retries: callRetries.CallRetries
  /** Attempts whose request may have reached a target; they count against the retry budget and the route's `maxTargets`. */
  readonly sent: sentTargets.SentTargets
  readonly usedConnections: upstream.UsedConnections
  /** Targets at which an attempt has failed. */
  readonly triedTargets: Set<string>
  /** Quarantined segments of which this call is the trial; until its next attempt has ended. */
  readonly trials: Set<string>
  /** Whether a send of this call may have reached a target. */
  wasSent: boolean
  /** Set while the call waits for a target before its first attempt. */
  held: waiting.HeldCall | undefined
  mayHaveExecuted: boolean
  endedBy: EarlyEnd | undefined
  lastResponse: TargetResponse | undefined
  lastMessage: string
  /** Whether a prefill has succeeded; the first one that does is not counted as an attempt. */
  prefillAccepted: boolean
}

/** Dependencies of the state of a call. */
export interface CallStateDeps {
  readonly metrics: metrics.Metrics
  readonly budgetFor: (service: string) => retry.SharedRetryBudget
}

/** State of a call before its first attempt. */
export function createCallState (deps: CallStateDeps, call: calls.Call, reply: calls.Reply): CallState {
  return {
    call,
    reply,
    progress: new streamProgress.StreamProgress(call, deps.metrics),
    retries: new callRetries.CallRetries(deps.budgetFor(call.service.name)),
    sent: new sentTargets.SentTargets(call.route.maxTargets),
    usedConnections: new upstream.UsedConnections(),
    triedTargets: new Set(),
    trials: new Set(),
    wasSent: false,
    held: undefined,
    mayHaveExecuted: false,
    endedBy: undefined,
    lastResponse: undefined,
    lastMessage: '',
    prefillAccepted: false
  }
}
