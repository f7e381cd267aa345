/** The cells of the matrix: each fault at each step of each protocol, and the cells that cannot occur. */
import { FAULTS, type Fault } from './faults.js'

/** Steps by protocol; a step of the request protocol includes the kind of call. */
export const STEPS = {
  request: [
    'admit/model', 'admit/plain', 'claim/once', 'send/model', 'send/once', 'send/read', 'stream/model', 'resume/model',
    'settle/model', 'settle/once', 'settle/read'
  ],
  orders: ['lease', 'intent', 'order', 'confirm'],
  targets: ['lease', 'intent', 'place', 'drain', 'give_back'],
  usage: ['lease', 'close_window', 'intent', 'report'],
  configuration: ['edit', 'publish', 'apply'],
  membership: ['join', 'leave']
} as const

export type Protocol = keyof typeof STEPS

/** A fault at a step of a protocol. */
export interface Cell {
  readonly protocol: Protocol
  readonly step: string
  readonly fault: Fault
}

/** Name of a cell, or of several cells that are run together. */
export function nameOf (cells: readonly Cell[]): string {
  return cells.map(({ protocol, step, fault }) => `${protocol} ${step} ${fault}`).join(' + ')
}

/** Cells that cannot occur, with the reason. */
const IMPOSSIBLE: ReadonlyArray<{ readonly protocol: RegExp, readonly step: RegExp, readonly fault: RegExp, readonly reason: string }> = [
  { protocol: /request/, step: /./, fault: /lease_lapses/, reason: 'no lease is held on the request path' },
  { protocol: /request/, step: /^(admit|send|stream|resume)|^settle.(model|read)/, fault: /store_reply_lost/, reason: 'this step writes nothing to the store' },
  { protocol: /request/, step: /(plain|once|read)$/, fault: /engine_crash/, reason: 'a plain call uses no engine, and plain services take no orders' },
  { protocol: /orders|targets|usage/, step: /./, fault: /key_withdrawn/, reason: 'control messages carry no key of a caller' },
  { protocol: /membership/, step: /./, fault: /lease_lapses/, reason: 'no lease is held by an entry that joins or leaves' },
  { protocol: /membership/, step: /./, fault: /engine_crash/, reason: 'joining and leaving change no engine' },
  { protocol: /membership/, step: /leave/, fault: /store_reply_lost/, reason: 'this step writes nothing to the store' },
  { protocol: /membership/, step: /leave/, fault: /connection_silent/, reason: 'the announcement goes to several peers and is repeated' },
  { protocol: /configuration/, step: /./, fault: /lease_lapses/, reason: 'a conditional update, not a lease, decides who publishes' },
  { protocol: /configuration/, step: /edit|apply/, fault: /store_reply_lost/, reason: 'this step writes nothing to the store' },
  { protocol: /orders|targets|usage|configuration/, step: /./, fault: /reports_/, reason: 'this protocol reads no load reports' },
  { protocol: /orders/, step: /order|confirm/, fault: /store_reply_lost/, reason: 'this step writes nothing to the store' },
  { protocol: /orders/, step: /lease/, fault: /engine_crash/, reason: 'no change is under way when a lease is first taken' },
  { protocol: /targets|usage|configuration/, step: /./, fault: /engine_crash/, reason: 'this protocol changes no engine' },
  { protocol: /usage/, step: /./, fault: /domain_reclaimed/, reason: 'usage is counted, closed and reported by entries, which are not reclaimed' },
  { protocol: /configuration/, step: /apply/, fault: /connection_silent/, reason: 'applying sends nothing' },
  { protocol: /targets/, step: /drain/, fault: /store_reply_lost|connection_silent/, reason: 'draining is a wait; nothing is sent' }
]

/** The reason why a cell cannot occur; `undefined` when it can. */
export function whyImpossible ({ protocol, step, fault }: Cell): string | undefined {
  return IMPOSSIBLE.find((rule) => rule.protocol.test(protocol) && rule.fault.test(fault) && rule.step.test(step))?.reason
}

/** All cells, including those that cannot occur. */
export function allCells (): Cell[] {
  return (Object.keys(STEPS) as Protocol[]).flatMap((protocol) => (
    STEPS[protocol].flatMap((step) => FAULTS.map((fault) => ({ protocol, step, fault })))
  ))
}

/** Cells that can occur. */
export function singleCells (): Cell[] {
  return allCells().filter((cell) => whyImpossible(cell) === undefined)
}

/** Pairs of cells of the same protocol, including each cell with itself. */
export function pairCells (): Cell[][] {
  const cells = singleCells()
  return cells.flatMap((first, index) => cells.slice(index).filter((second) => second.protocol === first.protocol).map((second) => [first, second]))
}
