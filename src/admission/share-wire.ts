/** Messages of `share.report` between an entry and the home entries of accounts and services. */
import * as z from 'zod'

/** Peer method. */
export const SHARE_METHOD = 'share.report'

/** Most rows of one message; far more than fit in the byte limit. */
const MAX_ROWS = 1_024

const Amount = z.number().min(0)
const Name = z.string().min(1).max(128)

/** Account, cumulative work, requests waiting or running, and the part of the work that a home entry has answered before. */
export const ShareRow = z.tuple([Name, Amount, Amount, Amount])
export type ShareRow = z.infer<typeof ShareRow>

/**
 * An entry's claim on the slots of a service: the service, the weight of accounts with demand corrected by feedback,
 * the demand, the weight of accounts with waiting requests without feedback, and their work per ms.
 */
export const SlotRow = z.tuple([Name, Amount, Amount, Amount, Amount])
export type SlotRow = z.infer<typeof SlotRow>

/** Cumulative totals of one incarnation of an entry. */
export const ShareReport = z.object({
  id: Name,
  incarnation: Name,
  /** Grows with each incarnation of the same entry. */
  epoch: Amount,
  /** Grows with each message of an incarnation. */
  seq: z.int().min(0),
  /** By service. */
  rows: z.record(Name, z.array(ShareRow).max(MAX_ROWS)).optional(),
  slots: z.array(SlotRow).max(MAX_ROWS).optional()
})
export type ShareReport = z.infer<typeof ShareReport>

/**
 * Account, work of the other entries as this home entry has counted it, their requests waiting or running,
 * and 1 while the home entry's count has only just begun.
 */
export const SumRow = z.tuple([Name, Amount, Amount, z.union([z.literal(0), z.literal(1)])])
export type SumRow = z.infer<typeof SumRow>

/**
 * The service, slots of the asking entry, work ÷ weight per ms that an account with waiting requests is due, and
 * slots per unit of weight, absent when all demand is met.
 */
export const SlotAnswer = z.tuple([Name, z.int().min(0), Amount, Amount.optional()])
export type SlotAnswer = z.infer<typeof SlotAnswer>

/** A home entry's answer; `home` is its incarnation. */
export const ShareAnswer = z.object({
  home: Name,
  rows: z.record(Name, z.array(SumRow).max(MAX_ROWS)).optional(),
  slots: z.array(SlotAnswer).max(MAX_ROWS).optional()
})
export type ShareAnswer = z.infer<typeof ShareAnswer>
