/** Parts that a run replaces, to show that the checks notice a rule that is taken out. */
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
  /** Time for which a stopping entry goes on accepting, in ms. */
  readonly stopHoldMs?: number
  /** Changes a part that the harness cannot pass in; disposing undoes it. */
  readonly patch?: () => Disposable
}
