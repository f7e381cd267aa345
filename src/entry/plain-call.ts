/** A call to a plain service; a non-idempotent call is claimed before it is sent. */
import * as crypto from 'node:crypto'
import type { Claim } from '../claims/index.js'
import { orThrow, Refusal } from '../errors/index.js'
import { retryReason } from '../retry/index.js'
import type { RouteChoice } from '../routing/index.js'
import type { Route } from '../schema/index.js'
import type { PlainRes } from '../target-clients/index.js'
import { recheckAuthorization, remainingMs, type CallContext } from './call-context.js'
import { retryBudgetOf } from './budgets.js'
import { admit } from './model-call.js'
import { plainRouteReq, sendPlain } from './plain-send.js'
import type { CallerRes, EntryDeps } from './types.js'

/** Work of one plain call, in work units. */
const PLAIN_CALL_WORK = 1

/** Maximum number of attempts of one call. */
const MAX_ATTEMPTS = 3

/** Executes a call to a plain service and writes the response to `res`. */
export async function runPlainCall (call: CallContext, route: Route, res: CallerRes, deps: EntryDeps): Promise<void> {
  if (!route.repeatable && call.req.idempotencyKey === undefined) {
    throw new Refusal('idempotency_key_missing', { step: 'parse', ran: 'no', message: 'this route requires an Idempotency-Key header' })
  }
  const ticket = await admit(call, PLAIN_CALL_WORK, deps)
  try {
    orThrow(recheckAuthorization(call, deps))
    const response = route.repeatable ? await sendAndCount(call, true, deps) : await sendWithClaim(call, deps)
    ticket.charge(PLAIN_CALL_WORK)
    res.start(response.status, response.contentType, contentLengthHeader(response.body))
    res.end(response.body)
  } finally {
    ticket.release()
  }
}

async function sendWithClaim (call: CallContext, deps: EntryDeps): Promise<PlainRes> {
  const outcome = await deps.claims.claim({
    account: call.account,
    service: call.service.name,
    key: call.req.idempotencyKey ?? '',
    request: requestDigest(call),
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
    const response = await sendAndCount(call, false, deps)
    trackClaimWrite(claim.complete(response), call, deps)
    return response
  } catch (err) {
    if (err instanceof Refusal && err.detail.ran === 'no') trackClaimWrite(claim.abandon(), call, deps)
    else claim.markUnknown()
    throw err
  }
}

/** Counts usage at the entry that sends the call; a response replayed from a claim was counted there already. */
async function sendAndCount (call: CallContext, idempotent: boolean, deps: EntryDeps): Promise<PlainRes> {
  const response = await sendWithRetries(call, idempotent, deps)
  deps.usage.add(call.account, call.service.name, { requests: 1, promptTokens: 0, outputTokens: 0 })
  return response
}

/** Reports a failed write of a claim; the caller does not wait for the store. */
function trackClaimWrite (written: Promise<void>, call: CallContext, deps: EntryDeps): void {
  written.catch((err: unknown) => {
    deps.metrics.count('godwitpoint_claim_writes_failed_total')
    deps.log.error({ step: 'claim', call: call.id, err }, 'claim_write_failed')
  })
}

async function sendWithRetries (call: CallContext, idempotent: boolean, deps: EntryDeps): Promise<PlainRes> {
  const excluded = new Set<string>()
  const budget = retryBudgetOf(call.service.name, deps)
  budget.countRequest()
  let executed: 'no' | 'maybe' = 'no'
  for (let attempt = 1; ; attempt++) {
    if (remainingMs(call, deps) <= 0) throw new Refusal('deadline_exceeded', { step: 'send', ran: executed })
    const choice = chooseTarget(call, excluded, executed, deps)
    const outcome = await sendPlain(call, `${call.id}-${attempt}`, choice, idempotent, deps)
    if (outcome.ok) return outcome.val
    const err = outcome.val
    if (err.ran === 'maybe') executed = 'maybe'
    excluded.add(choice.target.name)
    const detail = { step: 'send', ran: executed, message: err.message, peer: choice.target.name, retryAfterMs: 1_000 } as const
    const reason = retryReason(err, idempotent)
    if (idempotent && call.req.signal.aborted) throw new Refusal('caller_disconnected', { step: 'send', ran: executed })
    if (remainingMs(call, deps) <= 0) throw new Refusal('deadline_exceeded', detail)
    if (reason === undefined || attempt >= MAX_ATTEMPTS) throw new Refusal(executed === 'no' ? 'target_unavailable' : 'target_failed', detail)
    if (!budget.tryRetry()) throw new Refusal('retry_budget_exhausted', detail)
    deps.metrics.countRetry(reason)
  }
}

function chooseTarget (call: CallContext, exclude: Set<string>, executed: 'no' | 'maybe', deps: EntryDeps): RouteChoice {
  const choice = deps.router.choose(plainRouteReq(call, exclude)) ?? deps.router.choose(plainRouteReq(call))
  if (choice === undefined) throw new Refusal('no_target', { step: 'route', ran: executed, retryAfterMs: 1_000 })
  return choice
}

/** Sets the content length: without one, Node uses chunked encoding, with a separate write for each part. */
function contentLengthHeader (body: Uint8Array): Readonly<Record<string, string>> {
  return body.length === 0 ? {} : { 'content-length': String(body.length) }
}

function requestDigest (call: CallContext): string {
  const { method, url, body } = call.req
  return crypto.createHash('sha256').update(`${method} ${url}\n`).update(body).digest('hex')
}
