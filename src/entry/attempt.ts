/** One attempt of a model call at one engine, with prefill on another engine when serving is split. */
import { Err, type Result } from '../errors/index.js'
import type { AttemptOutcome, RouteChoice, RouteReq } from '../routing/index.js'
import type { GenerateEnd, GenerateReq, PieceSink, TargetError } from '../target-clients/index.js'
import type { EntryDeps } from './types.js'

/** Sends a request to the engine of a choice; routing is told of the start and the end. */
export async function runAttempt (req: GenerateReq, choice: RouteChoice, routeReq: RouteReq, sink: PieceSink, signal: AbortSignal, deps: EntryDeps): Promise<Result<GenerateEnd, TargetError>> {
  const engine = deps.targets.engine(choice.target.url)
  const outcome = await trackAttempt(req.id, choice.target.name, routeReq, deps, async () => await untilAborted(engine.generate(req, sink, signal), signal))
  if (outcome.ok) deps.router.notePrefilled?.(choice.target.name, routeReq)
  return outcome
}

/** What was gained by processing the prompt on another engine first. */
export interface KvTransfer {
  /** Id of the KV cache on the decode engine. */
  readonly kv: string
  readonly promptTokens: number
  readonly cachedTokens: number
}

/** Processes the prompt on the prefill engine of a choice and moves the KV cache; `undefined` when a step failed. */
export async function transferKv (req: GenerateReq, choice: RouteChoice, routeReq: RouteReq, signal: AbortSignal, deps: EntryDeps): Promise<KvTransfer | undefined> {
  const source = choice.prefillTarget
  if (source === undefined) return undefined
  const kv = `${req.id}-kv`
  const prefillReq = { ...req, id: kv }
  const prefilled = await trackAttempt(kv, source.name, { ...routeReq, outputTokens: 0 }, deps, async () => await untilAborted(deps.targets.engine(source.url).prefill(prefillReq, signal), signal))
  if (prefilled.err) return countFallback('prefill', deps)
  const imported = await untilAborted(deps.targets.engine(choice.target.url).importKv(kv, source.url, signal), signal)
  if (imported.err) return countFallback('import', deps)
  deps.metrics.count('godwitpoint_split_total', 'outcome="handed_over"')
  return { kv, promptTokens: prefilled.val.promptTokens, cachedTokens: prefilled.val.cachedTokens }
}

/** How routing sees the end of an attempt. */
export function attemptOutcome (outcome: Result<unknown, TargetError>): AttemptOutcome {
  if (outcome.ok) return 'ok'
  const kind = outcome.val.kind
  return kind === 'silent' || kind === 'not_run' || kind === 'cancelled' ? kind : 'failed'
}

/** Ends the wait when an attempt is given up, whether or not the target's client notices. */
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
