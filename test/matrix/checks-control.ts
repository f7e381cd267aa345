/** Checks of the control protocols. They use only what engines and the platform received. */
import type { ReceivedOrder } from '../../src/standin/index.js'
import type { World } from '../support/world.js'
import type { Violation } from './checks.js'
import type { ConfigProcess } from './configuration.js'
import type { DesiredRoles } from './orders.js'

/** Checks the orders that the engines received, and that all desired roles are in force at the end. */
export function checkOrders (world: World, desired: DesiredRoles): Violation[] {
  const violations = world.engines.flatMap(({ name, inner }) => [
    ...conflictingOrders(inner.receivedOrders).map((detail) => ({ invariant: 'I1', detail: `${name}: ${detail}` })),
    ...staleFenceOrders(inner.receivedOrders).map((detail) => ({ invariant: 'I3', detail: `${name}: ${detail}` }))
  ])
  return [...violations, ...unfinishedChanges(world, desired).map((detail) => ({ invariant: 'recovery', detail }))]
}

/** Engines whose desired role is not in force, or that still execute an order; crashed engines are left out. */
export function unfinishedChanges (world: World, desired: DesiredRoles): string[] {
  return [...desired].filter(([name, role]) => (world.engine(name).inner.currentRole !== role || world.engine(name).inner.isChanging) && !world.engine(name).inner.faults.crashed)
    .map(([name, role]) => `${name} is ${world.engine(name).inner.currentRole}, not ${role}`)
}

/** Orders that arrive again after a different order, or while a different order is executed. */
function conflictingOrders (orders: readonly ReceivedOrder[]): string[] {
  return orders.flatMap((order, index) => {
    const accepted = orders.slice(0, index).filter((other) => other.reply === 'accepted')
    const isRepeated = order.reply === 'accepted' && accepted.at(-1)?.id !== order.id && accepted.some((other) => other.id === order.id)
    return order.reply === 'busy' || isRepeated ? [`${order.id} at ${order.at} came ${isRepeated ? 'again after' : 'during'} ${accepted.at(-1)?.id}`] : []
  })
}

/** New orders that were accepted with a lower fencing token than an earlier one. */
function staleFenceOrders (orders: readonly ReceivedOrder[]): string[] {
  const accepted = orders.filter((order) => order.reply === 'accepted')
  return accepted.filter((order, index) => accepted.slice(0, index).some((other) => other.fence > order.fence) && !accepted.slice(0, index).some((other) => other.id === order.id))
    .map((order) => `${order.id} took effect under the old fence ${order.fence}`)
}

/** The calls that were counted, recorded outside the system. */
export interface Ledger {
  readonly counted: Array<{ readonly at: number, readonly by: string }>
  /** An entry that is killed or out of contact for several windows may lose the calls of this time before it, in ms. */
  readonly tolerableLossMs: number
  closed?: boolean
}

/** Number of calls billed in all windows. */
export function billedCalls (world: World): number {
  return [...world.platform.reports.bills.values()].flatMap((bill) => bill.rows).reduce((sum, row) => sum + row.requests, 0)
}

/** Checks that reports of a window and account agree, and that calls are neither billed twice nor lost. */
export function checkUsage (world: World, ledger: Ledger): Violation[] {
  const { received } = world.platform.reports
  const firstReports = new Map<string, string>()
  const changed = received.flatMap(({ window, account, rows, reporter }) => {
    const text = JSON.stringify(rows)
    const key = `${window}/${account}`
    if (!firstReports.has(key)) firstReports.set(key, text)
    return firstReports.get(key) === text ? [] : [{ invariant: 'I6', detail: `${reporter} reported ${key} as ${text}, first ${firstReports.get(key)}` }]
  })
  const billed = billedCalls(world)
  const counted = ledger.counted.length
  const losable = ledger.counted.filter(({ at, by }) => {
    const lostContactAt = world.procs.find((proc) => proc.name === by)?.lostContactAt
    return lostContactAt !== undefined && at >= lostContactAt - ledger.tolerableLossMs
  }).length
  const overbilled = billed > counted ? [{ invariant: 'billing', detail: `${billed} calls are billed, but ${counted} ran` }] : []
  const underbilled = billed < counted - losable ? [{ invariant: 'billing', detail: `${billed} calls are billed of ${counted}; ${losable} may be lost` }] : []
  return [...changed, ...overbilled, ...underbilled]
}

/** Checks that orders do not stem from two holders at once, and that surplus targets are not ordered or are released. */
export function checkTargets (world: World, maxOrdered: number): Violation[] {
  const { received, targets } = world.platform.ordering
  const byToken = new Map<string, string>()
  const changed = received.flatMap(({ token, service, domain, priceClass }) => {
    const text = `${service} ${domain} ${priceClass}`
    if (!byToken.has(token)) byToken.set(token, text)
    return byToken.get(token) === text ? [] : [{ invariant: 'I5', detail: `${token} was ordered as ${text} and as ${byToken.get(token)}` }]
  })
  const stale = received.filter((order, index) => {
    const earlier = received.slice(0, index)
    return earlier.some((other) => other.fence > order.fence) && !earlier.some((other) => other.token === order.token)
  })
  const unreleased = [...targets.values()].filter((target) => target.state !== 'released')
  return [
    ...changed,
    ...stale.map((order) => ({ invariant: 'I5', detail: `${order.token} was ordered under the old fence ${order.fence}` })),
    ...targets.size > byToken.size ? [{ invariant: 'I5', detail: `${targets.size} targets for ${byToken.size} tokens` }] : [],
    ...unreleased.length > maxOrdered ? [{ invariant: 'I5', detail: `${unreleased.length} targets are held, ${maxOrdered} are allowed` }] : [],
    ...targets.size === 0 || unreleased.length > 0 ? [{ invariant: 'recovery', detail: `${unreleased.length} of ${targets.size} ordered targets are still held without demand` }] : []
  ]
}

/** Checks that generations never decrease, that the newest is in force everywhere, and that no accepted edit is lost. */
export function checkConfiguration (world: World<ConfigProcess>, heads: readonly number[]): Violation[] {
  const newestGeneration = heads.at(-1)
  const live = world.procs.filter((proc) => proc.gate.alive)
  const details = [
    ...heads.filter((generation, index) => index > 0 && generation !== heads[index - 1]! + 1).map((generation) => `the head went to generation ${generation} out of order`),
    ...world.procs.filter((proc) => proc.generations.some((generation, index) => index > 0 && generation <= proc.generations[index - 1]!))
      .map((proc) => `${proc.name} went back: ${proc.generations.join(' ')}`),
    ...live.filter((proc) => proc.propagator.current()?.generation !== newestGeneration).map((proc) => `${proc.name} has generation ${proc.propagator.current()?.generation}, not ${newestGeneration}`),
    ...live.flatMap((proc) => world.procs.filter((operator) => !operator.outcomeUnknown && operator.gate.alive).flatMap((operator) => [...operator.acceptedWeights].filter(([account, weight]) => proc.propagator.current()?.account(account)?.weight !== weight)
      .map(([account, weight]) => `${proc.name} has weight ${proc.propagator.current()?.account(account)?.weight} for ${account}, accepted was ${weight}`)))
  ]
  return details.map((detail) => ({ invariant: 'I12', detail }))
}
