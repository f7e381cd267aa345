/** Messages between the membership tasks of entries. */
import * as z from 'zod'
import * as validation from '../validation/index.js'

/** Peer methods. */
export const PING_METHOD = 'membership.ping'
export const PROBE_METHOD = 'membership.probe'
export const SYNC_METHOD = 'membership.sync'

/** Maximum number of records in one message. */
const MAX_RECORDS = 8_192

const ShortText = z.string().min(1).max(128)

/** Record about one incarnation of an entry, disseminated by gossip. */
export const MemberRecord = z.object({
  id: ShortText,
  incarnation: ShortText,
  /** Increases with each incarnation of the same entry. */
  epoch: z.int().min(0),
  /** Increased by the entry itself, to announce a change or refute a suspicion. */
  version: z.int().min(0),
  state: z.enum(['alive', 'suspect', 'leaving', 'left', 'dead']),
  address: ShortText,
  peer: ShortText,
  domain: ShortText,
  region: ShortText
})
export type MemberRecord = z.infer<typeof MemberRecord>

const Records = validation.list(MemberRecord, { max: MAX_RECORDS })

/** What the sender reports about itself. */
export const SelfReport = z.object({
  record: MemberRecord,
  /** Generation of the configuration in force. */
  generation: z.int().min(0),
  /** Free fraction of its capacity. */
  free: z.number().min(0).max(1),
  /** Values of other modules by name. */
  extras: validation.record(z.string(), z.unknown())
})
export type SelfReport = z.infer<typeof SelfReport>

/** Checks whether an entry is alive. */
export const Ping = z.object({
  from: SelfReport,
  updates: Records,
  /** Digest of the members that the sender knows. */
  digest: z.string(),
  /** Digests by failure domain; sent while other entries know different members. */
  digests: validation.record(z.string(), z.string()).optional()
})
export type Ping = z.infer<typeof Ping>

/**
 * Ages of the members' last contacts, one character for each member, ordered by failure domain and id; grouped by
 * failure domain, and where needed by incarnation, when the two sides know different members.
 */
export const ContactAges = z.union([z.string(), validation.record(z.string(), z.union([z.string(), validation.record(z.string(), z.string().length(1))]))])
export type ContactAges = z.infer<typeof ContactAges>

/** Reply to a ping; has no ages when the digests differ and the digests by failure domain are needed first. */
export const Ack = z.object({ from: SelfReport, updates: Records, heard: ContactAges.optional() })
export type Ack = z.infer<typeof Ack>

/** Requests an indirect ping of `peer`; the reply tells whether `peer` replied to it. */
export const ProbeReq = z.object({ peer: ShortText, incarnation: ShortText })
export type ProbeReq = z.infer<typeof ProbeReq>
export const ProbeRes = z.object({ answered: z.boolean() })
export type ProbeRes = z.infer<typeof ProbeRes>

/** Compares all records; both sides send theirs when the digests differ. */
export const SyncReq = z.object({ digest: z.string(), records: Records.optional() })
export type SyncReq = z.infer<typeof SyncReq>
export const SyncRes = z.object({ digest: z.string(), records: Records.optional() })
export type SyncRes = z.infer<typeof SyncRes>
