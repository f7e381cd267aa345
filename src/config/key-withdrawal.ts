/** Withdraws keys: at all peers at once, and in the store beside that. */
import { Err, Ok } from '../errors/index.js'
import { rendezvous } from '../hash/index.js'
import { delay, withTimeout } from '../time/index.js'
import { editConfig, withKeyWithdrawn } from './edit.js'
import type { ConfigMember } from './members.js'
import { CONFIG_METHODS, WithdrawReq, WithdrawRes } from './peer-messages.js'
import { POLL_TIMEOUT_MS, type PeerSource } from './peer-source.js'
import type { ConfigPropagatorDeps } from './propagator.js'
import { Withdrawals } from './withdrawals.js'

/** Time after which an operator gets an answer, whatever is still open, in ms. */
const ANSWER_MS = 2_000

/** Interval between attempts to tell a peer that has not confirmed, in ms. */
const RESEND_MS = 500

/** Time for which a peer is told again, in ms; later it learns of the key by gossip and from the store. */
const RESEND_FOR_MS = 60_000

/** Entries that store a withdrawal when the one that took it does not, and the delay of each after the one before. */
const STORE_RANKS = 3
const STORE_RANK_MS = 5_000

/** Interval between attempts to store, in ms. */
const STORE_RETRY_MS = 5_000

/** How far a withdrawal has come. */
export interface WithdrawalResult {
  readonly stored: boolean
  /** Incarnations that refuse the key; addresses of those that are not known. */
  readonly confirmed: readonly string[]
  readonly unconfirmed: readonly string[]
}

/** Withdrawals in progress. */
export class KeyWithdrawal implements AsyncDisposable {
  readonly pending = new Withdrawals()
  private readonly storing = new Set<string>()
  private storeDue = 0
  private comparing = false
  private stopping = false

  constructor (private readonly deps: Pick<ConfigPropagatorDeps, 'env' | 'store' | 'peers' | 'members' | 'metrics' | 'log'>, private readonly source: PeerSource) {}

  /** Refuses the key here, tells all peers and stores the withdrawal; resolves within about two seconds. */
  async withdraw (id: string): Promise<WithdrawalResult> {
    if (!this.pending.add(id, this.now())) throw new Error('too many withdrawals wait for the store')
    const told = this.deps.members.others().filter((member) => !member.gone)
    const confirmed = new Set<string>()
    let stored = false
    const work = Promise.all([
      this.store(id).then((outcome) => { stored = outcome }),
      ...told.map(async (member) => { if (await this.tell(member, id)) confirmed.add(nameOf(member)) })
    ])
    await withTimeout<unknown>(this.deps.env.timers, ANSWER_MS, work, () => undefined)
    const ids = told.map(nameOf)
    return { stored, confirmed: ids.filter((one) => confirmed.has(one)), unconfirmed: ids.filter((one) => !confirmed.has(one)) }
  }

  /** Answers `key.withdraw`. */
  answerWithdraw (params: unknown): { refused: boolean } {
    return { refused: this.pending.add(WithdrawReq.parse(params).id, this.now()) }
  }

  /** Learns the keys that a peer knows to be withdrawn, when its fingerprint differs. */
  async compare (address: string, fingerprint: number): Promise<void> {
    if (fingerprint === 0 || fingerprint === this.pending.fingerprint || this.comparing) return
    this.comparing = true
    const ids = await this.source.pending(address)
    this.comparing = false
    if (ids.ok) for (const id of ids.val) this.pending.add(id, this.now())
  }

  /** Stores what others took but did not store. */
  tick (): void {
    const now = this.now()
    if (now < this.storeDue || this.stopping) return
    const names = [this.deps.members.name, ...this.deps.members.others().filter((member) => member.alive).map((member) => member.name)]
    const due = this.pending.ids().filter((id) => {
      const rank = rendezvous(id, names, STORE_RANKS).indexOf(this.deps.members.name)
      return rank >= 0 && (this.pending.age(id, now) ?? 0) >= (rank + 1) * STORE_RANK_MS
    })
    this.storeDue = now + STORE_RETRY_MS
    for (const id of due) this.store(id).catch((err: unknown) => { this.deps.log.warn({ step: 'publish', err }, 'withdrawal_not_stored') })
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
  }

  private async store (id: string): Promise<boolean> {
    if (this.storing.has(id)) return false
    this.storing.add(id)
    try {
      const edited = await editConfig(this.deps.store, (set) => {
        if (set.keys.some((key) => key.id === id && key.withdrawn)) return Err(ALREADY)
        return withKeyWithdrawn(set, id)
      })
      const stored = edited.ok ? Ok(true) : Ok(edited.val === ALREADY)
      if (!stored.val) this.deps.metrics.countRetry('store_unavailable')
      return stored.val
    } finally {
      this.storing.delete(id)
    }
  }

  private async tell (member: ConfigMember, id: string): Promise<boolean> {
    const until = this.now() + RESEND_FOR_MS
    while (!this.stopping && this.now() < until && !this.isGone(member)) {
      const answer = await this.deps.peers.call<unknown>(member.address, CONFIG_METHODS.withdraw, { id }, POLL_TIMEOUT_MS)
      if (answer.ok && WithdrawRes.safeParse(answer.val).data?.refused === true) return true
      this.deps.metrics.countRetry('peer_unreachable')
      await delay(this.deps.env.timers, RESEND_MS)
    }
    return false
  }

  private isGone (member: ConfigMember): boolean {
    return this.deps.members.others().find((other) => other.address === member.address && other.incarnation === member.incarnation)?.gone ?? true
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}

/** A listed VM that never answered has no known incarnation. */
function nameOf (member: ConfigMember): string {
  return member.incarnation === '' ? member.address : member.incarnation
}

const ALREADY = 'already withdrawn'
