/** Sends a call to a plain service; an idempotent call uses a kept-alive connection. */
import type { Result } from '../errors/index.js'
import type { RouteChoice, RouteReq } from '../routing/index.js'
import { STALL_TIMEOUT_MS, type PlainRes, type TargetError } from '../target-clients/index.js'
import { withTimeout } from '../time/index.js'
import { attemptOutcome } from './attempt.js'
import { retryBudgetOf } from './budgets.js'
import { remainingMs, type CallContext } from './call-context.js'
import type { EntryDeps } from './types.js'

type Outcome = Result<PlainRes, TargetError>

/** What a plain call requires of a target. */
export function plainRouteReq (call: CallContext, exclude: ReadonlySet<string> = new Set()): RouteReq {
  return { service: call.service.name, chain: [], promptTokens: 0, outputTokens: 1, exclude }
}

/**
 * Sends one attempt. Plain services send no keep-alive bytes, so a stalled connection looks like a slow service:
 * after the stall timeout an idempotent call is hedged over a new connection when the retry budget allows, and the
 * first successful response counts. A non-idempotent call gets a new connection at once, and continues when its
 * caller disconnects, so that a retry finds its response.
 */
export async function sendPlain (call: CallContext, id: string, choice: RouteChoice, idempotent: boolean, deps: EntryDeps): Promise<Outcome> {
  const abort = new AbortController()
  using _deadline = deps.env.timers.after(remainingMs(call, deps), () => abort.abort())
  if (!idempotent) return await sendAttempt(call, id, choice, false, abort.signal, deps)
  const onDisconnect = (): void => { abort.abort() }
  call.req.signal.addEventListener('abort', onDisconnect, { once: true })
  try {
    return await sendWithHedge(call, id, choice, abort.signal, deps)
  } finally {
    call.req.signal.removeEventListener('abort', onDisconnect)
  }
}

async function sendWithHedge (call: CallContext, id: string, choice: RouteChoice, signal: AbortSignal, deps: EntryDeps): Promise<Outcome> {
  const loserAbort = new AbortController()
  const attemptSignal = AbortSignal.any([signal, loserAbort.signal])
  const keepAliveAttempt = sendAttempt(call, id, choice, true, attemptSignal, deps)
  const earlyOutcome = await withTimeout<Outcome | undefined>(deps.env.timers, STALL_TIMEOUT_MS, keepAliveAttempt, () => undefined)
  if (earlyOutcome !== undefined) return earlyOutcome
  if (!retryBudgetOf(call.service.name, deps).tryRetry()) return await keepAliveAttempt
  deps.metrics.countRetry('connection_silent')
  const hedgeAttempt = sendAttempt(call, `${id}-new`, choice, false, attemptSignal, deps)
  const outcome = await firstSuccess(keepAliveAttempt, hedgeAttempt)
  if (outcome === await Promise.race([hedgeAttempt, undefined])) deps.targets.plain(choice.target.url).dropIdleConnections?.()
  loserAbort.abort()
  return outcome
}

/** The first success, else a failure; that one reports "not executed" only when all attempts do. */
async function firstSuccess (...outcomes: ReadonlyArray<Promise<Outcome>>): Promise<Outcome> {
  return await new Promise((resolve, reject) => {
    const failures: Outcome[] = []
    for (const outcome of outcomes) {
      outcome.then((value) => {
        if (value.ok) resolve(value)
        else if (failures.push(value) === outcomes.length) resolve(failures.find(mayHaveExecuted) ?? value)
      }, reject)
    }
  })
}

function mayHaveExecuted (outcome: Outcome): boolean {
  return outcome.err && outcome.val.ran === 'maybe'
}

async function sendAttempt (call: CallContext, id: string, choice: RouteChoice, keepAlive: boolean, signal: AbortSignal, deps: EntryDeps): Promise<Outcome> {
  deps.router.noteSent(id, choice.target.name, plainRouteReq(call))
  const { method, url, contentType, body } = call.req
  const outcome = await deps.targets.plain(choice.target.url).call({ id, method, path: url, contentType, body, keepAlive }, signal)
  deps.router.noteFinished(id, attemptOutcome(outcome))
  return outcome
}
