/** Plans role changes of engines, at most one at a time. */
import type { Role } from '../schema/index.js'
import { serviceLevel, type EngineModel, type RoleCounts } from './fleet-model.js'
import type { Mix } from './mix-estimate.js'

/** Dwell time in ms: a role change must pay off within it and is not undone before it has passed. */
export const DWELL_MS = 60_000

/**
 * Fleet size below which all engines are mixed. In the queue model splitting pays from 2 engines on, where prefill
 * pushes the time between tokens over its objective, but losing one of two engines would stop a phase.
 */
export const MIN_SPLIT_FLEET = 3

/** Smallest ratio of a change's gain to its cost. */
const MIN_GAIN_COST_RATIO = 2

/** Smallest gain of a change, as a share of the work; smaller gains are noise of the estimate on a steady mix. */
const MIN_GAIN_SHARE = 0.06

/** Time for which a change must have been the best one before it is ordered, in ms. */
const MIN_GAIN_DURATION_MS = 5_000

/** Engines that should be capable of each phase, so that losing one leaves another. */
const MIN_ENGINES_PER_PHASE = 2

/** Weight of the slow average in the evaluation of a split; without it the planner follows swings of a few seconds. */
const SLOW_MIX_WEIGHT = 0.3

/** Largest difference from the current number of prefill, and of decode engines, among the splits that are evaluated. */
const MAX_LOOKAHEAD_CHANGES = 4

/** An engine of the service. */
export interface RoleEngine {
  readonly target: string
  readonly role: Role
  /** Serves requests: neither leaving nor ejected. */
  readonly available: boolean
  /** Is draining or changing its role. */
  readonly changing: boolean
  /** Number of running requests. */
  readonly running: number
}

/** State of the planner between decisions; immutable. */
export interface RolePlanState {
  /** The best change, and since when it has been the best, in ms. */
  readonly candidate: { readonly from: Role, readonly to: Role, readonly since: number } | undefined
  /** The change that was ordered last, and when, in ms. */
  readonly lastChange: { readonly from: Role, readonly to: Role, readonly at: number } | undefined
}

/** Input of a decision. */
export interface RolePlanInput {
  readonly now: number
  readonly engines: readonly RoleEngine[]
  /** Forecast of the mix for the time at which a change would be complete. */
  readonly mix: Mix
  /** Slow average of the mix, over the last minutes. */
  readonly slowMix: Mix
  readonly model: EngineModel
  /** Time for which one change takes an engine out of service, drain included, in ms. */
  readonly downtimeMs: number
  /** Fleet size below which all engines are mixed. */
  readonly minFleet: number
}

/** A role change and its reason. */
export interface RoleOrder {
  readonly target: string
  readonly role: Role
  readonly reason: 'gain' | 'role_missing' | 'small_fleet' | 'resume'
}

/** The new state and at most one order. */
export interface RolePlan {
  readonly state: RolePlanState
  readonly order: RoleOrder | undefined
}

/** State before the first decision. */
export const INITIAL_ROLE_STATE: RolePlanState = { candidate: undefined, lastChange: undefined }

/** Decides on the next role change. */
export function planRoles (state: RolePlanState, input: RolePlanInput): RolePlan {
  const noOrder: RolePlan = { state: { ...state, candidate: undefined }, order: undefined }
  const engines = input.engines.filter((engine) => engine.available)
  if (input.engines.some((engine) => engine.changing)) return noOrder
  const missingPhaseOrder = orderForMissingPhase(engines)
  if (missingPhaseOrder !== undefined) return planWithOrder(state, input, missingPhaseOrder)
  if (engines.length < input.minFleet) {
    const specialized = engines.find((engine) => engine.role !== 'mixed')
    return specialized === undefined ? noOrder : planWithOrder(state, input, { target: specialized.target, role: 'mixed', reason: 'small_fleet' })
  }
  const change = bestChange(engines, input, state)
  if (change === undefined) return noOrder
  const { candidate } = state
  const isSameChange = candidate?.from === change.from && candidate.to === change.to
  const candidateSince = isSameChange ? candidate.since : input.now
  if (input.now - candidateSince < MIN_GAIN_DURATION_MS) return { state: { ...state, candidate: { from: change.from, to: change.to, since: candidateSince } }, order: undefined }
  return planWithOrder(state, input, { target: leastBusy(engines, change.from).target, role: change.to, reason: 'gain' })
}

/** The best role for an engine that is already drained, for instance after a change of the lease holder. */
export function resumeRole (engine: RoleEngine, input: RolePlanInput): RoleOrder {
  const others = input.engines.filter((other) => other.available && other.target !== engine.target)
  const isSmallFleet = others.length + 1 < input.minFleet
  const roles: Role[] = isSmallFleet ? ['mixed'] : ['mixed', engine.role, 'prefill', 'decode']
  const levelWith = (role: Role): number => weightedServiceLevel(countRoles([...others, { ...engine, role }]), input)
  // Earlier roles in the list win ties, so that an engine becomes specialized only for a gain.
  const role = roles.reduce((best, next) => levelWith(next) > levelWith(best) ? next : best)
  return { target: engine.target, role, reason: 'resume' }
}

interface Change { readonly from: Role, readonly to: Role }

function planWithOrder (state: RolePlanState, input: RolePlanInput, order: RoleOrder): RolePlan {
  const from = input.engines.find((engine) => engine.target === order.target)?.role ?? order.role
  return { state: { ...state, candidate: undefined, lastChange: { from, to: order.role, at: input.now } }, order }
}

/** Orders a mixed engine at once when no available engine is capable of a phase. */
function orderForMissingPhase (engines: readonly RoleEngine[]): RoleOrder | undefined {
  if (engines.length === 0 || (countCapable(engines, 'prefill') > 0 && countCapable(engines, 'decode') > 0)) return undefined
  const engine = leastBusy(engines, engines[0]!.role)
  return { target: engine.target, role: 'mixed', reason: 'role_missing' }
}

/**
 * The first change on the way to the best nearby split. Single changes are not evaluated by themselves: one prefill
 * engine alone may start prompts too late, where two are a gain.
 */
function bestChange (engines: readonly RoleEngine[], input: RolePlanInput, state: RolePlanState): Change | undefined {
  const current = countRoles(engines)
  const costs = ROLES.map((role) => ({ role, cost: MIN_GAIN_COST_RATIO * changeCost(current, role, input) }))
  const netGain = (counts: RoleCounts): number => costs.reduce(
    (sum, { role, cost }) => sum - cost * Math.max(0, current[role] - counts[role]), weightedServiceLevel(counts, input) * DWELL_MS)
  let best = { counts: current, netGain: netGain(current) + MIN_GAIN_SHARE * DWELL_MS }
  for (const counts of nearbySplits(current)) {
    const gain = netGain(counts)
    if (gain > best.netGain) best = { counts, netGain: gain }
  }
  return changesTowards(current, best.counts)
    .filter(({ from, to }) => keepsPhasesCovered(engines, from, to) && !undoesLastChange(state, from, to, input.now))
    .map((step) => ({ step, value: weightedServiceLevel(withRoleChange(current, step.from, step.to), input) }))
    .sort((a, b) => b.value - a.value)[0]?.step
}

function * nearbySplits (current: RoleCounts): Generator<RoleCounts> {
  const total = current.mixed + current.prefill + current.decode
  for (let prefill = Math.max(0, current.prefill - MAX_LOOKAHEAD_CHANGES); prefill <= current.prefill + MAX_LOOKAHEAD_CHANGES; prefill++) {
    for (let decode = Math.max(0, current.decode - MAX_LOOKAHEAD_CHANGES); decode <= current.decode + MAX_LOOKAHEAD_CHANGES; decode++) {
      const mixed = total - prefill - decode
      const minCapable = Math.min(MIN_ENGINES_PER_PHASE, total - 1)
      if (mixed >= 0 && mixed + prefill >= minCapable && mixed + decode >= minCapable) yield { mixed, prefill, decode }
    }
  }
}

/**
 * Cost of a change in ms of full service: the engine's share of the work during its downtime, or more when the others
 * are near their limit.
 */
function changeCost (current: RoleCounts, role: Role, input: RolePlanInput): number {
  if (current[role] === 0) return 0
  const remaining = { ...current, [role]: current[role] - 1 }
  const share = 1 / (current.mixed + current.prefill + current.decode)
  return input.downtimeMs * Math.max(share, weightedServiceLevel(current, input) - weightedServiceLevel(remaining, input))
}

function changesTowards (current: RoleCounts, goal: RoleCounts): Change[] {
  return ROLES.flatMap((from) => ROLES.map((to) => ({ from, to }))).filter(({ from, to }) => goal[from] < current[from] && goal[to] > current[to])
}

/** Whether each phase has enough capable engines during the change and after it. */
function keepsPhasesCovered (engines: readonly RoleEngine[], from: Role, to: Role): boolean {
  const changing = leastBusy(engines, from)
  const others = engines.filter((engine) => engine !== changing)
  const after = [...others, { ...changing, role: to }]
  const minCapable = Math.min(MIN_ENGINES_PER_PHASE, engines.length - 1)
  return (['prefill', 'decode'] as const).every((phase) => countCapable(others, phase) > 0 && countCapable(after, phase) >= minCapable)
}

function undoesLastChange (state: RolePlanState, from: Role, to: Role, now: number): boolean {
  const { lastChange } = state
  return lastChange !== undefined && now - lastChange.at < DWELL_MS && lastChange.to === from && lastChange.from === to
}

const ROLES: readonly Role[] = ['mixed', 'prefill', 'decode']

function weightedServiceLevel (counts: RoleCounts, input: RolePlanInput): number {
  const levelFor = (mix: Mix): number => serviceLevel(counts, mix, input.model)
  return levelFor(input.mix) * (1 - SLOW_MIX_WEIGHT) + levelFor(input.slowMix) * SLOW_MIX_WEIGHT
}

function withRoleChange (counts: RoleCounts, from: Role, to: Role): RoleCounts {
  const next = { ...counts }
  next[from]--
  next[to]++
  return next
}

function countRoles (engines: readonly RoleEngine[]): RoleCounts {
  const countRole = (role: Role): number => engines.filter((engine) => engine.role === role).length
  return { mixed: countRole('mixed'), prefill: countRole('prefill'), decode: countRole('decode') }
}

function countCapable (engines: readonly RoleEngine[], phase: 'prefill' | 'decode'): number {
  return engines.filter((engine) => engine.role === phase || engine.role === 'mixed').length
}

function leastBusy (engines: readonly RoleEngine[], role: Role): RoleEngine {
  return engines.filter((engine) => engine.role === role).reduce((best, next) => next.running < best.running ? next : best)
}
