/** Proof that a former holder can no longer send. */
import * as z from 'zod'
import type { PeerClient } from '../peer/index.js'
import type { VmDirectory } from '../external/index.js'
import type { Env } from '../time/index.js'
import type { SendGate } from './send-gate.js'

/** Peer method by which a former holder is asked to retire. */
export const RETIRE_METHOD = 'authority.retire'

/** Time allowed for the answer, in ms. */
const RETIRE_TIMEOUT_MS = 1_000

/** Longest lag of the VM list that is tolerated, in ms; a VM never seen in the list counts as gone only after it. */
export const VM_LIST_LAG_MS = 300_000

/** Addresses and proofs remembered; the oldest are dropped. */
const REMEMBERED = 4_096

const RetireReq = z.object({ incarnation: z.string(), scope: z.string(), fence: z.int() })
const RetireRes = z.object({ incarnation: z.string(), retired: z.boolean() })

/** Answers `authority.retire`: a new incarnation says who it is; the named one gives up all lower fencing numbers. */
export function handleRetire (params: unknown, incarnation: string, gate: SendGate, depose: (scope: string, fence: number) => void): z.infer<typeof RetireRes> {
  const req = RetireReq.parse(params)
  if (req.incarnation !== incarnation) return { incarnation, retired: true }
  depose(req.scope, req.fence)
  return { incarnation, retired: gate.retire(req.scope, req.fence) }
}

/** What the proof is based on. */
export interface RetirementDeps {
  readonly env: Env
  readonly peers: PeerClient
  readonly vms: VmDirectory
  /** Peer address under which an incarnation held a scope. */
  readonly addressOf: (incarnation: string, scope: string) => string | undefined
  /** Other proof that an incarnation sends nothing more for a scope, such as a lease it released. */
  readonly isKnownRetired?: (incarnation: string, scope: string) => boolean
}

/** Asks the former holder at its address, then the VM list. */
export class PeerRetirement {
  private readonly proved = new Map<string, true>()
  private readonly listed = new Map<string, true>()
  private readonly absentSince = new Map<string, number>()

  constructor (private readonly deps: RetirementDeps) {}

  /** True once the incarnation is proved unable to send for the scope under a fence below `fence`. */
  async isRetired (incarnation: string, scope: string, fence: number): Promise<boolean> {
    const key = `${incarnation} ${scope} ${fence}`
    if (this.proved.has(key) || this.deps.isKnownRetired?.(incarnation, scope) === true) return true
    const address = this.deps.addressOf(incarnation, scope)
    if (address === undefined) return false
    const retired = await this.isDeposed(address, incarnation, scope, fence) || await this.isGone(hostOf(address))
    if (retired) remember(this.proved, key, true)
    return retired
  }

  private async isDeposed (address: string, incarnation: string, scope: string, fence: number): Promise<boolean> {
    const answer = await this.deps.peers.call<unknown>(address, RETIRE_METHOD, { incarnation, scope, fence }, RETIRE_TIMEOUT_MS)
    if (answer.err) return false
    const parsed = RetireRes.safeParse(answer.val)
    return parsed.success && (parsed.data.incarnation !== incarnation || parsed.data.retired)
  }

  private async isGone (host: string): Promise<boolean> {
    const list = await this.deps.vms.list()
    if (list.err) return false
    for (const vm of list.val) {
      remember(this.listed, hostOf(vm.address), true)
      this.absentSince.delete(hostOf(vm.address))
    }
    if (list.val.some((vm) => hostOf(vm.address) === host)) return false
    if (this.listed.has(host)) return true
    const now = this.deps.env.clock.now()
    const since = this.absentSince.get(host) ?? now
    remember(this.absentSince, host, since)
    return now - since >= VM_LIST_LAG_MS
  }
}

function remember<V> (map: Map<string, V>, key: string, value: V): void {
  map.set(key, value)
  const oldest = map.keys().next()
  if (map.size > REMEMBERED && oldest.done !== true) map.delete(oldest.value)
}

function hostOf (address: string): string {
  const separator = address.lastIndexOf(':')
  return separator < 0 ? address : address.slice(0, separator)
}
