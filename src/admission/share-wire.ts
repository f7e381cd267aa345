/** Messages of `share.report` between an entry and the coordinator entries of accounts and services. */
import * as z from 'zod'
import * as validation from '../validation/index.js'

/** Name of the peer method. */
export const SHARE_METHOD = 'share.report'

/** Maximum number of rows in a message; far more than fit in the byte limit. */
const MAX_ROWS = 1_024

const Amount = z.number().min(0)
const Name = z.string().min(1).max(128)

/**
 * Account, cumulative work, requests waiting or running, and the part of the work that a coordinator entry has already
 * acknowledged.
 */
export const ShareRow = z.tuple([Name, Amount, Amount, Amount])
export type ShareRow = z.infer<typeof ShareRow>

/**
 * An entry's claim on the slots of a service: the service, the weight of accounts with demand, corrected by feedback,
 * the demand, the weight of accounts with waiting requests, without feedback, and their work per ms.
 */
export const SlotRow = z.tuple([Name, Amount, Amount, Amount, Amount])
export type SlotRow = z.infer<typeof SlotRow>

/** Cumulative totals of one incarnation of an entry. */
export const ShareReport = z.object({
  id: Name,
  incarnation: Name,
  /** Increases with each incarnation of the same entry. */
  epoch: Amount,
  /** Increases with each message of an incarnation. */
  seq: z.int().min(0),
  /** Account rows by service. */
  rows: validation.record(Name, validation.list(ShareRow, { max: MAX_ROWS })).optional(),
  slots: validation.list(SlotRow, { max: MAX_ROWS }).optional()
})
export type ShareReport = z.infer<typeof ShareReport>

/**
 * Account, work of the other entries as this coordinator entry has counted it, their requests waiting or running,
 * and 1 while the sum is new.
 */
export const SumRow = z.tuple([Name, Amount, Amount, z.union([z.literal(0), z.literal(1)])])
export type SumRow = z.infer<typeof SumRow>

/**
 * The service, slots of the reporting entry, work ÷ weight per ms that an account with waiting requests is entitled to,
 * and slots per unit of weight, absent when all demand is met.
 */
export const SlotReply = z.tuple([Name, z.int().min(0), Amount, Amount.optional()])
export type SlotReply = z.infer<typeof SlotReply>

/** Reply of a coordinator entry; `home` is its incarnation. */
export const ShareReply = z.object({
  home: Name,
  rows: validation.record(Name, validation.list(SumRow, { max: MAX_ROWS })).optional(),
  slots: validation.list(SlotReply, { max: MAX_ROWS }).optional()
})
export type ShareReply = z.infer<typeof ShareReply>
