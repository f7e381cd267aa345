/** Explanation of a placement: the candidates with the parts of their cost, the decision and its reason. */
import * as z from 'zod'
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'
import * as validation from '../validation/index.js'
import type * as engineCandidates from './engine-candidates.js'

/** Candidates of an explanation; the cheapest ones are listed. */
const MAX_CANDIDATES = 20

const CostPart = z.object({ name: z.string(), value: z.number() })

const ExplainedCandidate = z.object({
  /** Target that executes the call, and the one that prefills its prompt first. */
  target: z.string(),
  prefillTarget: z.string().optional(),
  /** How the shared beginning of the prompt is dealt with; absent for plain calls. */
  way: z.string().optional(),
  fetchFrom: z.string().optional(),
  prefillTokens: z.number().optional(),
  /** Expected time to the first event, in ms. */
  expectedMs: z.number(),
  cost: z.number(),
  parts: validation.list(CostPart)
})

/** A target that is no candidate, and why. */
const ExcludedTarget = z.object({ target: z.string(), reason: z.string() })
export type ExcludedTarget = z.infer<typeof ExcludedTarget>

/** Where a call would be placed now. */
export const Explanation = z.object({
  decision: z.enum(['send', 'send_deferred', 'no_target']),
  reason: z.string(),
  /** `ms`, or `calls_per_slot` for plain calls. */
  unit: z.string(),
  chosen: ExplainedCandidate.optional(),
  candidates: validation.list(ExplainedCandidate),
  excluded: validation.list(ExcludedTarget)
})
export type Explanation = z.infer<typeof Explanation>
export type ExplainedCandidate = z.infer<typeof ExplainedCandidate>

/** Result of a search for engines. */
export interface EngineSearch {
  readonly chosen: engineCandidates.Candidate | undefined
  /** The cheapest first. */
  readonly candidates: readonly engineCandidates.Candidate[]
  readonly excluded: readonly ExcludedTarget[]
  readonly deferred: boolean
}

/** Why a target gets no call now; undefined when it may get one. */
export function excludedTarget (state: fleet.TargetState, maxRunning: number, now: number): ExcludedTarget | undefined {
  const target = state.record.id
  if (state.hasLeft(now)) return { target, reason: 'left or leaving' }
  if (state.refusesForMs(now) > 0) return { target, reason: `wants no requests for ${Math.round(state.refusesForMs(now))} ms` }
  if (!state.failures.isUsable(now)) return { target, reason: 'paused after failures' }
  return state.running >= maxRunning ? { target, reason: `has ${state.running} calls of this gateway, the most it may have` } : undefined
}

/** Explains the placement of a model call. */
export function explainEngines (call: calls.Call, { chosen, candidates, excluded, deferred }: EngineSearch): Explanation {
  const listed = candidates.slice(0, MAX_CANDIDATES).map(explainCandidate)
  const head = { unit: 'ms', candidates: listed, excluded: [...excluded] }
  if (chosen === undefined) return { ...head, decision: 'no_target', reason: 'no engine is usable' }
  return { ...head, decision: deferred ? 'send_deferred' : 'send', reason: reasonOf(call, chosen, candidates), chosen: explainCandidate(chosen) }
}

function explainCandidate ({ target, prefillTarget, prefix, prefillTokens, expectedMs, cost, parts }: engineCandidates.Candidate): ExplainedCandidate {
  return {
    target: target.record.id,
    prefillTarget: prefillTarget?.record.id,
    way: prefix?.way,
    fetchFrom: prefix?.fetchFrom?.record.id,
    prefillTokens: Math.round(prefillTokens ?? 0),
    expectedMs: Math.round(expectedMs),
    cost: round(cost),
    parts: Object.entries(parts).map(([name, value]: [string, number]) => ({ name: name.replace(/Ms$/, ''), value: round(value) }))
  }
}

function reasonOf ({ route }: calls.Call, chosen: engineCandidates.Candidate, candidates: readonly engineCandidates.Candidate[]): string {
  const expected = `first event expected after ${Math.round(chosen.expectedMs)} ms, objective ${route.sloMs} ms`
  const [first] = candidates
  if (first !== undefined && first.cost < chosen.cost) return `lowest cost among the first engines by affinity, which meet the objective; ${expected}`
  const next = candidates.find(({ target, prefillTarget }) => target !== chosen.target || prefillTarget !== chosen.prefillTarget)
  return next === undefined ? `the only candidate; ${expected}` : `lowest cost, ${Math.round(next.cost - chosen.cost)} ms below the next; ${expected}`
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
