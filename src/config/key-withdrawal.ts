/** Withdraws keys: notifies all peers directly and, at the same time, writes the withdrawal to the store. */
import { Err, Ok } from '../errors/index.js'
import { rendezvous } from '../hash/index.js'
import { delay, withTimeout } from '../time/index.js'
import { editConfig, withKeyWithdrawn } from './edit.js'
import type { ConfigMember } from './members.js'
import { CONFIG_METHODS, WithdrawReq, WithdrawRes } from './peer-messages.js'
import { POLL_TIMEOUT_MS, type PeerSource } from './peer-source.js'
import type { ConfigPropagatorDeps } from './propagator.js'
import { PendingWithdrawals } from './pending-withdrawals.js'

/** Time after which the operator gets a response, even if peers or the store have not confirmed, in ms. */
const WITHDRAW_RESPONSE_MS = 2_000

/** Interval between notifications to a peer that has not confirmed, in ms. */
const RESEND_INTERVAL_MS = 500

/** Time for which notifications are repeated, in ms; later the peer learns of the key by gossip and from the store. */
const RESEND_PERIOD_MS = 60_000

/** Entries that store a withdrawal if the entry that accepted it does not, and the delay from each to the next, in ms. */
const BACKUP_WRITERS = 3
const BACKUP_WRITER_DELAY_MS = 5_000

/** Interval between attempts to store pending withdrawals, in ms. */
const STORE_RETRY_INTERVAL_MS = 5_000

/** State of a withdrawal when the operator gets the response. */
export interface WithdrawalResult {
  readonly stored: boolean
  /** Incarnations that refuse the key; for listed VMs of unknown incarnation, the peer address. */
  readonly confirmed: readonly string[]
  /** Named in the same way: those that have not confirmed that they refuse the key. */
  readonly unconfirmed: readonly string[]
}

/** Carries out withdrawals. */
export class KeyWithdrawal implements AsyncDisposable {
  readonly pending = new PendingWithdrawals()
  private readonly storesInFlight = new Set<string>()
  private nextStoreAt = 0
  private fetchingPending = false
  private stopping = false

  constructor (private readonly deps: Pick<ConfigPropagatorDeps, 'env' | 'store' | 'peers' | 'members' | 'metrics' | 'log'>, private readonly source: PeerSource) {}

  /**
   * Refuses the key here, notifies all peers and stores the withdrawal; resolves within about two seconds. Throws
   * when too many withdrawals are pending.
   */
  async withdraw (id: string): Promise<WithdrawalResult> {
    if (!this.pending.add(id, this.now())) throw new Error('too many withdrawals wait for the store')
    const recipients = this.deps.members.others().filter((member) => !member.terminated)
    const confirmed = new Set<string>()
    let stored = false
    const work = Promise.all([
      this.store(id).then((outcome) => { stored = outcome }),
      ...recipients.map(async (member) => { if (await this.notifyPeer(member, id)) confirmed.add(displayName(member)) })
    ])
    await withTimeout<unknown>(this.deps.env.timers, WITHDRAW_RESPONSE_MS, work, () => undefined)
    const recipientNames = recipients.map(displayName)
    return { stored, confirmed: recipientNames.filter((name) => confirmed.has(name)), unconfirmed: recipientNames.filter((name) => !confirmed.has(name)) }
  }

  /** Handles `key.withdraw`. */
  handleWithdraw (params: unknown): { refused: boolean } {
    return { refused: this.pending.add(WithdrawReq.parse(params).id, this.now()) }
  }

  /** Fetches a peer's pending withdrawals when their fingerprint differs from the local one. */
  async fetchPendingFrom (address: string, fingerprint: number): Promise<void> {
    if (fingerprint === 0 || fingerprint === this.pending.fingerprint || this.fetchingPending) return
    this.fetchingPending = true
    const ids = await this.source.fetchPendingWithdrawals(address)
    this.fetchingPending = false
    if (ids.ok) for (const id of ids.val) this.pending.add(id, this.now())
  }

  /** Stores withdrawals that the entry that accepted them has not stored. */
  storePending (): void {
    const now = this.now()
    if (now < this.nextStoreAt || this.stopping) return
    const names = [this.deps.members.name, ...this.deps.members.others().filter((member) => member.alive).map((member) => member.name)]
    const dueIds = this.pending.ids().filter((id) => {
      const rank = rendezvous(id, names, BACKUP_WRITERS).indexOf(this.deps.members.name)
      return rank >= 0 && (this.pending.age(id, now) ?? 0) >= (rank + 1) * BACKUP_WRITER_DELAY_MS
    })
    this.nextStoreAt = now + STORE_RETRY_INTERVAL_MS
    for (const id of dueIds) this.store(id).catch((err: unknown) => { this.deps.log.warn({ step: 'publish', err }, 'withdrawal_not_stored') })
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
  }

  private async store (id: string): Promise<boolean> {
    if (this.storesInFlight.has(id)) return false
    this.storesInFlight.add(id)
    try {
      const edited = await editConfig(this.deps.store, (set) => {
        if (set.keys.some((key) => key.id === id && key.withdrawn)) return Err(ALREADY_WITHDRAWN)
        return withKeyWithdrawn(set, id)
      })
      const stored = edited.ok ? Ok(true) : Ok(edited.val === ALREADY_WITHDRAWN)
      if (!stored.val) this.deps.metrics.countRetry('store_unavailable')
      return stored.val
    } finally {
      this.storesInFlight.delete(id)
    }
  }

  private async notifyPeer (member: ConfigMember, id: string): Promise<boolean> {
    const resendUntil = this.now() + RESEND_PERIOD_MS
    while (!this.stopping && this.now() < resendUntil && !this.isTerminated(member)) {
      const reply = await this.deps.peers.call<unknown>(member.address, CONFIG_METHODS.withdraw, { id }, POLL_TIMEOUT_MS)
      if (reply.ok && WithdrawRes.safeParse(reply.val).data?.refused === true) return true
      this.deps.metrics.countRetry('peer_unreachable')
      await delay(this.deps.env.timers, RESEND_INTERVAL_MS)
    }
    return false
  }

  private isTerminated (member: ConfigMember): boolean {
    return this.deps.members.others().find((other) => other.address === member.address && other.incarnation === member.incarnation)?.terminated ?? true
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}

/** The member's incarnation, or its peer address for a listed VM that never responded, whose incarnation is unknown. */
function displayName (member: ConfigMember): string {
  return member.incarnation === '' ? member.address : member.incarnation
}

const ALREADY_WITHDRAWN = 'already withdrawn'
