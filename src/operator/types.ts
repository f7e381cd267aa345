/** Actions of the operator interface. */
import type { EntryReport } from '../report/index.js'

/** Operator interface of one entry, independent of the transport. */
export interface OperatorActions {
  readonly ready: boolean
  /** Metrics in the Prometheus text format. */
  metrics (): string
  report (): EntryReport
  /** Starts a graceful stop and returns immediately. */
  drain (): void
  /** Withdraws a key on all reachable entries; resolves with the entries that confirmed. */
  withdrawKey (id: string): Promise<WithdrawalOutcome>
}

/** Progress of the withdrawal of a key. */
export interface WithdrawalOutcome {
  /** Whether the withdrawal is in the store. */
  readonly stored: boolean
  /** Entries that already refuse the key. */
  readonly confirmed: readonly string[]
  /** Entries that did not reply; they refuse requests with keys once they cannot confirm that their keys are current. */
  readonly unconfirmed: readonly string[]
}
