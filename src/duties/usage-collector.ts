/** Collects the counts of the other gateways directly: one that cannot reach the store has not written its counts there. */
import type * as log from '../log/index.js'
import type * as peer from '../peer/index.js'
import * as z from 'zod'
import * as usageCounts from './usage-counts.js'
import * as usageFinals from './usage-finals.js'
import type * as usageLedger from './usage-ledger.js'

/** Counts of one process, and of all processes that it knows: relays know those of their members. */
const COUNTS_METHOD = 'usage.counts'
const HELD_METHOD = 'usage.held'

/** Time allowed for a reply, in ms. */
const REPLY_TIMEOUT_MS = 400

const HeldRes = z.object({ processes: usageCounts.ProcessCounts })

/** Dependencies of the collector. */
export interface UsageCollectorDeps {
  readonly peers: peer.Peers
  readonly ledger: usageLedger.UsageLedger
  /** Peer addresses of the other relays. */
  readonly relayAddresses: () => readonly string[]
  readonly log: log.Logger
}

/** Gives the counts that this process knows to the lease holder, and collects all counts when this process is the holder. */
export class UsageCollector {
  /** Final counts that this process knows. */
  readonly finals: usageFinals.KnownFinals

  constructor (private readonly deps: UsageCollectorDeps) {
    const { peers, ledger, log } = deps
    this.finals = new usageFinals.KnownFinals({ currentWindow: () => ledger.currentWindow(), log })
    peers.handle(COUNTS_METHOD, async () => ({ name: ledger.processName, windows: ledger.ownCounts }))
    peers.handle(HELD_METHOD, async (): Promise<z.infer<typeof HeldRes>> => ({ processes: ledger.allCounts }))
  }

  /** Returns the counts that this process and all relays that reply know. */
  async collect (): Promise<usageCounts.ProcessCounts[]> {
    const replies = await Promise.all(this.deps.relayAddresses().map(async (address) => await this.deps.peers.call<unknown>(address, HELD_METHOD, {}, REPLY_TIMEOUT_MS)))
    const collected = [this.deps.ledger.allCounts]
    for (const reply of replies) {
      const parsed = reply.ok ? HeldRes.safeParse(reply.val) : undefined
      if (parsed?.success === true) collected.push(parsed.data.processes)
    }
    return collected
  }
}
