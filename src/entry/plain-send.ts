/** Sends a call to a plain service; one that may be repeated is sent over a connection that is kept open. */
import type { Result } from '../errors/index.js'
import type { RouteChoice, RouteReq } from '../routing/index.js'
import { SILENT_MS, type PlainRes, type TargetError } from '../target-clients/index.js'
import { withTimeout } from '../time/index.js'
import { outcomeOf } from './attempt.js'
import { budgetOf } from './budgets.js'
import { timeLeft, type CallContext } from './call-context.js'
import type { EntryDeps } from './types.js'

type Outcome = Result<PlainRes, TargetError>

/** What a plain call needs of a target. */
export function plainNeed (call: CallContext, exclude: ReadonlySet<string> = new Set()): RouteReq {
  return { service: call.service.name, chain: [], promptTokens: 0, outputTokens: 1, exclude }
}

/**
 * Sends one attempt. Plain services send no keep-alive, so a kept connection that went silent looks like a slow
 * service: after the silence time the call is sent again over a new connection, when the budget allows, while
 * the first goes on, and the first good answer counts. A call that may not be repeated gets a new connection at
 * once, and goes on when its caller disconnects, so that a retry finds its answer.
 */
export async function sendPlain (call: CallContext, id: string, choice: RouteChoice, repeatable: boolean, deps: EntryDeps): Promise<Outcome> {
  const abort = new AbortController()
  using _deadline = deps.env.timers.after(timeLeft(call, deps), () => abort.abort())
  if (!repeatable) return await attempt(call, id, choice, false, abort.signal, deps)
  const onDisconnect = (): void => { abort.abort() }
  call.req.signal.addEventListener('abort', onDisconnect, { once: true })
  try {
    return await overKept(call, id, choice, abort.signal, deps)
  } finally {
    call.req.signal.removeEventListener('abort', onDisconnect)
  }
}

async function overKept (call: CallContext, id: string, choice: RouteChoice, signal: AbortSignal, deps: EntryDeps): Promise<Outcome> {
  const losers = new AbortController()
  const either = AbortSignal.any([signal, losers.signal])
  const kept = attempt(call, id, choice, true, either, deps)
  const early = await withTimeout<Outcome | undefined>(deps.env.timers, SILENT_MS, kept, () => undefined)
  if (early !== undefined) return early
  if (!budgetOf(call.service.name, deps).tryRetry()) return await kept
  deps.metrics.countRetry('connection_silent')
  const anew = attempt(call, `${id}-new`, choice, false, either, deps)
  const outcome = await firstGood(kept, anew)
  if (outcome === await Promise.race([anew, undefined])) deps.targets.plain(choice.target.url).dropIdleConnections?.()
  losers.abort()
  return outcome
}

/** The first good outcome, else a bad one that says "not run" only when all do. */
async function firstGood (...outcomes: ReadonlyArray<Promise<Outcome>>): Promise<Outcome> {
  return await new Promise((resolve, reject) => {
    const bad: Outcome[] = []
    for (const outcome of outcomes) {
      outcome.then((value) => {
        if (value.ok) resolve(value)
        else if (bad.push(value) === outcomes.length) resolve(bad.find(mayHaveRun) ?? value)
      }, reject)
    }
  })
}

function mayHaveRun (outcome: Outcome): boolean {
  return outcome.err && outcome.val.ran === 'maybe'
}

async function attempt (call: CallContext, id: string, choice: RouteChoice, keepAlive: boolean, signal: AbortSignal, deps: EntryDeps): Promise<Outcome> {
  deps.router.noteSent(id, choice.target.name, plainNeed(call))
  const { method, url, contentType, body } = call.req
  const outcome = await deps.targets.plain(choice.target.url).call({ id, method, path: url, contentType, body, keepAlive }, signal)
  deps.router.noteFinished(id, outcomeOf(outcome))
  return outcome
}
