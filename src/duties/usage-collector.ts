/** Asks the other gateways for their counts: those of one that cannot reach the store are in no object there. */
import type * as peer from '../peer/index.js'
import * as z from 'zod'
import type * as usageLedger from './usage-ledger.js'

const COUNTS_METHOD = 'usage.counts'

/** Time allowed for an answer, in ms. */
const ANSWER_MS = 400

const Answer = z.object({ name: z.string(), windows: z.record(z.string(), z.record(z.string(), z.int())) })
/** The counts of one process. */
export type ProcessCounts = z.infer<typeof Answer>

/** What an exchange needs from its surroundings. */
export interface UsageCollectorDeps {
  readonly peers: peer.Peers
  readonly ledger: usageLedger.UsageLedger
  /** Addresses of the other gateways. */
  readonly others: () => readonly string[]
}

/** Answers the holder of the duties, and asks when this process is the holder. */
export class UsageCollector {
  constructor (private readonly deps: UsageCollectorDeps) {
    deps.peers.handle(COUNTS_METHOD, async () => this.own())
  }

  /** Counts of this process and of all that answer. */
  async collect (): Promise<ProcessCounts[]> {
    const answers = await Promise.all(this.deps.others().map(async (address) => await this.deps.peers.call<unknown>(address, COUNTS_METHOD, {}, ANSWER_MS)))
    const found = [this.own()]
    for (const answer of answers) {
      const parsed = answer.ok ? Answer.safeParse(answer.val) : undefined
      if (parsed?.success === true) found.push(parsed.data)
    }
    return found
  }

  private own (): ProcessCounts {
    return { name: this.deps.ledger.name, windows: this.deps.ledger.counts }
  }
}
