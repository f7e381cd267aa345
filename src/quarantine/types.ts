/** What gateways tell each other of a suspected segment, and store of a quarantined one. */
import * as z from 'zod'
import * as validation from '../validation/index.js'

export const ToldSuspect = z.object({
  /** Id of the segment. */
  id: z.string(),
  /** How often it was cleared. */
  clearances: z.int(),
  /** Targets that ended since then. */
  crashes: validation.list(z.string())
})
export type ToldSuspect = z.infer<typeof ToldSuspect>
