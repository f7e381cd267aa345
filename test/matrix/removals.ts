/** Removals of one rule each, with the cells in which the checks must detect it. */
import { PeerRetirement } from '../../src/authority/index.js'
import { Ok } from '../../src/errors/index.js'
import { StreamSplice } from '../../src/retry/index.js'
import type { Result } from '../../src/errors/index.js'
import type { MemoryStore } from '../../src/standin/index.js'
import { TargetOrderSender } from '../../src/spending/index.js'
import type { TargetClients, TargetError } from '../../src/target-clients/index.js'
import { keyFor } from '../support/build.js'
import type { Variant } from '../support/variant.js'
import type { Fault } from './faults.js'
import type { Cell, Protocol } from './table.js'

/** A rule that is removed, and the invariant whose violation must be detected. */
export interface Removal {
  readonly rule: string
  readonly variant: Variant
  readonly cells: readonly Cell[]
  readonly invariant: string
}

function cell (protocol: Protocol, step: string, fault: Fault): Cell {
  return { protocol, step, fault }
}

const PARTITION_THEN_WITHDRAWAL = [cell('request', 'admit/model', 'partition'), cell('request', 'send/model', 'key_withdrawn')]

export const REMOVALS: readonly Removal[] = [
  {
    rule: 'a claim is granted once',
    variant: { claims: () => ({ claim: async () => Ok({ kind: 'granted', claim: { complete: async () => {}, abandon: async () => {}, markUnknown: () => {} } }) }) },
    cells: [cell('request', 'settle/once', 'connection_silent')],
    invariant: 'I9'
  },
  {
    rule: 'a call that may have run is not sent again',
    variant: { targets: (inner) => mapErrors(inner, (err) => ({ ...err, ran: 'no' })) },
    cells: [cell('request', 'send/once', 'connection_silent')],
    invariant: 'I9'
  },
  {
    rule: '`ran` is `no` only when nothing was sent',
    variant: { targets: (inner) => mapErrors(inner, (err) => ({ ...err, ran: 'no', kind: 'cancelled' })) },
    cells: [cell('request', 'send/once', 'connection_silent')],
    invariant: 'I8'
  },
  {
    rule: 'only the next piece of the current attempt is taken',
    variant: { patch: acceptEveryPiece },
    cells: [cell('request', 'stream/model', 'connection_silent')],
    invariant: 'I7'
  },
  {
    rule: 'no keyed request is served while the keys may be old',
    variant: { config: (inner) => ({ current: () => inner.current(), keysAreFresh: () => true, isWithdrawn: (id) => inner.isWithdrawn(id) }) },
    cells: PARTITION_THEN_WITHDRAWAL,
    invariant: 'I4'
  },
  {
    rule: 'the key does not leave the entry',
    variant: { targets: (inner) => ({ ...inner, engine: (url) => inner.engine(url), plain: (url) => ({ call: (req, signal) => inner.plain(url).call({ ...req, path: `${req.path}?${keyFor('alder').text}` }, signal) }) }) },
    cells: [cell('request', 'send/read', 'racing_edits')],
    invariant: 'I4'
  },
  {
    rule: 'leaving targets get no new work',
    variant: { router: (inner) => Object.assign(Object.create(inner) as typeof inner, { setTargets: (targets: Parameters<typeof inner.setTargets>[0]) => inner.setTargets(targets.map((target) => ({ ...target, leaving: false }))) }) },
    cells: [cell('request', 'send/model', 'domain_reclaimed')],
    invariant: 'I10'
  },
  {
    rule: 'the head of the configuration is changed by conditional update',
    variant: { store: forcePuts },
    cells: [cell('configuration', 'publish', 'racing_edits')],
    invariant: 'I12'
  },
  {
    rule: 'a former holder is proved retired before a different order',
    variant: { patch: () => replaceMethod(PeerRetirement.prototype, 'isRetired', async () => true) },
    cells: [cell('orders', 'order', 'lease_lapses_while_paused')],
    invariant: 'I1'
  },
  {
    rule: 'a stopping entry goes on accepting until nobody uses it',
    variant: { stopHoldMs: 500 },
    cells: [cell('membership', 'leave', 'reports_missing')],
    invariant: 'I11'
  },
  {
    rule: 'the final record of a window is created once',
    variant: { store: forcePuts },
    cells: [cell('usage', 'close_window', 'lease_lapses_while_paused')],
    invariant: 'I6'
  },
  {
    rule: 'an order for a target keeps its token when it is sent again',
    variant: { patch: changeTokenOnEachSend },
    cells: [cell('targets', 'place', 'store_reply_lost')],
    invariant: 'I5'
  },
  {
    rule: 'a slot is given back however a request ends',
    variant: { admission: (inner) => { const enter = inner.enter.bind(inner); inner.enter = async (req, signal) => (await enter(req, signal)).map((ticket) => ({ ...ticket, release: () => {} })); return inner } },
    cells: [cell('request', 'send/model', 'connection_silent')],
    invariant: 'recovery'
  }
]

function forcePuts (store: MemoryStore): void {
  const put = store.put.bind(store)
  store.put = async (key, value, expected) => {
    const outcome = await put(key, value, expected)
    return outcome.err && outcome.val.kind === 'conflict' ? await put(key, value, store.peek(key)?.version ?? 'absent') : outcome
  }
}

function mapErrors (inner: TargetClients, change: (err: TargetError) => TargetError): TargetClients {
  const withChangedError = <T>(outcome: Result<T, TargetError>): Result<T, TargetError> => outcome.mapErr(change)
  return {
    engine: (url) => inner.engine(url),
    plain: (url) => ({ call: async (req, signal) => withChangedError(await inner.plain(url).call(req, signal)) })
  }
}

/** The request path creates its own splice, so the rule is removed from the class. */
function acceptEveryPiece (): Disposable {
  const { accept } = StreamSplice.prototype
  return replaceMethod(StreamSplice.prototype, 'accept', function (this: StreamSplice, attempt, chunk) {
    const internals = this as unknown as { currentAttempt: string, firstIndex: number }
    internals.currentAttempt = attempt
    internals.firstIndex = this.length - chunk.index
    return accept.call(this, attempt, chunk)
  })
}

/** Each send of an order for a target carries a new token, so neither the platform nor the list of targets matches it with the one before. */
function changeTokenOnEachSend (): Disposable {
  const { send } = TargetOrderSender.prototype
  let sends = 0
  const patch = replaceMethod(TargetOrderSender.prototype, 'send', async function (this: TargetOrderSender, intent) {
    return await send.call(this, { ...intent, id: `${intent.id}/${++sends}` })
  })
  return patch
}

/** Replaces a method of a class until disposed. */
function replaceMethod<T, K extends keyof T> (prototype: T, method: K, replacement: T[K]): Disposable {
  const original = prototype[method]
  prototype[method] = replacement
  return { [Symbol.dispose]: () => { prototype[method] = original } }
}
