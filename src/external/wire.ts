/** JSON forms of the platform's HTTP interface, shared by the client and the stand-in server. */
import * as z from 'zod'
import { PriceClass, UsageRow } from '../schema/index.js'

export const StoredObjectWire = z.object({ key: z.string(), version: z.int(), value: z.string() })
export const GetWire = z.object({ object: StoredObjectWire.optional() })
export const ListWire = z.object({ objects: z.array(StoredObjectWire) })
export const PutReqWire = z.object({ value: z.string(), expected: z.union([z.int(), z.literal('absent')]) })
export const PutWire = z.object({ object: StoredObjectWire })
export const ConflictWire = z.object({ current: StoredObjectWire.optional() })
export const WatchWire = z.object({ changes: z.array(StoredObjectWire), deleted: z.array(z.string()), version: z.int() })
export const VmsWire = z.object({
  vms: z.array(z.object({ address: z.string(), peer_address: z.string().optional(), domain: z.string(), state: z.enum(['live', 'leaving']) }))
})
export const TargetOrderWire = z.object({
  token: z.string(), service: z.string(), domain: z.string(), priceClass: PriceClass, fence: z.int()
})
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
export const OrderedTargetsWire = z.object({ targets: z.array(OrderedTargetWire) })
export const ReleaseWire = z.object({ token: z.string(), fence: z.int() })
export const UsageBillWire = z.object({
  window: z.int(), account: z.string(), rows: z.array(UsageRow), reporter: z.string(), fence: z.int()
})
export const ReportWire = z.object({ outcome: z.enum(['accepted', 'already_reported']) })
export const FailureWire = z.object({ kind: z.enum(['out_of_stock', 'refused', 'conflict']), message: z.string() })
