/** Counts how sends deal with the shared beginning of their prompts. */
import type * as metrics from '../metrics/index.js'
import type * as placement from '../placement/index.js'

/** Counts one send. */
export function countPrefixChoice (counters: Pick<metrics.Metrics, 'count'>, prefix: placement.PrefixChoice): void {
  if (prefix.way === 'none') return
  counters.count('godwitpoint_prefix_choices_total', `way="${prefix.way}"`)
  if (prefix.fetchedTokens > 0) counters.count('godwitpoint_fetched_tokens_total', '', prefix.fetchedTokens)
  if (prefix.againTokens > 0) counters.count('godwitpoint_prefilled_again_tokens_total', '', prefix.againTokens)
  if (prefix.copiesAhead) counters.count('godwitpoint_segment_copies_total')
}
