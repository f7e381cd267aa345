/** Replacements of components in a run, to show that the checks detect when a rule is removed. */
import type { Admission } from '../../src/admission/index.js'
import type { Claims } from '../../src/claims/index.js'
import type { ConfigView } from '../../src/entry/index.js'
import type { Router } from '../../src/routing/index.js'
import type { MemoryStore } from '../../src/standin/index.js'
import type { TargetClients } from '../../src/target-clients/index.js'

export interface Variant {
  readonly claims?: (inner: Claims) => Claims
  readonly router?: (inner: Router) => Router
  readonly config?: (inner: ConfigView) => ConfigView
  readonly targets?: (inner: TargetClients) => TargetClients
  readonly admission?: (inner: Admission) => Admission
  readonly store?: (store: MemoryStore) => void
  /** Time for which a stopping entry continues to accept requests, in ms. */
  readonly stopHoldMs?: number
  /** Patches a component that cannot be injected; disposing restores it. */
  readonly patch?: () => Disposable
}
