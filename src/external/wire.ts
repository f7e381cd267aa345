/** JSON messages of the platform's HTTP API, used by the client and the stand-in server. */
import * as z from 'zod'
import { PriceClass, UsageRow } from '../schema/index.js'
import * as validation from '../validation/index.js'

/** An object of the store with its version. */
export const StoredObjectWire = z.object({ key: z.string(), version: z.int(), value: z.string() })
/** Response to a read of one object; `object` is absent when there is none. */
export const GetWire = z.object({ object: StoredObjectWire.optional() })
/** Response to a list request. */
export const ListWire = z.object({ objects: validation.list(StoredObjectWire) })
/** Conditional write: `expected` is the version that must be current. */
export const PutReqWire = z.object({ value: z.string(), expected: z.union([z.int(), z.literal('absent')]) })
/** Response to a write that took effect. */
export const PutWire = z.object({ object: StoredObjectWire })
/** Response to a write whose condition failed; `current` is absent when there is no such object. */
export const ConflictWire = z.object({ current: StoredObjectWire.optional() })
/** Response to a watch: changed objects, deleted keys, and the version up to which the response is complete. */
export const WatchWire = z.object({ changes: validation.list(StoredObjectWire), deleted: validation.list(z.string()), version: z.int() })
/** List of the VMs. */
export const VmsWire = z.object({
  vms: validation.list(z.object({ address: z.string(), peer_address: z.string().optional(), domain: z.string(), state: z.enum(['live', 'leaving']) }))
})
/** Order for one target; see TargetOrder. */
export const TargetOrderWire = z.object({
  token: z.string(), service: z.string(), domain: z.string(), priceClass: PriceClass, fence: z.int()
})
/** A target and its state; see OrderedTarget. */
export const OrderedTargetWire = z.object({
  token: z.string(),
  name: z.string(),
  service: z.string(),
  domain: z.string(),
  priceClass: PriceClass,
  state: z.enum(['pending', 'running', 'reclaiming', 'released']),
  url: z.string(),
  price: z.number(),
  checksFence: z.boolean(),
  reclaimAt: z.number().optional()
})
/** List of the ordered targets. */
export const OrderedTargetsWire = z.object({ targets: validation.list(OrderedTargetWire) })
/** Request to release a target. */
export const ReleaseWire = z.object({ token: z.string(), fence: z.int() })
/** Usage of one account in one window; see UsageBill. */
export const UsageBillWire = z.object({
  window: z.int(), account: z.string(), rows: validation.list(UsageRow), reporter: z.string(), fence: z.int()
})
/** Response to a usage report. */
export const ReportWire = z.object({ outcome: z.enum(['accepted', 'already_reported']) })
/** Why an order or report was rejected. */
export const FailureWire = z.object({ kind: z.enum(['out_of_stock', 'refused', 'conflict']), message: z.string() })
