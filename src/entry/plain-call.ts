/** A call to a plain service; one that may not be repeated is claimed before it is sent. */
import * as crypto from 'node:crypto'
import type { Claim } from '../claims/index.js'
import { orThrow, Refusal } from '../errors/index.js'
import { retryReason } from '../retry/index.js'
import type { RouteChoice } from '../routing/index.js'
import type { Route } from '../schema/index.js'
import type { PlainRes } from '../target-clients/index.js'
import { stillAuthorized, timeLeft, type CallContext } from './call-context.js'
import { budgetOf } from './budgets.js'
import { admit } from './model-call.js'
import { plainNeed, sendPlain } from './plain-send.js'
import type { CallerRes, EntryDeps } from './types.js'

/** Work of a plain call, in work units. */
const PLAIN_WORK = 1

/** Most attempts of one call. */
const MAX_ATTEMPTS = 3

/** Runs a call to a plain service and writes the answer. */
export async function runPlainCall (call: CallContext, route: Route, res: CallerRes, deps: EntryDeps): Promise<void> {
  if (!route.repeatable && call.req.idempotencyKey === undefined) {
    throw new Refusal('idempotency_key_missing', { step: 'parse', ran: 'no', message: 'this route requires an Idempotency-Key header' })
  }
  const ticket = await admit(call, PLAIN_WORK, deps)
  try {
    orThrow(stillAuthorized(call, deps))
    const answer = route.repeatable ? await sendCounted(call, true, deps) : await sendOnce(call, deps)
    ticket.charge(PLAIN_WORK)
    res.start(answer.status, answer.contentType, lengthOf(answer.body))
    res.end(answer.body)
  } finally {
    ticket.release()
  }
}

async function sendOnce (call: CallContext, deps: EntryDeps): Promise<PlainRes> {
  const outcome = await deps.claims.claim({
    account: call.account,
    service: call.service.name,
    key: call.req.idempotencyKey ?? '',
    request: digestOf(call),
    deadlineAt: call.deadlineAt
  })
  if (outcome.err) throw outcome.val
  if (outcome.val.kind === 'answered') {
    return outcome.val.response
  }
  return await sendClaimed(call, outcome.val.claim, deps)
}

async function sendClaimed (call: CallContext, claim: Claim, deps: EntryDeps): Promise<PlainRes> {
  try {
    const answer = await sendCounted(call, false, deps)
    keep(claim.complete(answer), call, deps)
    return answer
  } catch (err) {
    if (err instanceof Refusal && err.detail.ran === 'no') keep(claim.abandon(), call, deps)
    else claim.markUnknown()
    throw err
  }
}

/** Counts the call where it ran; an answer replayed from a claim was counted by the entry that sent the call. */
async function sendCounted (call: CallContext, repeatable: boolean, deps: EntryDeps): Promise<PlainRes> {
  const answer = await sendWithRetries(call, repeatable, deps)
  deps.usage.add(call.account, call.service.name, { requests: 1, promptTokens: 0, outputTokens: 0 })
  return answer
}

/** Follows a write of the claim in the background; the caller does not wait for the store. */
function keep (written: Promise<void>, call: CallContext, deps: EntryDeps): void {
  written.catch((err: unknown) => {
    deps.metrics.count('godwitpoint_claim_writes_failed_total')
    deps.log.error({ step: 'claim', call: call.id, err }, 'claim_write_failed')
  })
}

async function sendWithRetries (call: CallContext, repeatable: boolean, deps: EntryDeps): Promise<PlainRes> {
  const excluded = new Set<string>()
  const budget = budgetOf(call.service.name, deps)
  budget.countRequest()
  let ran: 'no' | 'maybe' = 'no'
  for (let attempt = 1; ; attempt++) {
    if (timeLeft(call, deps) <= 0) throw new Refusal('deadline_exceeded', { step: 'send', ran })
    const choice = chooseTarget(call, excluded, ran, deps)
    const outcome = await sendPlain(call, `${call.id}-${attempt}`, choice, repeatable, deps)
    if (outcome.ok) return outcome.val
    const err = outcome.val
    if (err.ran === 'maybe') ran = 'maybe'
    excluded.add(choice.target.name)
    const detail = { step: 'send', ran, message: err.message, peer: choice.target.name, retryAfterMs: 1_000 } as const
    const reason = retryReason(err, repeatable)
    if (repeatable && call.req.signal.aborted) throw new Refusal('caller_disconnected', { step: 'send', ran })
    if (timeLeft(call, deps) <= 0) throw new Refusal('deadline_exceeded', detail)
    if (reason === undefined || attempt >= MAX_ATTEMPTS) throw new Refusal(ran === 'no' ? 'target_unavailable' : 'target_failed', detail)
    if (!budget.tryRetry()) throw new Refusal('retry_budget_exhausted', detail)
    deps.metrics.countRetry(reason)
  }
}

function chooseTarget (call: CallContext, exclude: Set<string>, ran: 'no' | 'maybe', deps: EntryDeps): RouteChoice {
  const choice = deps.router.choose(plainNeed(call, exclude)) ?? deps.router.choose(plainNeed(call))
  if (choice === undefined) throw new Refusal('no_target', { step: 'route', ran, retryAfterMs: 1_000 })
  return choice
}

/** Without a length, Node sends a whole answer in chunks, in a write of its own for each part. */
function lengthOf (body: Uint8Array): Readonly<Record<string, string>> {
  return body.length === 0 ? {} : { 'content-length': String(body.length) }
}

function digestOf (call: CallContext): string {
  const { method, url, body } = call.req
  return crypto.createHash('sha256').update(`${method} ${url}\n`).update(body).digest('hex')
}
