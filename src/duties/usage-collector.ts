/** Collects the counts of the other gateways directly: one that cannot reach the store has not written its counts there. */
import type * as errors from '../errors/index.js'
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as peer from '../peer/index.js'
import * as validation from '../validation/index.js'
import * as z from 'zod'
import * as usageCounts from './usage-counts.js'
import * as usageFinals from './usage-finals.js'
import type * as usageLedger from './usage-ledger.js'

/** Counts of one process, and of all processes that it knows: relays know those of their members. */
const COUNTS_METHOD = 'usage.counts'
const HELD_METHOD = 'usage.held'
/** Final counts that the caller is about to report. */
const FINALS_METHOD = 'usage.finals'

/** Time allowed for a reply, in ms. */
const REPLY_TIMEOUT_MS = 400

const HeldRes = z.object({ processes: usageCounts.ProcessCounts, finals: usageFinals.FinalCounts.default({}), restored: usageFinals.RestoreBound.optional() })
const FinalsReq = z.object({ finals: usageFinals.FinalCounts })
/** Windows of which the callee knows other final counts. */
const FinalsRes = z.object({ differing: validation.list(z.int()) })

/** Dependencies of the collector. */
export interface UsageCollectorDeps {
  readonly peers: peer.Peers
  readonly ledger: usageLedger.UsageLedger
  readonly eras: external.StoreEras
  /** Peer addresses of the other relays. */
  readonly relayAddresses: () => readonly string[]
  readonly log: log.Logger
}

/** Counts of all processes, and the windows of which relays know different final counts. */
export interface CollectedUsage {
  readonly counts: readonly usageCounts.ProcessCounts[]
  readonly differing: ReadonlySet<number>
}

/** Gives the counts that this process knows to the lease holder, and collects all counts when this process is the holder. */
export class UsageCollector {
  /** Final counts that this process knows. */
  readonly finals: usageFinals.KnownFinals

  constructor (private readonly deps: UsageCollectorDeps) {
    const { peers, ledger, eras, log } = deps
    this.finals = new usageFinals.KnownFinals({ eras, lastDueWindow: () => ledger.lastDueWindow(), currentWindow: () => ledger.currentWindow(), log })
    peers.handle(COUNTS_METHOD, async () => ({ name: ledger.processName, windows: ledger.ownCounts }))
    peers.handle(HELD_METHOD, async (): Promise<z.infer<typeof HeldRes>> => ({ processes: ledger.allCounts, finals: this.finals.after(-Infinity), restored: this.finals.restoreBound }))
    peers.handle(FINALS_METHOD, async (params): Promise<z.infer<typeof FinalsRes>> => ({ differing: this.finals.add(FinalsReq.parse(params).finals) }))
  }

  /** Returns the counts that this process and all relays that reply know; adds the final counts that they know. */
  async collect (): Promise<CollectedUsage> {
    const replies = await this.callRelays(HELD_METHOD, {})
    const counts = [this.deps.ledger.allCounts]
    const differing = new Set<number>()
    for (const reply of replies) {
      const parsed = reply.ok ? HeldRes.safeParse(reply.val) : undefined
      if (parsed?.success !== true) continue
      counts.push(parsed.data.processes)
      for (const window of this.finals.add(parsed.data.finals)) differing.add(window)
      if (parsed.data.restored !== undefined) this.finals.addBound(parsed.data.restored)
    }
    return { counts, differing }
  }

  /** Tells the other relays final counts before they are reported. Returns the windows of which one knows other counts. */
  async tellFinals (finals: usageFinals.FinalCounts): Promise<Set<number>> {
    const replies = await this.callRelays(FINALS_METHOD, { finals })
    // Counts that another holder told meanwhile are known here as well.
    const differing = new Set(this.finals.add(finals))
    for (const reply of replies) {
      const parsed = reply.ok ? FinalsRes.safeParse(reply.val) : undefined
      if (parsed?.success === true) for (const window of parsed.data.differing) differing.add(window)
    }
    return differing
  }

  private async callRelays (method: string, params: unknown): Promise<Array<errors.Result<unknown, peer.PeerError>>> {
    return await Promise.all(this.deps.relayAddresses().map(async (address) => await this.deps.peers.call<unknown>(address, method, params, REPLY_TIMEOUT_MS)))
  }
}
