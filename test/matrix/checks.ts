/** Checks of the invariants. They use only what callers, targets and the platform observed. */
import { expectedWords } from '../../src/standin/index.js'
import { refusalOf } from '../support/callers.js'
import { keyFor, PLAIN } from '../support/build.js'
import type { CallerTry } from '../support/evidence.js'
import type { EntryProcess } from '../support/entry-process.js'
import type { World } from '../support/world.js'

/** A violated invariant. */
export interface Violation {
  readonly invariant: string
  readonly detail: string
}

/** Time after which a withdrawn key or a leaving target must be out of use everywhere, in ms. */
const PROPAGATION_BOUND_MS = 5_000

type Check = (world: World<EntryProcess>) => string[]

/** Checks by invariant; {@link RULES} lists the rule behind each. */
export const CHECKS: Readonly<Record<string, Check>> = {
  I4: (world) => [...keysAtTargets(world), ...servedAfterWithdrawal(world)],
  I7: (world) => world.tries.filter((callerTry) => callerTry.status === 200).flatMap(wrongResponse),
  I8: (world) => {
    const executed = executedTries(world)
    return world.tries.filter((callerTry) => refusalOf(callerTry)?.ran === 'no' && executed.has(callerTry.id)).map((callerTry) => `${callerTry.id} was refused as not run, but ran`)
  },
  I9: (world) => duplicates(world.records.filter((record) => record.path === '/record').map((record) => record.body)).map((body) => `"${body}" took effect more than once`),
  I10: (world) => world.leavingTargets.flatMap(({ target, at }) => (
    world.sentRequests.filter((send) => send.target === target && send.at > at + PROPAGATION_BOUND_MS).map((send) => `${send.attempt} went to ${target} ${send.at - at} ms after it began to leave`)
  )),
  I12: (world) => world.procs.flatMap((proc) => {
    const regressedAt = proc.generations.findIndex((generation, index) => index > 0 && generation <= proc.generations[index - 1]!)
    const newestGeneration = Math.max(...world.acceptedGenerations.map((accepted) => accepted.generation))
    return [
      ...regressedAt < 0 ? [] : [`${proc.name} went back to generation ${proc.generations[regressedAt]}`],
      ...!proc.gate.alive || proc.generations.at(-1) === newestGeneration ? [] : [`${proc.name} has generation ${proc.generations.at(-1)}, not ${newestGeneration}`],
      ...duplicates(world.acceptedGenerations.map((accepted) => String(accepted.generation))).map((generation) => `generation ${generation} was accepted twice`)
    ]
  }),
  billing: (world) => overcountedCalls(world),
  recovery: (world) => world.tries.filter((callerTry) => callerTry.caller === 'probe' && callerTry.account !== 'withdrawn' && callerTry.status !== 200)
    .map((callerTry) => `after the faults ${callerTry.entry} answered ${callerTry.id} with ${callerTry.status} ${refusalOf(callerTry)?.reason ?? callerTry.outcome}`)
}

/** The rule that guarantees each invariant. */
export const RULES: Readonly<Record<string, string>> = {
  I1: 'one open intent for each engine; a different order waits until former holders are proved retired',
  I3: 'fencing numbers; intents stored with the lease',
  I5: 'an order carries the id of its stored intent as token',
  I6: 'a final record is written once, and reports carry its figures',
  I4: 'keys stop at the entry; a key is checked on arrival and again after the queue; an entry refuses keyed requests when its keys may be old',
  I7: 'only pieces of the current attempt with the next index are taken',
  I8: '`ran` is `no` only while nothing went to a target',
  I9: 'a call that may not be repeated is claimed before it is sent, and not sent again after it may have run',
  I10: 'routing leaves out targets that leave',
  I11: 'an entry that stops is not named for the whole hold time, and finishes what runs',
  I12: 'the head is changed by conditional update; an entry applies only a higher generation',
  billing: 'a call is counted by the entry that ran it, once',
  recovery: 'slots, queues and claims are given back however a request ends'
}

/** All violations in a finished run. */
export function check (world: World<EntryProcess>): Violation[] {
  return Object.entries(CHECKS).flatMap(([invariant, test]) => test(world).map((detail) => ({ invariant, detail })))
}

function keysAtTargets (world: World<EntryProcess>): string[] {
  const secrets = world.tries.map((callerTry) => keyFor(callerTry.account).text.slice(-43))
  return world.sentRequests.filter((send) => secrets.some((secret) => send.payload.includes(secret))).map((send) => `${send.attempt} carried a key to ${send.target}`)
}

function servedAfterWithdrawal (world: World<EntryProcess>): string[] {
  return world.withdrawals.flatMap(({ account, at }) => (
    world.tries.filter((callerTry) => callerTry.account === account && callerTry.sentAt > at + PROPAGATION_BOUND_MS && callerTry.status === 200)
      .map((callerTry) => `${callerTry.id} was served ${callerTry.sentAt - at} ms after its key was withdrawn`)
  ))
}

function wrongResponse (callerTry: CallerTry): string[] {
  const mismatch = callerTry.kind === 'stream' || callerTry.kind === 'whole' ? wrongModelResponse(callerTry) : wrongPlainResponse(callerTry)
  return mismatch === undefined ? [] : [`${callerTry.id}: ${mismatch}`]
}

function wrongModelResponse (callerTry: CallerTry): string | undefined {
  const expected = expectedWords(callerTry.text, callerTry.seed, callerTry.maxTokens)
  const isComplete = callerTry.outcome === 'whole' && refusalOf(callerTry) === undefined
  if (callerTry.kind === 'whole') {
    const text = isComplete ? (JSON.parse(callerTry.received) as { text: string }).text : expected.join('')
    return text === expected.join('') ? undefined : `got "${text}", expected "${expected.join('')}"`
  }
  const chunks = [...callerTry.received.matchAll(/data: (\{"index".*\})/g)].map((match) => JSON.parse(match[1]!) as { index: number, text: string })
  const wrongIndex = chunks.findIndex((chunk, index) => chunk.index !== index || chunk.text !== expected[index])
  if (wrongIndex >= 0) return `piece ${wrongIndex} is ${JSON.stringify(chunks[wrongIndex])}, expected "${expected[wrongIndex]}"`
  return isComplete && chunks.length !== expected.length ? `${chunks.length} pieces of ${expected.length}` : undefined
}

function wrongPlainResponse (callerTry: CallerTry): string | undefined {
  if (callerTry.outcome !== 'whole') return undefined
  const body = (JSON.parse(callerTry.received) as { body: string }).body
  return body === callerTry.text ? undefined : `got the response to "${body}"`
}

/** Ids of the tries of which a target executed an attempt. */
function executedTries (world: World<EntryProcess>): Set<string> {
  const executedAttempts = new Set([...world.records.map((record) => record.id), ...world.engines.flatMap((engine) => engine.inner.startedAttempts)])
  return new Set(world.sentRequests.filter((send) => executedAttempts.has(send.attempt)).map((send) => /<([^>]+)>/.exec(send.payload)?.[1] ?? ''))
}

function overcountedCalls (world: World<EntryProcess>): string[] {
  const accountOfTry = new Map(world.tries.map((callerTry) => [callerTry.id, callerTry.account]))
  const accountOfAttempt = new Map(world.sentRequests.map((send) => [send.attempt, accountOfTry.get(/<([^>]+)>/.exec(send.payload)?.[1] ?? '')]))
  const rows = world.procs.flatMap((proc) => proc.usage.rows()).filter((row) => row.service === PLAIN)
  return [...new Set(accountOfTry.values())].flatMap((account) => {
    const executed = world.records.filter((record) => accountOfAttempt.get(record.id) === account).length
    const counted = rows.filter((row) => row.account === account).reduce((sum, row) => sum + row.requests, 0)
    return counted <= executed ? [] : [`${account} is counted ${counted} plain calls, but ${executed} ran`]
  })
}

function duplicates (items: readonly string[]): string[] {
  const encountered = new Set<string>()
  return [...new Set(items.filter((value) => encountered.has(value) || !encountered.add(value)))]
}
