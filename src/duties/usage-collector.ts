/** Collects the counts of the other gateways directly: one that cannot reach the store has not written its counts there. */
import type * as peer from '../peer/index.js'
import * as z from 'zod'
import type * as usageLedger from './usage-ledger.js'

const COUNTS_METHOD = 'usage.counts'

/** Time allowed for a reply, in ms. */
const REPLY_TIMEOUT_MS = 400

const CountsRes = z.object({ name: z.string(), windows: z.record(z.string(), z.record(z.string(), z.int())) })
/** Counts of one process. */
export type ProcessCounts = z.infer<typeof CountsRes>

/** Dependencies of the collector. */
export interface UsageCollectorDeps {
  readonly peers: peer.Peers
  readonly ledger: usageLedger.UsageLedger
  /** Peer addresses of the other gateways. */
  readonly peerAddresses: () => readonly string[]
}

/** Sends the counts of this process to the lease holder, and collects all counts when this process is the holder. */
export class UsageCollector {
  constructor (private readonly deps: UsageCollectorDeps) {
    deps.peers.handle(COUNTS_METHOD, async () => this.ownCounts())
  }

  /** Returns the counts of this process and of all gateways that reply. */
  async collect (): Promise<ProcessCounts[]> {
    const replies = await Promise.all(this.deps.peerAddresses().map(async (address) => await this.deps.peers.call<unknown>(address, COUNTS_METHOD, {}, REPLY_TIMEOUT_MS)))
    const collected = [this.ownCounts()]
    for (const reply of replies) {
      const parsed = reply.ok ? CountsRes.safeParse(reply.val) : undefined
      if (parsed?.success === true) collected.push(parsed.data)
    }
    return collected
  }

  private ownCounts (): ProcessCounts {
    return { name: this.deps.ledger.name, windows: this.deps.ledger.counts }
  }
}
