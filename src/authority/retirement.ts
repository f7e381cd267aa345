/** Establishes that a former lease holder can no longer send. */
import * as z from 'zod'
import type { PeerClient } from '../peer/index.js'
import type { VmDirectory } from '../external/index.js'
import type { Env } from '../time/index.js'
import type { SendGate } from './send-gate.js'

/** Peer method that requests a former holder to retire. */
export const RETIRE_METHOD = 'authority.retire'

/** Timeout of a retire request, in ms. */
const RETIRE_TIMEOUT_MS = 1_000

/**
 * Longest tolerated lag of the VM list, in ms; a VM that never appeared in the list counts as removed only after this
 * time.
 */
export const VM_LIST_LAG_MS = 300_000

/** Maximum number of hosts and of confirmed retirements that are remembered; the oldest are dropped. */
const MAX_REMEMBERED = 4_096

const RetireReq = z.object({ incarnation: z.string(), scope: z.string(), fence: z.int() })
const RetireRes = z.object({ incarnation: z.string(), retired: z.boolean() })

/**
 * Handles `authority.retire`. The named incarnation stops sending under fencing tokens below the requested one; another
 * incarnation at the same address replies with its own name.
 */
export function handleRetire (params: unknown, incarnation: string, gate: SendGate, depose: (scope: string, fence: number) => void): z.infer<typeof RetireRes> {
  const req = RetireReq.parse(params)
  if (req.incarnation !== incarnation) return { incarnation, retired: true }
  depose(req.scope, req.fence)
  return { incarnation, retired: gate.retire(req.scope, req.fence) }
}

/** Dependencies of {@link PeerRetirement}. */
export interface RetirementDeps {
  readonly env: Env
  readonly peers: PeerClient
  readonly vms: VmDirectory
  /** Peer address under which an incarnation held a scope. */
  readonly addressOf: (incarnation: string, scope: string) => string | undefined
  /** Other evidence that an incarnation sends nothing more for a scope, such as a released lease. */
  readonly isKnownRetired?: (incarnation: string, scope: string) => boolean
}

/** Requests the former holder to retire, and consults the VM list when it does not confirm. */
export class PeerRetirement {
  private readonly confirmed = new Map<string, true>()
  private readonly listedHosts = new Map<string, true>()
  private readonly unlistedSince = new Map<string, number>()

  constructor (private readonly deps: RetirementDeps) {}

  /** True once the incarnation certainly cannot send for the scope under a fencing token below `fence`. */
  async isRetired (incarnation: string, scope: string, fence: number): Promise<boolean> {
    const key = `${incarnation} ${scope} ${fence}`
    if (this.confirmed.has(key) || this.deps.isKnownRetired?.(incarnation, scope) === true) return true
    const address = this.deps.addressOf(incarnation, scope)
    if (address === undefined) return false
    const retired = await this.confirmsRetirement(address, incarnation, scope, fence) || await this.isVmRemoved(hostOf(address))
    if (retired) setBounded(this.confirmed, key, true)
    return retired
  }

  private async confirmsRetirement (address: string, incarnation: string, scope: string, fence: number): Promise<boolean> {
    const reply = await this.deps.peers.call<unknown>(address, RETIRE_METHOD, { incarnation, scope, fence }, RETIRE_TIMEOUT_MS)
    if (reply.err) return false
    const parsed = RetireRes.safeParse(reply.val)
    return parsed.success && (parsed.data.incarnation !== incarnation || parsed.data.retired)
  }

  private async isVmRemoved (host: string): Promise<boolean> {
    const listed = await this.deps.vms.list()
    if (listed.err) return false
    for (const vm of listed.val) {
      setBounded(this.listedHosts, hostOf(vm.address), true)
      this.unlistedSince.delete(hostOf(vm.address))
    }
    if (listed.val.some((vm) => hostOf(vm.address) === host)) return false
    if (this.listedHosts.has(host)) return true
    const now = this.deps.env.clock.now()
    const since = this.unlistedSince.get(host) ?? now
    setBounded(this.unlistedSince, host, since)
    return now - since >= VM_LIST_LAG_MS
  }
}

function setBounded<V> (map: Map<string, V>, key: string, value: V): void {
  map.set(key, value)
  const oldest = map.keys().next()
  if (map.size > MAX_REMEMBERED && oldest.done !== true) map.delete(oldest.value)
}

function hostOf (address: string): string {
  const separator = address.lastIndexOf(':')
  return separator < 0 ? address : address.slice(0, separator)
}
