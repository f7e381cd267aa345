/** One attempt of a model call at an engine, with prefill on another engine when serving is split. */
import { Err, type Result } from '../errors/index.js'
import type { AttemptOutcome, RouteChoice, RouteReq } from '../routing/index.js'
import type { GenerateEnd, GenerateReq, PieceSink, TargetError } from '../target-clients/index.js'
import type { EntryDeps } from './types.js'

/** Sends a request to the chosen engine, and reports the start and the end to the router. */
export async function runAttempt (req: GenerateReq, choice: RouteChoice, routeReq: RouteReq, sink: PieceSink, signal: AbortSignal, deps: EntryDeps): Promise<Result<GenerateEnd, TargetError>> {
  const engine = deps.targets.engine(choice.target.url)
  const outcome = await trackAttempt(req.id, choice.target.name, routeReq, deps, async () => await untilAborted(engine.generate(req, sink, signal), signal))
  if (outcome.ok) deps.router.notePrefilled?.(choice.target.name, routeReq)
  return outcome
}

/** A KV cache that was prefilled on another engine and transferred. */
export interface KvTransfer {
  /** Id of the KV cache on the decode engine. */
  readonly kv: string
  readonly promptTokens: number
  readonly cachedTokens: number
}

/** Prefills the prompt on the prefill target and transfers its KV cache; `undefined` without one or after a failure. */
export async function transferKv (req: GenerateReq, choice: RouteChoice, routeReq: RouteReq, signal: AbortSignal, deps: EntryDeps): Promise<KvTransfer | undefined> {
  const prefillTarget = choice.prefillTarget
  if (prefillTarget === undefined) return undefined
  const kv = `${req.id}-kv`
  const prefillReq = { ...req, id: kv }
  const prefilled = await trackAttempt(kv, prefillTarget.name, { ...routeReq, outputTokens: 0 }, deps, async () => await untilAborted(deps.targets.engine(prefillTarget.url).prefill(prefillReq, signal), signal))
  if (prefilled.err) return countFallback('prefill', deps)
  const imported = await untilAborted(deps.targets.engine(choice.target.url).importKv(kv, prefillTarget.url, signal), signal)
  if (imported.err) return countFallback('import', deps)
  deps.metrics.count('godwitpoint_split_total', 'outcome="handed_over"')
  return { kv, promptTokens: prefilled.val.promptTokens, cachedTokens: prefilled.val.cachedTokens }
}

/** The outcome of an attempt as the router records it. */
export function attemptOutcome (outcome: Result<unknown, TargetError>): AttemptOutcome {
  if (outcome.ok) return 'ok'
  const kind = outcome.val.kind
  return kind === 'silent' || kind === 'not_run' || kind === 'cancelled' ? kind : 'failed'
}

/** Resolves as `work` does, or as cancelled once the signal aborts, whether or not the target's client reacts to it. */
async function untilAborted<T> (work: Promise<Result<T, TargetError>>, signal: AbortSignal): Promise<Result<T, TargetError>> {
  return await new Promise((resolve, reject) => {
    const onAbort = (): void => resolve(Err({ kind: 'cancelled', ran: 'maybe', message: 'cancelled' }))
    signal.addEventListener('abort', onAbort, { once: true })
    work.finally(() => signal.removeEventListener('abort', onAbort)).then(resolve, reject)
    if (signal.aborted) onAbort()
  })
}

async function trackAttempt<T> (id: string, target: string, routeReq: RouteReq, deps: EntryDeps, run: () => Promise<Result<T, TargetError>>): Promise<Result<T, TargetError>> {
  deps.router.noteSent(id, target, routeReq)
  const outcome = await run()
  deps.router.noteFinished(id, attemptOutcome(outcome))
  return outcome
}

function countFallback (step: 'prefill' | 'import', deps: EntryDeps): undefined {
  deps.metrics.count('godwitpoint_split_total', `outcome="${step}_failed"`)
  return undefined
}
