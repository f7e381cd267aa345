/** Context of one call, and checks of its key and deadline. */
import type { ConfigIndex } from '../config/index.js'
import { Err, Ok, Refusal, type Result } from '../errors/index.js'
import { OPEN_ACCOUNT, type Profile, type Service } from '../schema/index.js'
import { authenticate } from './keys.js'
import type { CallerReq, EntryDeps } from './types.js'

/** A call whose account and service are known. */
export interface CallContext {
  /** Unique across entries and incarnations. */
  readonly id: string
  readonly req: CallerReq
  readonly account: string
  readonly weight: number
  readonly service: Service
  readonly profile: Profile
  /** Monotonic time of arrival and deadline, in ms. */
  readonly arrivedAt: number
  readonly deadlineAt: number
}

/** The client account of a request by its key, or a refusal. */
export function accountOf (req: CallerReq, cfg: ConfigIndex, deps: EntryDeps): Result<string, Refusal> {
  const account = authenticate(req.authorization, cfg)
  if (account.err) return account
  if (deps.config.isWithdrawn(keyIdOf(req.authorization))) {
    return Err(new Refusal('key_withdrawn', { step: 'authenticate', ran: 'no' }))
  }
  const refusesUnknownKeys = cfg.set.profiles.some((profile) => profile.on_unknown_keys === 'refuse')
  if (refusesUnknownKeys && !deps.config.keysAreFresh()) {
    const message = 'this entry cannot tell whether its keys are current; use another entry'
    return Err(new Refusal('key_state_unknown', { step: 'authenticate', ran: 'no', message, retryAfterMs: 1_000 }))
  }
  return account
}

/** Checks the key again after the request was queued. */
export function recheckAuthorization (call: CallContext, deps: EntryDeps): Result<void, Refusal> {
  const cfg = deps.config.current()
  if (cfg === undefined || call.account === OPEN_ACCOUNT) return Ok(undefined)
  return accountOf(call.req, cfg, deps).map(() => undefined)
}

/** Whether the key of a running call was withdrawn; a key whose state is unknown does not stop a running call. */
export function isKeyWithdrawn (call: CallContext, deps: EntryDeps): boolean {
  const authorized = recheckAuthorization(call, deps)
  return authorized.err && authorized.val.reason !== 'key_state_unknown'
}

/** Time until the call's deadline, in ms. */
export function remainingMs (call: CallContext, deps: EntryDeps): number {
  return call.deadlineAt - deps.env.clock.now()
}

function keyIdOf (authorization: string | undefined): string {
  return authorization?.split('_')[1] ?? ''
}
